//! Health checks of a runner whose heartbeat is overdue. A refused connection proves at once that the runner's runs are
//! over.

use std::net::SocketAddrV4;

use sagetrail_protocol::node::{HealthCheck, HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;

/// The time after which a requested heartbeat counts as overdue, in milliseconds.
const OVERDUE_MS: u64 = 250;
/// The interval between the first two checks of a silent runner, in milliseconds. It doubles with each further check.
const FIRST_INTERVAL_MS: u64 = 500;
/// The path that a health check requests. Any answer proves that the runner is alive.
const HEALTH_PATH: &str = "/healthz";

/// The conclusion that a health check allows about the runner.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Verdict {
    /// The runner's machine refused the connection, so the process has ended.
    Dead,
    /// The check proves nothing: the runner answered, there was no answer, or a heartbeat arrived in the meantime.
    Unknown,
}

/// Schedules the health checks. It sends only a few, because each check has a cost.
#[derive(Debug, Default)]
pub(crate) struct HealthMonitor {
    /// The time of the next check; `None` while checks are paused.
    due: Option<Time>,
    /// The interval between the next check and the one after it, in milliseconds.
    interval_ms: u64,
    /// The latest check, while its result is pending; results of other checks are ignored.
    in_flight: Option<HealthCheckId>,
    /// The id of the latest check, 0 if there is none.
    last_id: u64,
}

impl HealthMonitor {
    /// Records a heartbeat; the next one is requested `retry_after_ms` later. The result of a check in flight is
    /// ignored from now on.
    pub(crate) fn record_heartbeat(&mut self, now: Time, retry_after_ms: u64) {
        self.in_flight = None;
        self.interval_ms = FIRST_INTERVAL_MS;
        self.due = Some(now.plus_millis(retry_after_ms.saturating_add(OVERDUE_MS)));
    }

    /// Pauses the checks until the next heartbeat.
    pub(crate) fn pause(&mut self) {
        self.in_flight = None;
        self.due = None;
    }

    /// Returns the time at which the next check is due unless a heartbeat arrives before.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Returns whether a check is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Sends a check to the runner's address and schedules the next one.
    pub(crate) fn send(&mut self, now: Time, address: SocketAddrV4, outbox: &mut Outbox) {
        self.due = Some(now.plus_millis(self.interval_ms));
        self.interval_ms = self.interval_ms.saturating_mul(2);
        self.last_id += 1;
        let id = HealthCheckId(self.last_id);
        self.in_flight = Some(id);
        outbox.health_check(HealthCheck {
            id,
            address,
            path: HEALTH_PATH.to_owned(),
        });
    }

    /// Receives the result of a check. The result of any check but the latest is ignored.
    pub(crate) fn receive(&mut self, id: HealthCheckId, result: HealthCheckResult) -> Verdict {
        if self.in_flight != Some(id) {
            return Verdict::Unknown;
        }
        self.in_flight = None;
        if result == HealthCheckResult::Refused {
            Verdict::Dead
        } else {
            Verdict::Unknown
        }
    }
}
