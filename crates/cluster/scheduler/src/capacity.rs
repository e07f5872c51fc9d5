//! Arithmetic on resources: sums, differences, and how often a task's resources fit into a free capacity.

use sagetrail_protocol::agent::Resources;

/// Returns true if `wanted` fits into `free`.
pub(crate) fn fits(wanted: Resources, free: Resources) -> bool {
    wanted.cpu <= free.cpu && wanted.mem_mb <= free.mem_mb && wanted.gpu <= free.gpu
}

/// Returns true if `reserved` stays free after `wanted` has been taken from `free`. A kind of resource that is not wanted
/// does not count, however little of it is free.
pub(crate) fn leaves_free(wanted: Resources, reserved: Resources, free: Resources) -> bool {
    let leaves = |wanted: u64, reserved: u64, free: u64| {
        wanted == 0 || reserved.saturating_add(wanted) <= free
    };
    leaves(wanted.cpu, reserved.cpu, free.cpu)
        && leaves(wanted.mem_mb, reserved.mem_mb, free.mem_mb)
        && leaves(wanted.gpu, reserved.gpu, free.gpu)
}

/// Returns how many times `wanted` fits into `free`, at most `limit`.
pub(crate) fn fit_count(wanted: Resources, free: Resources, limit: u32) -> u32 {
    let quotient = |wanted: u64, free: u64| free.checked_div(wanted).unwrap_or(u64::from(limit));
    let count = quotient(wanted.cpu, free.cpu)
        .min(quotient(wanted.mem_mb, free.mem_mb))
        .min(quotient(wanted.gpu, free.gpu));
    count.min(u64::from(limit)) as u32
}

/// Adds `more` to `total`, saturating.
pub(crate) fn add(total: &mut Resources, more: Resources) {
    *total = combine(*total, more, u64::saturating_add);
}

/// Subtracts `used` from `free`, saturating at zero.
pub(crate) fn subtract(free: &mut Resources, used: Resources) {
    *free = combine(*free, used, u64::saturating_sub);
}

/// Combines two amounts of resources by applying a function to each kind of resource separately.
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
