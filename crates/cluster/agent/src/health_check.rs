//! Health checks of a runner whose heartbeat is overdue: a refused connection tells at once that its runs are over.

use std::net::SocketAddrV4;

use sagetrail_protocol::node::{HealthCheck, HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;

/// Time after which a wanted heartbeat is overdue, in milliseconds.
const OVERDUE_MS: u64 = 250;
/// Time between the first two checks of a silent runner, in milliseconds; doubled with each further one.
const FIRST_INTERVAL_MS: u64 = 500;
/// The path that is requested. Any answer proves that the runner lives.
const HEALTH_PATH: &str = "/healthz";

/// What a health check proves about the runner.
#[must_use]
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Verdict {
    /// Its machine refuses the connection: the process is gone.
    Dead,
    /// Nothing: it answered, or there was no answer, or a heartbeat came meanwhile.
    Unknown,
}

/// Schedules the health checks; few, because each has a price.
#[derive(Debug, Default)]
pub(crate) struct HealthMonitor {
    due: Option<Time>,
    interval_ms: u64,
    /// The check whose result counts.
    in_flight: Option<HealthCheckId>,
    last_id: u64,
}

impl HealthMonitor {
    /// Records a heartbeat; the next one is wanted `retry_after_ms` later. A check in flight proves nothing any more.
    pub(crate) fn record_heartbeat(&mut self, now: Time, retry_after_ms: u64) {
        self.in_flight = None;
        self.interval_ms = FIRST_INTERVAL_MS;
        self.due = Some(now.plus_millis(retry_after_ms.saturating_add(OVERDUE_MS)));
    }

    /// Ends the checks until the next heartbeat.
    pub(crate) fn pause(&mut self) {
        self.in_flight = None;
        self.due = None;
    }

    /// When the next check is due, unless a heartbeat comes before.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// True where a check is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// Sends a check to the runner's address, and schedules the next one.
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

    /// Receives the result of a check; only that of the last one counts.
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
