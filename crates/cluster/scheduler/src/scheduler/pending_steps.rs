//! Pending steps as a placement pass needs them: what they ask for, what they still wait for, and what they avoid.

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

/// A step that has been pending for so long no longer avoids runners at which its tasks failed, in milliseconds.
const FAILED_RUNNER_AVOIDANCE_MS: u64 = 2_500;
/// A step that has been pending for so long takes stragglers too, in milliseconds.
const STRAGGLER_AVOIDANCE_MS: u64 = 1_500;
/// A step that has been pending for so long, while many runners are idle, takes those that are being drained for another
/// step, in milliseconds: a job must not stand still beside them for seconds.
const DRAIN_PATIENCE_MS: u64 = 2_000;

impl Scheduler {
    /// The racks of a service, and how long its work may wait for them.
    pub(super) fn racks<'a>(&'a self, now: Now, service: &'a str) -> (Racks<'a>, HoldLimit) {
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

    /// A pending step as a placement pass needs it. To be called in the order in which steps are placed.
    pub(super) fn pending_step(
        &self,
        now: Now,
        key: PendingKey,
        racks: &mut Racks,
        limit: HoldLimit,
    ) -> Option<PendingStep> {
        let job = self.jobs.get(key.step.job)?;
        let (stage, step) = (job.stage(key.step)?, job.step(key.step)?);
        let pending_since = step.waiting_since.max(job.accepted_at);
        let pending_ms = now.steady.millis_since(pending_since);
        let waiting = step.waiting.len() as u32;
        let max_hold_ms = limit.max_hold_ms(stage.estimate_ms);
        let held = racks.hold_tasks(RackDemand {
            rack: &stage.affinity,
            resources: stage.resources(),
            estimate_ms: stage.estimate_ms,
            waiting,
            pending_ms,
            max_hold_ms,
        });
        let avoiding = if pending_ms < FAILED_RUNNER_AVOIDANCE_MS {
            count_avoiding(step)
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
            ignores_drains: pending_ms >= DRAIN_PATIENCE_MS && limit.is_idle(),
            affinity: stage.affinity.clone(),
            constraints: stage.constraints.clone(),
            anti_affinity: stage.anti_affinity,
            assigned_per_runner: count_assigned(stage, step),
            avoiding_per_runner: avoiding,
        })
    }
}

/// How many waiting tasks of a step have failed at each runner.
fn count_avoiding(step: &StepRun) -> BTreeMap<NodeId, u32> {
    let waiting = step
        .waiting
        .iter()
        .filter_map(|&index| step.tasks.get(index as usize));
    count(waiting.flat_map(|task| task.failed_at.iter().copied()))
}

/// How many tasks of a step are assigned to each runner; counted only where anti-affinity asks for it.
fn count_assigned(stage: &Stage, step: &StepRun) -> BTreeMap<NodeId, u32> {
    if stage.anti_affinity == 0 {
        return BTreeMap::new();
    }
    count(step.tasks.iter().filter_map(|task: &Task| task.runner))
}

fn count(nodes: impl Iterator<Item = NodeId>) -> BTreeMap<NodeId, u32> {
    let mut counts = BTreeMap::new();
    nodes.for_each(|node| *counts.entry(node).or_default() += 1);
    counts
}
