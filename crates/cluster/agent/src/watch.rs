//! Looks at a runner whose heartbeat is overdue: a dead port tells at once that whatever it ran is over.

use sagetrail_protocol::node::{HealthCheck, HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;
use std::net::SocketAddrV4;

/// A heartbeat is overdue this long after it was wanted, in milliseconds.
const OVERDUE_MS: u64 = 250;
/// A runner that is silent still is looked at again after so long, doubled with each look, in milliseconds.
const FIRST_PAUSE_MS: u64 = 500;
/// Where a runner answers whether it is well. Any answer tells that it lives.
const HEALTH_PATH: &str = "/healthz";

/// Decides when the runner is looked at. Each look has its price.
#[derive(Debug, Default)]
pub(crate) struct RunnerWatch {
    due: Option<Time>,
    pause_ms: u64,
    waits_for: Option<HealthCheckId>,
    last_id: u64,
}

impl RunnerWatch {
    /// A heartbeat has come; the next one is wanted after so long. A look made before tells nothing more.
    pub(crate) fn heard(&mut self, now: Time, retry_after_ms: u64) {
        self.waits_for = None;
        self.pause_ms = FIRST_PAUSE_MS;
        self.due = Some(now.plus_millis(retry_after_ms.saturating_add(OVERDUE_MS)));
    }

    /// Nothing is awaited of the runner until it is heard again.
    pub(crate) fn rest(&mut self) {
        self.waits_for = None;
        self.due = None;
    }

    /// When the runner is to be looked at, unless it is heard before.
    pub(crate) fn due(&self) -> Option<Time> {
        self.due
    }

    /// Looks at the runner if that is due.
    pub(crate) fn look(&mut self, now: Time, address: SocketAddrV4, outbox: &mut Outbox) {
        if self.due.is_none_or(|due| now < due) {
            return;
        }
        self.due = Some(now.plus_millis(self.pause_ms));
        self.pause_ms = self.pause_ms.saturating_mul(2);
        self.last_id += 1;
        let id = HealthCheckId(self.last_id);
        self.waits_for = Some(id);
        outbox.health_check(HealthCheck {
            id,
            address,
            path: HEALTH_PATH.to_owned(),
        });
    }

    /// Takes what came of a look; true where the runner is gone, and was not heard meanwhile.
    pub(crate) fn looked(&mut self, id: HealthCheckId, result: HealthCheckResult) -> bool {
        if self.waits_for != Some(id) {
            return false;
        }
        self.waits_for = None;
        result == HealthCheckResult::Refused
    }
}
