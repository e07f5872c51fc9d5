//! Faults as they strike.

use super::{ActorId, ClusterEvent, SimulatedCluster};
use crate::engine::{Micros, MILLISECOND};
use crate::faults::Fault;
use crate::history::{Observation, Reach};
use crate::network::Direction;
use crate::process::ProcessState;
use sagetrail_protocol::{NodeId, NodeKind};

/// A process that is killed is started again no sooner than after this.
const SHORTEST_ABSENCE: Micros = 50 * MILLISECOND;

impl SimulatedCluster {
    pub(crate) fn apply(&mut self, fault: Fault) {
        let now = self.now();
        let what = format!("{fault:?}");
        let reach = self.reach(&fault);
        let until = now + self.inject(fault);
        self.record_fault(until, what, reach);
    }

    fn reach(&self, fault: &Fault) -> Reach {
        match fault {
            Fault::Storm { .. } | Fault::FinalPowerLoss { .. } => Reach::Everything,
            Fault::RunnerCrash { .. }
            | Fault::RunnerDrain { .. }
            | Fault::RunnerDeregister { .. }
            | Fault::RunnerSilence { .. } => Reach::Runner,
            Fault::Kill { node, .. }
            | Fault::PowerLoss { node, .. }
            | Fault::Wipe { node, .. }
            | Fault::Freeze { node, .. }
            | Fault::Terminate { node, .. }
            | Fault::Isolate { node, .. }
            | Fault::ClockStep { node, .. }
            | Fault::SlowDisk { node, .. }
            | Fault::StallDisk { node, .. }
            | Fault::ReplaceCore { node, .. }
            | Fault::ReplaceCorePlanned { node, .. } => self.reach_of(&[*node]),
            Fault::KillMany { nodes, .. } | Fault::PowerLossMany { nodes, .. } => {
                self.reach_of(nodes)
            }
            Fault::CutOneWay { from, to, .. } => self.reach_of_cut(&[*from], &[*to]),
            Fault::CutGroups { one, other, .. } => self.reach_of_cut(one, other),
        }
    }

    fn is_core(&self, node: NodeId) -> bool {
        self.processes
            .get(&node)
            .is_some_and(|process| process.kind == NodeKind::Core)
    }

    /// Faults at machines; those of the core touch everyone.
    fn reach_of(&self, nodes: &[NodeId]) -> Reach {
        if nodes.iter().any(|node| self.is_core(*node)) {
            return Reach::Core;
        }
        Reach::Machines(nodes.to_vec())
    }

    /// A cut within the core touches everyone, another one the machines outside the core.
    fn reach_of_cut(&self, one: &[NodeId], other: &[NodeId]) -> Reach {
        let has_core = |nodes: &[NodeId]| nodes.iter().any(|node| self.is_core(*node));
        if has_core(one) && has_core(other) {
            return Reach::Core;
        }
        let ends = one.iter().chain(other).copied();
        Reach::Machines(ends.filter(|node| !self.is_core(*node)).collect())
    }

    /// Lets a fault strike; gives how long it lasts.
    fn inject(&mut self, fault: Fault) -> Micros {
        match fault {
            Fault::Kill { node, back_after } => {
                self.take_down(&[node], ProcessState::Down, back_after)
            }
            Fault::PowerLoss { node, back_after } => {
                self.take_down(&[node], ProcessState::PowerOff, back_after)
            }
            Fault::KillMany { nodes, back_after } => {
                self.take_down(&nodes, ProcessState::Down, back_after)
            }
            Fault::PowerLossMany { nodes, back_after } => {
                self.take_down(&nodes, ProcessState::PowerOff, back_after)
            }
            Fault::Wipe { node, back_after } => self.wipe(node, back_after),
            Fault::Freeze { node, lasts } => {
                self.freeze(node, self.queue.now() + lasts);
                lasts
            }
            Fault::Terminate { node, back_after } => {
                self.terminate(node, back_after);
                back_after + self.grace()
            }
            Fault::FinalPowerLoss { back_after } => self.lose_all_power(back_after),
            Fault::ReplaceCore {
                node,
                successor,
                successor_after,
            } => self.replace(node, successor, successor_after),
            Fault::ReplaceCorePlanned {
                node,
                successor,
                overlap,
            } => self.replace_planned(node, successor, overlap),
            Fault::Isolate { node, lasts } => {
                self.network.isolate(node, true);
                self.end_after(lasts, ClusterEvent::Rejoin(node))
            }
            Fault::CutOneWay { from, to, lasts } => self.cut(vec![Direction { from, to }], lasts),
            Fault::CutGroups { one, other, lasts } => self.cut(between(&one, &other), lasts),
            Fault::ClockStep {
                node,
                millis,
                lasts,
            } => self.step_clock(node, millis, lasts),
            Fault::SlowDisk { node, sync, lasts } => {
                self.set_sync(node, Some(sync));
                self.end_after(lasts, ClusterEvent::DiskUsual(node))
            }
            Fault::StallDisk { node, lasts } => self.stall_disk(node, lasts),
            Fault::Storm { loss, lasts } => {
                self.network.storm(self.queue.now() + lasts, loss);
                lasts
            }
            Fault::RunnerCrash { .. }
            | Fault::RunnerDrain { .. }
            | Fault::RunnerDeregister { .. }
            | Fault::RunnerSilence { .. } => self.inject_runner_fault(fault),
        }
    }

