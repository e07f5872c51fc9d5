//! Graceful shutdown (drain) within the grace period that the platform gives the process.

use sagetrail_protocol::Time;

/// Time for which the process continues to serve after the termination signal, in milliseconds. The platform stops
/// sending clients to this process only after two failed readiness checks, which are one second apart.
const MIN_DRAIN_MS: u64 = 2500;
/// The margin before the end of the grace period by which every pending request is answered, in milliseconds.
const GRACE_MARGIN_MS: u64 = 1500;
const MILLIS_PER_SECOND: f64 = 1000.0;

/// The earliest and the latest time at which a draining process ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Drain {
    /// The process does not end before this time, even if no request is pending.
    pub(crate) earliest_end: Time,
    /// The time at which all requests that are still pending are answered without the scheduler.
    pub(crate) latest_end: Time,
}

impl Drain {
    /// Starts the drain at `now`, `grace_s` seconds before the platform kills the process.
    pub(crate) fn start(now: Time, grace_s: f64) -> Drain {
        let grace_ms = (grace_s * MILLIS_PER_SECOND) as u64;
        let usable_ms = grace_ms.saturating_sub(GRACE_MARGIN_MS);
        Drain {
            earliest_end: now.plus_millis(usable_ms.min(MIN_DRAIN_MS)),
            latest_end: now.plus_millis(usable_ms),
        }
    }
}
