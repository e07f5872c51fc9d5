//! What a placement pass decides on, and what it decides.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::StepId;
use crate::reservation::{Reservation, ReservationKind};
use crate::spec::Labels;

/// A runner with free capacity.
#[derive(Clone, Debug)]
pub struct AvailableRunner {
    /// The address of its agent.
    pub node: NodeId,
    /// Its free capacity.
    pub free: Resources,
    /// Its labels; the last one is its rack.
    pub labels: Arc<[String]>,
    /// Its capacity is reserved for this step, unless another one has a higher priority.
    pub reservation: Option<Reservation>,
    /// At most so many further starts: a suspect runner is tried with one.
    pub max_starts: u32,
    /// It works much slower than others: it is for steps that take any runner.
    pub straggler: bool,
}

impl AvailableRunner {
    /// The rack among its labels: the last one; empty without labels.
    pub(super) fn rack(&self) -> &str {
        self.labels.last().map_or("", String::as_str)
    }
}

/// A step with tasks that wait.
#[derive(Clone, Debug)]
pub struct PendingStep {
    /// The step.
    pub id: StepId,
    /// The priority of its job, 0 first.
    pub priority: u32,
    /// What one task asks for.
    pub resources: Resources,
    /// How many tasks wait.
    pub waiting: u32,
    /// All of them start together, or none.
    pub gang: bool,
    /// The tasks go on until the job is cancelled.
    pub long_running: bool,
    /// The gang waits for a rack that can hold it, and is not spread yet.
    pub holds_for_rack: bool,
    /// How many of its waiting tasks may start away from their data now; the others wait for a near runner.
    pub far_tasks: u32,
    /// It has waited for so long that it takes stragglers too.
    pub takes_stragglers: bool,
    /// It has stood still for so long beside idle runners that it takes those that are being drained for others.
    pub ignores_drains: bool,
    /// The rack of its data; empty for none.
    pub affinity: String,
    /// Labels that a runner must have.
    pub constraints: Labels,
    /// The most of its tasks at one runner; 0 for any number.
    pub anti_affinity: u32,
    /// How many of its tasks are assigned to each runner; counted only where `anti_affinity` is set.
    pub assigned_at: BTreeMap<NodeId, u32>,
    /// How many of its waiting tasks have failed at a runner and avoid it.
    pub avoiding: BTreeMap<NodeId, u32>,
}

impl PendingStep {
    /// True where it must leave a runner to the step for which that is reserved.
    pub(super) fn is_excluded_by(&self, reservation: &Reservation) -> bool {
        let ignores = self.ignores_drains && reservation.kind == ReservationKind::Draining;
        !ignores && reservation.step != self.id && reservation.priority <= self.priority
    }

    /// How many more of its tasks anti-affinity allows at a runner.
    pub(super) fn anti_affinity_left(&self, node: NodeId) -> u32 {
        if self.anti_affinity == 0 {
            return u32::MAX;
        }
        let assigned = self.assigned_at.get(&node).copied().unwrap_or(0);
        self.anti_affinity.saturating_sub(assigned)
    }

    /// True where one of its waiting tasks has not failed at the runner.
    pub(super) fn has_task_for(&self, node: NodeId) -> bool {
        self.waiting > self.avoiding.get(&node).copied().unwrap_or(0)
    }
}

/// One task of the step starts at the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The step.
    pub step: StepId,
    /// The address of the runner's agent.
    pub runner: NodeId,
}
