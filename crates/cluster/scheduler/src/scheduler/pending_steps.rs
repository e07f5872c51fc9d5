//! Builds the input of a placement pass for pending steps: their demand, how long they wait for a runner near their
//! data, and the runners that they avoid.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::capacity::add;
use crate::pending_queue::PendingKey;
use crate::placement::{HoldLimit, PendingStep, RackDemand, Racks};
use crate::spec::Stage;
use crate::step_run::{StepRun, Task};

/// A step avoids runners on which its tasks failed until it has been pending for this time, in milliseconds.
const FAILED_RUNNER_AVOIDANCE_MS: u64 = 2_500;
/// A step avoids stragglers until it has been pending for this time, in milliseconds.
const STRAGGLER_AVOIDANCE_MS: u64 = 1_500;
/// While many runners are idle, a step avoids runners that are drained for another step only until it has been pending
/// for this time, in milliseconds: a job must not wait for seconds while runners are idle.
const DRAIN_AVOIDANCE_MS: u64 = 2_000;

impl Scheduler {
    /// Returns the racks of a service's reachable runners, and the limit on how long tasks wait for a runner near their
    /// data.
    pub(super) fn racks_and_hold_limit<'a>(
        &'a self,
        now: Now,
        service: &'a str,
    ) -> (Racks<'a>, HoldLimit) {
        let mut racks = Racks::default();
        let (mut capacity, mut free) = (Resources::default(), Resources::default());
        for (_, runner) in self.runners.of_service(service) {
            if runner.is_reachable(now.steady) {
                racks.add_runner(runner.rack(), runner.capacity);
                add(&mut capacity, runner.capacity);
                add(&mut free, runner.free_capacity());
            }
        }
        let far_x = self.settings.bounds.far_x;
        (racks, HoldLimit::new(far_x, capacity, free))
    }

    /// Builds a placement pass's input for a pending step. Must be called in the order in which the steps are placed,
    /// because `racks` accumulates the demand for each rack.
    pub(super) fn pending_step(
        &self,
        now: Now,
        key: PendingKey,
        racks: &mut Racks,
        hold_limit: HoldLimit,
    ) -> Option<PendingStep> {
        let job = self.jobs.get(key.step.job)?;
        let (stage, step) = (job.stage(key.step)?, job.step(key.step)?);
        let pending_since = step.waiting_since.max(job.accepted_at);
        let pending_ms = now.steady.millis_since(pending_since);
        let waiting = step.waiting.len() as u32;
        let max_hold_ms = hold_limit.max_hold_ms(stage.estimate_ms);
        let held = racks.hold_tasks(RackDemand {
            rack: &stage.affinity,
            resources: stage.resources(),
            estimate_ms: stage.estimate_ms,
            waiting,
            pending_ms,
            max_hold_ms,
        });
        let avoiding = if pending_ms < FAILED_RUNNER_AVOIDANCE_MS {
            count_failed_at(step)
        } else {
            BTreeMap::new()
        };
        Some(PendingStep {
            id: key.step,
            priority: key.priority,
            resources: stage.resources(),
            waiting,
            is_gang: stage.gang,
            long_running: stage.long_running,
            holds_for_rack: stage.rack_local
                && (pending_ms as f64) < max_hold_ms
                && racks.can_hold(stage.resources(), waiting),
            max_far_tasks: if stage.gang { u32::MAX } else { waiting - held },
            takes_stragglers: pending_ms >= STRAGGLER_AVOIDANCE_MS,
            ignores_drains: pending_ms >= DRAIN_AVOIDANCE_MS && hold_limit.is_idle(),
            affinity: stage.affinity.clone(),
            constraints: stage.constraints.clone(),
            anti_affinity: stage.anti_affinity,
            assigned_per_runner: count_assigned(stage, step),
            avoiding_per_runner: avoiding,
        })
    }
}

/// Counts, for each runner, the waiting tasks of a step that have failed there.
fn count_failed_at(step: &StepRun) -> BTreeMap<NodeId, u32> {
    let waiting = step
        .waiting
        .iter()
        .filter_map(|&index| step.tasks.get(index as usize));
    count_by_node(waiting.flat_map(|task| task.failed_at.iter().copied()))
}

/// Counts, for each runner, the tasks of a step that are assigned to it. Returns an empty map if the step has no
/// anti-affinity, because only that needs the counts.
fn count_assigned(stage: &Stage, step: &StepRun) -> BTreeMap<NodeId, u32> {
    if stage.anti_affinity == 0 {
        return BTreeMap::new();
    }
    count_by_node(step.tasks.iter().filter_map(|task: &Task| task.runner))
}

/// Counts how often each node occurs.
fn count_by_node(nodes: impl Iterator<Item = NodeId>) -> BTreeMap<NodeId, u32> {
    let mut counts = BTreeMap::new();
    nodes.for_each(|node| *counts.entry(node).or_default() += 1);
    counts
}
