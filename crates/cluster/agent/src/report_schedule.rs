//! The schedule of the reports to the scheduler.

use sagetrail_protocol::agent::REPORT_INTERVAL_MS;
use sagetrail_protocol::Time;

/// The minimum interval between two reports, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;
/// The interval of reports while the agent's lease is due for renewal, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 250;

/// Schedules and numbers the reports of one agent.
#[derive(Debug, Default)]
pub(crate) struct ReportSchedule {
    /// Whether a change has been recorded since the last report.
    has_change: bool,
    /// The time at which the last report was sent.
    last: Option<Time>,
    /// The sequence number of the last report, 0 if there is none.
    sequence: u64,
}

impl ReportSchedule {
    /// Records a change that must be reported to the scheduler at once.
    pub(crate) fn record_change(&mut self) {
        self.has_change = true;
    }

    /// Returns the time at which the next report is due. From `lease_renewal_due` on, reports are more frequent.
    pub(crate) fn due(&self, lease_renewal_due: Time) -> Time {
        let Some(last) = self.last else {
            return Time(0);
        };
        if self.has_change {
            return last.plus_millis(MIN_INTERVAL_MS);
        }
        let renewal = last.plus_millis(RENEWAL_INTERVAL_MS).max(lease_renewal_due);
        renewal.min(last.plus_millis(REPORT_INTERVAL_MS))
    }

    /// Records that a report is sent now and returns its sequence number.
    pub(crate) fn record_sent(&mut self, now: Time) -> u64 {
        self.has_change = false;
        self.last = Some(now);
        self.sequence += 1;
        self.sequence
    }
}
