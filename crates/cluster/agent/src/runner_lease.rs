//! The grantor's view of a runner's lease: when it has expired for sure.

use sagetrail_protocol::Time;

/// A runner's steady clock may be slower than the agent's, so that its lease lasts up to this many hundredths of the
/// granted time.
const CLOCK_DRIFT_PERCENT: u64 = 103;
/// Added to each lease before it counts as expired, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 50;
/// Microseconds in a hundredth of a millisecond.
const MICROS_PER_PERCENT_MS: u64 = 10;

/// The last instant at which a lease that was granted for `lease_ms` at `granted_at` may still last.
///
/// The runner counts from the sending of its heartbeat, which was before `granted_at`.
pub(crate) fn latest_expiry(granted_at: Time, lease_ms: u64) -> Time {
    let stretched_micros = lease_ms * CLOCK_DRIFT_PERCENT * MICROS_PER_PERCENT_MS;
    (granted_at + stretched_micros).plus_millis(EXPIRY_MARGIN_MS)
}
