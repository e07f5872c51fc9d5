//! Faults, and schedules of them drawn from a seed that keep to what a deployment must bear.

use crate::cluster::PlannedFault;
use crate::engine::{Chance, Micros, MILLISECOND, SECOND};
use sagetrail_protocol::NodeId;

/// The share of the core's faults in which a disk is lost while all other machines lose power.
const WIPE_WITH_POWER_LOSS: f64 = 0.1;

/// A fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A process is killed.
    Kill {
        /// The process.
        node: NodeId,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A machine loses power.
    PowerLoss {
        /// The process.
        node: NodeId,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A machine loses power and its disk.
    Wipe {
        /// The process.
        node: NodeId,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A process is frozen, and goes on where it was.
    Freeze {
        /// The process.
        node: NodeId,
        /// How long it lasts.
        lasts: Micros,
    },
    /// The platform stops a process gracefully.
    Terminate {
        /// The process.
        node: NodeId,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A process is cut from all others.
    Isolate {
        /// The process.
        node: NodeId,
        /// How long it lasts.
        lasts: Micros,
    },
    /// One direction between two processes is cut.
    CutOneWay {
        /// The sender.
        from: NodeId,
        /// The receiver.
        to: NodeId,
        /// How long it lasts.
        lasts: Micros,
    },
    /// Two groups are cut from each other, both ways.
    CutGroups {
        /// One group.
        one: Vec<NodeId>,
        /// The other group.
        other: Vec<NodeId>,
        /// How long it lasts.
        lasts: Micros,
    },
    /// The time of day jumps and jumps back.
    ClockStep {
        /// The process.
        node: NodeId,
        /// How far it jumps, in milliseconds.
        millis: i64,
        /// How long it lasts.
        lasts: Micros,
    },
    /// Syncs of a disk are slow.
    SlowDisk {
        /// The process.
        node: NodeId,
        /// How long a sync takes.
        sync: Micros,
        /// How long it lasts.
        lasts: Micros,
    },
    /// No sync of a disk ends for a while.
    StallDisk {
        /// The process.
        node: NodeId,
        /// How long it lasts.
        lasts: Micros,
    },
    /// Many messages are lost.
    Storm {
        /// The part of messages that are lost.
        loss: f64,
        /// How long it lasts.
        lasts: Micros,
    },
    /// All of these are killed at once.
    KillMany {
        /// The processes.
        nodes: Vec<NodeId>,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// All of these lose power at once.
    PowerLossMany {
        /// The processes.
        nodes: Vec<NodeId>,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A core machine is gone for good; an empty one takes its place at another address later.
    ReplaceCore {
        /// The process.
        node: NodeId,
        /// The address of the machine that takes its place.
        successor: NodeId,
        /// The successor starts so long after the fault.
        successor_after: Micros,
    },
    /// A core machine's successor starts; later the machine is asked to end, and is gone for good.
    ReplaceCorePlanned {
        /// The process.
        node: NodeId,
        /// The address of the machine that takes its place.
        successor: NodeId,
        /// How long both run.
        overlap: Micros,
    },
    /// The day's final fault: all machines lose power, runners among them.
    FinalPowerLoss {
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A runner dies without notice.
    RunnerCrash {
        /// The index of the runner.
        runner: usize,
        /// It starts again so long after the fault.
        back_after: Micros,
    },
    /// A runner shuts down gracefully.
    RunnerDrain {
        /// The index of the runner.
        runner: usize,
        /// The time that it announces, in milliseconds of its clock or as a span.
        left: Micros,
        /// It serves on for so long.
        serves_on: Micros,
    },
    /// A runner deregisters without ever saying `draining`, and serves on.
    RunnerDeregister {
        /// The index of the runner.
        runner: usize,
        /// It serves on for so long.
        serves_on: Micros,
    },
    /// A runner sends no heartbeats for a while, and works on.
    RunnerSilence {
        /// The index of the runner.
        runner: usize,
        /// How long it lasts.
        lasts: Micros,
    },
}

/// What there is to be hit by faults.
#[derive(Clone, Debug)]
pub struct FaultField {
    /// The core processes.
    pub cores: Vec<NodeId>,
    /// Addresses of core machines that may take the place of others.
    pub successors: Vec<NodeId>,
    /// The frontends.
    pub frontends: Vec<NodeId>,
    /// The agents.
    pub sides: Vec<NodeId>,
    /// How many runners there are.
    pub runners: usize,
    /// So many core machines may be lost at once.
    pub tolerated: usize,
    /// After its return a core machine counts as lost for so long.
    pub catch_up: Micros,
}

/// Draws faults of the core one after another, with time to catch up between them, and faults of everything
/// else at any time.
pub fn random_schedule(
    chance: &mut Chance,
    field: &FaultField,
    from: Micros,
    until: Micros,
) -> Vec<PlannedFault> {
    let mut schedule = core_schedule(chance, field, from, until);
    let others = chance.between(0, 14);
    for _ in 0..others {
        let at = chance.between(from, until);
        let fault = other_fault(chance, field);
        schedule.push(PlannedFault { at, fault });
    }
    schedule.sort_by_key(|planned| planned.at);
    schedule
}

fn core_schedule(
    chance: &mut Chance,
    field: &FaultField,
    from: Micros,
    until: Micros,
) -> Vec<PlannedFault> {
    let mut schedule = Vec::new();
    let mut at = from + chance.between(0, 6 * SECOND);
    let mut core = CoreField {
        machines: field.cores.clone(),
        successors: field.successors.clone(),
    };
    while at < until && field.tolerated > 0 {
        let lasts = chance.between(200, 6_000) * MILLISECOND;
        let faults = core_faults(chance, &mut core, lasts);
        schedule.extend(faults.into_iter().map(|fault| PlannedFault { at, fault }));
        at += lasts + field.catch_up + chance.between(0, 8 * SECOND);
    }
    schedule
}

fn pick(chance: &mut Chance, nodes: &[NodeId]) -> NodeId {
    nodes[chance.index(nodes.len())]
}

/// The core machines that there are at a time, and the addresses that are left for others.
struct CoreField {
    machines: Vec<NodeId>,
    successors: Vec<NodeId>,
}

impl CoreField {
    fn others(&self, node: NodeId) -> Vec<NodeId> {
        self.machines
            .iter()
            .copied()
            .filter(|other| *other != node)
            .collect()
    }

    /// A new machine takes the place of `node`.
    fn replace(&mut self, node: NodeId) -> Option<NodeId> {
        let successor = self.successors.pop()?;
        self.machines.retain(|machine| *machine != node);
        self.machines.push(successor);
        Some(successor)
    }
}

/// One fault of the core, or a lost disk while all others lose power.
fn core_faults(chance: &mut Chance, core: &mut CoreField, lasts: Micros) -> Vec<Fault> {
    if !chance.happens(WIPE_WITH_POWER_LOSS) {
        return vec![core_fault(chance, core, lasts)];
    }
    let node = pick(chance, &core.machines);
    let back_after = chance.between(200, 3_000) * MILLISECOND;
    let others = Fault::PowerLossMany {
        nodes: core.others(node),
        back_after,
    };
    vec![
        Fault::Wipe {
            node,
            back_after: lasts,
        },
        others,
    ]
}

fn core_fault(chance: &mut Chance, core: &mut CoreField, lasts: Micros) -> Fault {
    let node = pick(chance, &core.machines);
    let others = core.others(node);
    match chance.between(0, 16) {
        0 => Fault::Kill {
            node,
            back_after: lasts,
        },
        1 => Fault::PowerLoss {
            node,
            back_after: lasts,
        },
        2 => Fault::Wipe {
            node,
            back_after: lasts,
        },
        3 => Fault::Freeze { node, lasts },
        4 => Fault::Terminate {
            node,
            back_after: SECOND,
        },
        5 => Fault::Isolate { node, lasts },
        6 => Fault::CutGroups {
            one: vec![node],
            other: others,
            lasts,
        },
        7 => Fault::CutOneWay {
            from: node,
            to: pick(chance, &others),
            lasts,
        },
        8 => Fault::ClockStep {
            node,
            millis: clock_step(chance),
            lasts,
        },
        9 => Fault::SlowDisk {
            node,
            sync: chance.between(20, 400) * MILLISECOND,
            lasts,
        },
        10 => Fault::StallDisk { node, lasts },
        11 => {
            let back_after = chance.between(100, 1_000) * MILLISECOND;
            Fault::KillMany {
                nodes: core.machines.clone(),
                back_after,
            }
        }
        12 => Fault::PowerLossMany {
            nodes: core.machines.clone(),
            back_after: lasts,
        },
        drawn => replacement(core, node, drawn == 13, lasts),
    }
}

/// A replaced machine, or a killed one where no address is left.
fn replacement(core: &mut CoreField, node: NodeId, planned: bool, lasts: Micros) -> Fault {
    match core.replace(node) {
        Some(successor) if planned => Fault::ReplaceCorePlanned {
            node,
            successor,
            overlap: lasts,
        },
        Some(successor) => Fault::ReplaceCore {
            node,
            successor,
            successor_after: lasts,
        },
        None => Fault::Kill {
            node,
            back_after: lasts,
        },
    }
}

fn clock_step(chance: &mut Chance) -> i64 {
    chance.between(0, 10_000) as i64 - 5_000
}

fn other_fault(chance: &mut Chance, field: &FaultField) -> Fault {
    let cores: Vec<NodeId> = field
        .cores
        .iter()
        .chain(&field.successors)
        .copied()
        .collect();
    let lasts = chance.between(200, 8_000) * MILLISECOND;
    let side = pick(chance, &field.sides);
    let frontend = pick(chance, &field.frontends);
    let runner = chance.index(field.runners);
    match chance.between(0, 18) {
        13 => Fault::KillMany {
            nodes: field.sides.clone(),
            back_after: lasts / 4,
        },
        14 => Fault::KillMany {
            nodes: field.frontends.clone(),
            back_after: lasts / 4,
        },
        15 => Fault::CutGroups {
            one: field.sides.clone(),
            other: cores,
            lasts: 2 * lasts,
        },
        0 => Fault::Kill {
            node: side,
            back_after: lasts,
        },
        1 => Fault::Freeze { node: side, lasts },
        2 => Fault::Isolate { node: side, lasts },
        3 => Fault::CutGroups {
            one: vec![side],
            other: cores,
            lasts,
        },
        4 => Fault::CutOneWay {
            from: side,
            to: pick(chance, &field.cores),
            lasts,
        },
        5 => Fault::Kill {
            node: frontend,
            back_after: lasts,
        },
        6 => Fault::Freeze {
            node: frontend,
            lasts,
        },
        7 => Fault::CutGroups {
            one: vec![frontend],
            other: cores,
            lasts,
        },
        8 => Fault::Terminate {
            node: frontend,
            back_after: SECOND,
        },
        9 => Fault::Terminate {
            node: side,
            back_after: SECOND,
        },
        10 => Fault::RunnerCrash {
            runner,
            back_after: lasts,
        },
        11 => Fault::RunnerDrain {
            runner,
            left: 3 * SECOND,
            serves_on: 2 * SECOND + lasts,
        },
        12 => Fault::RunnerSilence { runner, lasts },
        16 => Fault::RunnerDeregister {
            runner,
            serves_on: 2 * SECOND + lasts,
        },
        _ => Fault::Storm {
            loss: 0.2,
            lasts: lasts / 4,
        },
    }
}
