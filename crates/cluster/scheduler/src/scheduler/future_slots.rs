//! Whether a pending step can ever start: how many of its tasks fit once all runs have ended that end by themselves.
//!
//! Capacity is kept free only for steps that can. Otherwise a step that waits for good would keep work from runners for
//! as long.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::sync::Arc;

use super::Scheduler;
use crate::capacity::{fit_count, subtract};
use crate::runner::Runner;
use crate::spec::Stage;
use crate::step_run::StepRun;

/// What a runner can offer once all runs there have ended that end by themselves.
pub(super) struct FutureCapacity {
    /// The address of the runner's agent.
    pub node: NodeId,
    /// The runner's labels.
    pub labels: Arc<[String]>,
    /// The runner's capacity less that of its long-running tasks.
    pub capacity: Resources,
}

impl FutureCapacity {
    /// Returns how many of the waiting tasks of a step will fit there, with regard to labels and anti-affinity.
    pub(super) fn slots(&self, stage: &Stage, step: &StepRun) -> u32 {
        if !stage.constraints.all_in(&self.labels) {
            return 0;
        }
        let limit = anti_affinity_left(stage, step, self.node).min(step.waiting.len() as u32);
        fit_count(stage.resources(), self.capacity, limit)
    }
}

impl Scheduler {
    /// Returns what the usable runners of a service can offer once all runs there have ended that end by themselves.
    pub(super) fn future_capacities(&self, now: Now, service: &str) -> Vec<FutureCapacity> {
        let runners = self.runners.of_service(service);
        let usable = runners.filter(|(_, runner)| runner.is_usable(now.steady));
        usable
            .map(|(node, runner)| self.future_capacity(node, runner))
            .collect()
    }

    /// Returns what a runner can offer once all runs there have ended that end by themselves.
    pub(super) fn future_capacity(&self, node: NodeId, runner: &Runner) -> FutureCapacity {
        let mut capacity = runner.capacity;
        for (task, assignment) in &runner.assigned {
            let stage = self.jobs.stage(task.step);
            if stage.is_some_and(|stage| stage.long_running) {
                subtract(&mut capacity, assignment.resources);
            }
        }
        FutureCapacity {
            node,
            labels: runner.labels.clone(),
            capacity,
        }
    }
}

/// Returns true if these runners will have capacity for a step: for all waiting tasks of a gang, or for any other task.
pub(super) fn can_ever_start(stage: &Stage, step: &StepRun, runners: &[FutureCapacity]) -> bool {
    let mut needed = if stage.gang {
        step.waiting.len() as u32
    } else {
        1
    };
    runners.iter().any(|runner| {
        needed = needed.saturating_sub(runner.slots(stage, step));
        needed == 0
    })
}

/// Returns how many more tasks of a step anti-affinity allows on a runner.
pub(super) fn anti_affinity_left(stage: &Stage, step: &StepRun, node: NodeId) -> u32 {
    if stage.anti_affinity == 0 {
        return u32::MAX;
    }
    let on_runner = step.tasks.iter().filter(|task| task.runner == Some(node));
    stage.anti_affinity.saturating_sub(on_runner.count() as u32)
}
