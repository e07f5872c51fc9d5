//! The end of the process within its grace.

use sagetrail_protocol::Time;

/// So long it serves on after the notice: the platform needs two missed checks, a second apart, to stop sending.
const SERVE_ON_MS: u64 = 2500;
/// Everything is answered so long before the grace is over.
const END_MARGIN_MS: u64 = 1500;

/// When a process that was told to end does so.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Drain {
    /// Not before this.
    pub(crate) earliest: Time,
    /// With everything answered by now.
    pub(crate) latest: Time,
}

impl Drain {
    /// Told at `now`, with `grace_s` seconds until the kill.
    pub(crate) fn start(now: Time, grace_s: f64) -> Drain {
        let grace_ms = (grace_s * 1000.0) as u64;
        let usable_ms = grace_ms.saturating_sub(END_MARGIN_MS);
        Drain {
            earliest: now.plus_millis(usable_ms.min(SERVE_ON_MS)),
            latest: now.plus_millis(usable_ms),
        }
    }
}