    fn end_after(&mut self, lasts: Micros, event: ClusterEvent) -> Micros {
        self.queue.schedule(self.queue.now() + lasts, event);
        lasts
    }

    fn take_down(&mut self, nodes: &[NodeId], state: ProcessState, back_after: Micros) -> Micros {
        let absence = back_after.max(SHORTEST_ABSENCE);
        for node in nodes {
            self.kill(*node, state);
            self.queue
                .schedule(self.queue.now() + absence, ClusterEvent::Start(*node));
        }
        absence
    }

    fn lose_all_power(&mut self, back_after: Micros) -> Micros {
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        let absence = self.take_down(&nodes, ProcessState::PowerOff, back_after);
        for runner in 0..self.runners.len() {
            self.inject_runner_fault(Fault::RunnerCrash {
                runner,
                back_after: absence,
            });
        }
        let now = self.now();
        self.context.history.note(
            now,
            Observation::FinalFault {
                back: now + absence,
            },
        );
        absence
    }

    fn wipe(&mut self, node: NodeId, back_after: Micros) -> Micros {
        let absence = self.take_down(&[node], ProcessState::PowerOff, back_after);
        if let Some(disk) = self
            .processes
            .get_mut(&node)
            .and_then(|process| process.disk.as_mut())
        {
            disk.wipe();
        }
        absence
    }

    fn cut(&mut self, directions: Vec<Direction>, lasts: Micros) -> Micros {
        for direction in &directions {
            self.network.cut(*direction);
        }
        self.end_after(lasts, ClusterEvent::Join(directions))
    }

    fn step_clock(&mut self, node: NodeId, millis: i64, lasts: Micros) -> Micros {
        let Some(process) = self.processes.get_mut(&node) else {
            return 0;
        };
        if process.clock.wall_ahead_ms != 0 {
            process.clock.wall_ahead_ms = 0;
            return lasts;
        }
        process.clock.wall_ahead_ms = millis;
        let back = Fault::ClockStep {
            node,
            millis: 0,
            lasts: 0,
        };
        self.end_after(lasts, ClusterEvent::Fault(back))
    }

    fn stall_disk(&mut self, node: NodeId, lasts: Micros) -> Micros {
        let until = self.now() + lasts;
        if let Some(disk) = self
            .processes
            .get_mut(&node)
            .and_then(|process| process.disk.as_mut())
        {
            disk.stall(until);
        }
        lasts
    }

    fn inject_runner_fault(&mut self, fault: Fault) -> Micros {
        let now = self.now();
        let (index, lasts) = match fault {
            Fault::RunnerCrash { runner, back_after } => {
                self.runners[runner].crash(now, back_after, &mut self.context);
                (runner, back_after)
            }
            Fault::RunnerDrain {
                runner,
                left,
                serves_on,
            } => {
                self.runners[runner].start_drain(now, left, serves_on);
                (runner, 0)
            }
            Fault::RunnerDeregister { runner, serves_on } => {
                self.runners[runner].start_deregister(now, serves_on);
                (runner, 0)
            }
            Fault::RunnerSilence { runner, lasts } => {
                self.runners[runner].fall_silent(now + lasts);
                (runner, lasts)
            }
            _ => return 0,
        };
        self.after_acting(ActorId::Runner(index));
        lasts
    }
}

fn between(one: &[NodeId], other: &[NodeId]) -> Vec<Direction> {
    let mut directions = Vec::new();
    for from in one {
        for to in other {
            directions.push(Direction {
                from: *from,
                to: *to,
            });
            directions.push(Direction {
                from: *to,
                to: *from,
            });
        }
    }
    directions
}
