//! The grantor's view of a runner's lease: the time after which it has certainly expired.

use sagetrail_protocol::Time;

/// The longest time that a lease may last on the agent's clock, in percent of the granted time: the runner's steady
/// clock may be slower than the agent's.
const CLOCK_DRIFT_PERCENT: u64 = 103;
/// The margin that is added to each lease before it counts as expired, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 50;
/// The number of microseconds in one percent of a millisecond.
const MICROS_PER_PERCENT_MS: u64 = 10;

/// Returns the latest time at which a lease that was granted for `lease_ms` at `granted_at` may still be valid.
///
/// The runner counts the lease from the time at which it sent its heartbeat, which is before `granted_at`.
pub(crate) fn latest_expiry(granted_at: Time, lease_ms: u64) -> Time {
    let stretched_micros = lease_ms * CLOCK_DRIFT_PERCENT * MICROS_PER_PERCENT_MS;
    (granted_at + stretched_micros).plus_millis(EXPIRY_MARGIN_MS)
}
