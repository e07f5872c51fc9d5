//! Looks of an agent at the runner beside it.
use super::{World, WorldEvent};
use crate::engine::{Micros, MILLISECOND};
use sagetrail_protocol::node::{Event, Probe, ProbeId, ProbeResult};
use sagetrail_protocol::NodeId;

/// One way between an agent and the port of its runner.
const BESIDE: Micros = MILLISECOND / 10;
/// What a runner that is up answers.
const WELL: ProbeResult = ProbeResult::Status(200);

/// A look on its way, of a process in one of its lives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look {
    node: NodeId,
    generation: u64,
    id: ProbeId,
}

impl World {
    pub(crate) fn start_probes(&mut self, node: NodeId, probes: Vec<Probe>) {
        let Some(generation) = self.processes.get(&node).map(|process| process.generation) else {
            return;
        };
        let at = self.now() + BESIDE;
        for probe in probes {
            self.digest.probed(self.queue.now(), node, &probe);
            let look = Look {
                node,
                generation,
                id: probe.id,
            };
            self.queue.schedule(at, WorldEvent::ProbeArrives(look));
        }
    }

    /// The port is looked at as it is now.
    pub(crate) fn probe_arrives(&mut self, look: Look) {
        let up = self
            .runners
            .iter()
            .any(|runner| runner.agent() == look.node && runner.is_up());
        let result = if up { WELL } else { ProbeResult::Refused };
        self.queue.schedule(
            self.queue.now() + BESIDE,
            WorldEvent::Probed { look, result },
        );
    }

    pub(crate) fn probed(&mut self, look: Look, result: ProbeResult) {
        let process = self.processes.get(&look.node);
        if process.is_some_and(|process| process.generation == look.generation) {
            self.dispatch(
                look.node,
                Event::Probe {
                    id: look.id,
                    result,
                },
            );
        }
    }
}
