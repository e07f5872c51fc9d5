//! Trials of suspect runners by long-running tasks. Such a task never ends, so it succeeds as a trial by staying at work.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;

use super::Scheduler;
use crate::ids::TaskId;
use crate::outlier_ejection::TRIAL_MS;
use crate::runner::{Assignment, Runner};

impl Scheduler {
    /// Makes the suspect runners healthy at which a long-running task has stayed at work since their ejection.
    pub(super) fn end_passed_trials(&mut self, now: Now) {
        let passed = |(_, runner): &(NodeId, &Runner)| self.has_passed_trial(now, runner);
        let nodes: Vec<NodeId> = self
            .runners
            .iter()
            .filter(passed)
            .map(|(node, _)| node)
            .collect();
        for node in nodes {
            log::info!(
                "trial passed by a long-running task: term={} runner={node}",
                self.term
            );
            self.record_success(node);
        }
    }

    fn has_passed_trial(&self, now: Now, runner: &Runner) -> bool {
        !runner.health.is_healthy()
            && runner.is_reachable(now.steady)
            && runner.assigned.iter().any(|(&task, assignment)| {
                runner.health.is_trial_run(assignment.assigned_at)
                    && self.stays_at_work(now, task, assignment)
            })
    }

    /// Returns true if the run is that of a long-running task and has been there for the length of a trial.
    fn stays_at_work(&self, now: Now, task: TaskId, assignment: &Assignment) -> bool {
        let stage = self.jobs.stage(task.step);
        assignment.active
            && !assignment.unwanted
            && now.steady.millis_since(assignment.assigned_at) >= TRIAL_MS
            && stage.is_some_and(|stage| stage.long_running)
    }
}
