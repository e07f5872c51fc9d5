//! The inputs of a placement pass and the placements that it returns.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::StepId;
use crate::reservation::{Reservation, ReservationKind};
use crate::spec::Labels;

/// A runner with free capacity at which work may start.
#[derive(Clone, Debug)]
pub struct AvailableRunner {
    /// The address of the runner's agent.
    pub node: NodeId,
    /// The runner's free capacity: CPU in thousandths of a core, memory in megabytes, number of GPUs.
    pub free: Resources,
    /// The runner's labels; the last one names its rack.
    pub labels: Arc<[String]>,
    /// Reserves the free capacity for one step; steps of a higher priority may still start there.
    pub reservation: Option<Reservation>,
    /// The maximum number of starts at the runner in this pass; a suspect runner gets a single one as its trial. All
    /// members of a gang together count as one start, because none of them can start without the others.
    pub max_starts: u32,
    /// The maximum number of runs that may be added at the runner, members of gangs included.
    pub run_slots: u32,
    /// The runner is suspect of failing its runs, so gangs start there only if other runners do not suffice.
    pub is_suspect: bool,
    /// The runner works much slower than others, so only steps with `takes_stragglers` start there.
    pub is_straggler: bool,
}

impl AvailableRunner {
    /// Returns the runner's rack, which is its last label; empty if it has no labels.
    pub(super) fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// A step with tasks that wait for a runner.
#[derive(Clone, Debug)]
pub struct PendingStep {
    /// The ID of the step.
    pub id: StepId,
    /// The priority of the step's job; 0 is the most urgent.
    pub priority: u32,
    /// The resources that one task needs.
    pub resources: Resources,
    /// The number of tasks that wait for a runner.
    pub waiting: u32,
    /// The tasks form a gang: all of them start together, or none does.
    pub is_gang: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// The gang still waits for a rack that can hold all its tasks, so it must not start across several racks.
    pub holds_for_rack: bool,
    /// The number of waiting tasks that may start away from their data in this pass; the others wait for a runner in
    /// the rack of their data.
    pub max_far_tasks: u32,
    /// The step has waited long enough to start at stragglers too.
    pub takes_stragglers: bool,
    /// The step has waited long enough beside idle runners to start at runners that are being drained for other steps.
    pub ignores_drains: bool,
    /// The rack that holds the step's data; empty if the tasks need no particular rack.
    pub affinity: String,
    /// The labels that a runner must have to take the step's tasks.
    pub constraints: Labels,
    /// The maximum number of the step's tasks at one runner; 0 means no limit.
    pub anti_affinity: u32,
    /// The number of the step's tasks assigned to each runner, by the address of the runner's agent. A pass is given
    /// these counts only if `anti_affinity` is set.
    pub assigned_per_runner: BTreeMap<NodeId, u32>,
    /// The number of waiting tasks that have failed at each runner and avoid it, by the address of the runner's agent.
    pub avoiding_per_runner: BTreeMap<NodeId, u32>,
}

impl PendingStep {
    /// Returns true if the step must not start at a runner because the reservation is for another step.
    pub(super) fn is_excluded_by(&self, reservation: &Reservation) -> bool {
        let ignores = self.ignores_drains && reservation.kind == ReservationKind::Draining;
        !ignores && reservation.step != self.id && reservation.priority <= self.priority
    }

    /// Returns how many more of the step's tasks anti-affinity allows at a runner.
    pub(super) fn anti_affinity_left(&self, node: NodeId) -> u32 {
        if self.anti_affinity == 0 {
            return u32::MAX;
        }
        let assigned = self.assigned_per_runner.get(&node).copied().unwrap_or(0);
        self.anti_affinity.saturating_sub(assigned)
    }

    /// Returns true if at least one waiting task has not failed at the runner.
    pub(super) fn has_task_for(&self, node: NodeId) -> bool {
        self.waiting > self.avoiding_per_runner.get(&node).copied().unwrap_or(0)
    }
}

/// The decision that one task of a step starts at a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The step whose task starts.
    pub step: StepId,
    /// The address of the runner's agent.
    pub runner: NodeId,
}
