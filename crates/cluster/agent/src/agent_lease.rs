//! The lease that the scheduler grants to the agent (Gray and Cheriton, 1989), measured on the agent's clock.

use sagetrail_protocol::Time;

/// An agent requests an extension more often once less than this share of its lease is left, in percent.
const RENEWAL_PERCENT: u64 = 70;
/// The number of microseconds in one percent of a millisecond.
const MICROS_PER_PERCENT_MS: u64 = 10;

/// The period during which the agent may grant leases to its runner without the scheduler.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct AgentLease {
    expires_at: Time,
    renewal_due: Time,
}

impl AgentLease {
    /// Extends the lease to `lease_ms` after `sent_at`, the time at which the agent sent the report that the scheduler
    /// has answered. An answer that would shorten the lease, or that names a time ahead of the clock, changes nothing.
    pub(crate) fn extend(&mut self, now: Time, sent_at: Time, lease_ms: u64) {
        let expires_at = sent_at.plus_millis(lease_ms);
        if sent_at > now || expires_at <= self.expires_at {
            return;
        }
        let renewal_micros = lease_ms.saturating_mul(RENEWAL_PERCENT * MICROS_PER_PERCENT_MS);
        self.expires_at = expires_at;
        self.renewal_due = Time(expires_at.0.saturating_sub(renewal_micros));
    }

    /// Returns the remaining time of the lease in whole milliseconds; 0 once it has expired.
    pub(crate) fn remaining_ms(&self, now: Time) -> u64 {
        self.expires_at.millis_since(now)
    }

    /// Returns the time from which the agent requests an extension more often.
    pub(crate) fn renewal_due(&self) -> Time {
        self.renewal_due
    }
}
