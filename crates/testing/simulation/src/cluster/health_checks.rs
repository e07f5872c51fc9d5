//! Looks of an agent at the runner beside it.

use super::{ClusterEvent, SimulatedCluster};
use crate::engine::{Micros, MILLISECOND};
use sagetrail_protocol::node::{Event, HealthCheck, HealthCheckId, HealthCheckResult};
use sagetrail_protocol::NodeId;

/// One way between an agent and the port of its runner.
const BESIDE: Micros = MILLISECOND / 10;
/// What a runner that is up answers.
const WELL: HealthCheckResult = HealthCheckResult::Status(200);

/// A look on its way, of a process in one of its lives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingHealthCheck {
    node: NodeId,
    generation: u64,
    id: HealthCheckId,
}

impl SimulatedCluster {
    pub(crate) fn start_health_checks(&mut self, node: NodeId, health_checks: Vec<HealthCheck>) {
        let Some(generation) = self.processes.get(&node).map(|process| process.generation) else {
            return;
        };
        let at = self.now() + BESIDE;
        for health_check in health_checks {
            self.digest.probed(self.queue.now(), node, &health_check);
            let check = PendingHealthCheck {
                node,
                generation,
                id: health_check.id,
            };
            self.queue
                .schedule(at, ClusterEvent::HealthCheckArrives(check));
        }
    }

    /// The port is looked at as it is now.
    pub(crate) fn health_check_arrives(&mut self, check: PendingHealthCheck) {
        let up = self
            .runners
            .iter()
            .any(|runner| runner.agent() == check.node && runner.is_up());
        let result = if up { WELL } else { HealthCheckResult::Refused };
        self.queue.schedule(
            self.queue.now() + BESIDE,
            ClusterEvent::Probed { check, result },
        );
    }

    pub(crate) fn probed(&mut self, check: PendingHealthCheck, result: HealthCheckResult) {
        let process = self.processes.get(&check.node);
        if process.is_some_and(|process| process.generation == check.generation) {
            self.dispatch(
                check.node,
                Event::HealthCheck {
                    id: check.id,
                    result,
                },
            );
        }
    }
}
