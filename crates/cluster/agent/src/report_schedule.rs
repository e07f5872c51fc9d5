//! When the next report to the scheduler is due.

use sagetrail_protocol::agent::REPORT_INTERVAL_MS;
use sagetrail_protocol::Time;

/// The shortest time between two reports, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;
/// The interval of reports while the agent's lease is to be renewed, in milliseconds.
const RENEWAL_INTERVAL_MS: u64 = 250;

/// Schedules and numbers the reports of one agent.
#[derive(Debug, Default)]
pub(crate) struct ReportSchedule {
    /// Something has changed since the last report.
    has_change: bool,
    last: Option<Time>,
    /// The number of the last report, 0 for none.
    sequence: u64,
}

impl ReportSchedule {
    /// Records a change that the scheduler is to receive at once.
    pub(crate) fn record_change(&mut self) {
        self.has_change = true;
    }

    /// When the next report is due; from `lease_renewal_due` on they come more often.
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

    /// Records that a report is sent now; its number.
    pub(crate) fn record_sent(&mut self, now: Time) -> u64 {
        self.has_change = false;
        self.last = Some(now);
        self.sequence += 1;
        self.sequence
    }
}
