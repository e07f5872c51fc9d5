//! Graceful shutdown within the process's grace period.

use sagetrail_protocol::Time;

/// Time for which the process serves on after the notice, in milliseconds: the platform needs two failed readiness
/// checks, a second apart, to stop sending clients here.
const SERVE_ON_MS: u64 = 2500;
/// Time before the end of the grace period by which everything is answered, in milliseconds.
const END_MARGIN_MS: u64 = 1500;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// When a draining process ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Drain {
    /// Not before this, even if nothing is pending.
    pub(crate) earliest: Time,
    /// All pending requests are answered at this time.
    pub(crate) latest: Time,
}

impl Drain {
    /// Begins at `now`, `grace_s` seconds before the process is killed.
    pub(crate) fn start(now: Time, grace_s: f64) -> Drain {
        let grace_ms = (grace_s * MILLIS_PER_SECOND) as u64;
        let usable_ms = grace_ms.saturating_sub(END_MARGIN_MS);
        Drain {
            earliest: now.plus_millis(usable_ms.min(SERVE_ON_MS)),
            latest: now.plus_millis(usable_ms),
        }
    }
}
