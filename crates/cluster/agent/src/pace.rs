//! When the next report to the scheduler is due.

use sagetrail_protocol::agent::REPORT_INTERVAL_MS;
use sagetrail_protocol::Time;

/// Reports keep this distance, in milliseconds.
const REPORT_SPACING_MS: u64 = 10;
/// So often an agent reports whose lease runs low, in milliseconds.
const PRESSING_INTERVAL_MS: u64 = 250;

/// Paces the reports of an agent.
#[derive(Debug, Default)]
pub(crate) struct ReportPace {
    changed: bool,
    last: Option<Time>,
    sequence: u64,
}

impl ReportPace {
    /// Something has changed that the scheduler is to hear of at once.
    pub(crate) fn note_change(&mut self) {
        self.changed = true;
    }

    /// When the next report is due, given when the lease runs low.
    pub(crate) fn due(&self, low_lease_at: Time) -> Time {
        let Some(last) = self.last else {
            return Time(0);
        };
        if self.changed {
            return last.plus_millis(REPORT_SPACING_MS);
        }
        let pressing = last.plus_millis(PRESSING_INTERVAL_MS).max(low_lease_at);
        pressing.min(last.plus_millis(REPORT_INTERVAL_MS))
    }

    /// Notes that a report leaves now; its number.
    pub(crate) fn sent(&mut self, now: Time) -> u64 {
        self.changed = false;
        self.last = Some(now);
        self.sequence += 1;
        self.sequence
    }
}
