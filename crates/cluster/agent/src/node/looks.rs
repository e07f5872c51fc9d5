//! Looks at a runner whose heartbeat is overdue.

use super::AgentNode;
use sagetrail_protocol::node::{HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;

impl AgentNode {
    /// A machine that refuses connections is up without its runner: nothing that it ran goes on.
    pub(super) fn probed(&mut self, now: Time, id: HealthCheckId, result: HealthCheckResult) {
        if !self.watch.looked(id, result) {
            return;
        }
        self.counters.deaths += 1;
        if self.runner.died() {
            self.note_lapse(now);
        }
    }

    /// Looks at a runner that is overdue.
    pub(super) fn look(&mut self, now: Time, outbox: &mut Outbox) {
        if self.watch.due().is_none_or(|due| now < due) {
            return;
        }
        let told = self
            .runner
            .current()
            .and_then(|runner| runner.profile.address.parse().ok());
        let Some(address) = self.settings.runner_address.or(told) else {
            self.watch.rest();
            return;
        };
        self.counters.health_checks += 1;
        self.watch.look(now, address, outbox);
    }
}
