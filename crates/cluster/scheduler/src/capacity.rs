//! Arithmetic on resources: what fits into a free capacity, and how often.

use sagetrail_protocol::agent::Resources;

/// True where `wanted` fits into `free`.
pub(crate) fn fits(wanted: Resources, free: Resources) -> bool {
    wanted.cpu <= free.cpu && wanted.mem_mb <= free.mem_mb && wanted.gpu <= free.gpu
}

/// How many times `wanted` fits into `free`, at most `limit`.
pub(crate) fn fit_count(wanted: Resources, free: Resources, limit: u32) -> u32 {
    let fit_of = |wanted: u64, free: u64| free.checked_div(wanted).unwrap_or(u64::from(limit));
    let count = fit_of(wanted.cpu, free.cpu)
        .min(fit_of(wanted.mem_mb, free.mem_mb))
        .min(fit_of(wanted.gpu, free.gpu));
    count.min(u64::from(limit)) as u32
}

/// Adds `more` to `total`, saturating.
pub(crate) fn add(total: &mut Resources, more: Resources) {
    *total = combine(*total, more, u64::saturating_add);
}

/// Takes `used` from `free`, saturating at zero.
pub(crate) fn subtract(free: &mut Resources, used: Resources) {
    *free = combine(*free, used, u64::saturating_sub);
}

/// Applies a function to each kind of resource of both sides.
pub(crate) fn combine(
    left: Resources,
    right: Resources,
    function: impl Fn(u64, u64) -> u64,
) -> Resources {
    Resources {
        cpu: function(left.cpu, right.cpu),
        mem_mb: function(left.mem_mb, right.mem_mb),
        gpu: function(left.gpu, right.gpu),
    }
}
