//! Runs that are better ended where they are: on a runner that leaves, or that stand still.

use crate::ids::{JobId, TaskId};
use crate::records::Outcome;
use crate::runner::{Assignment, Runner};
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;

/// A run whose progress has not moved for so long stands still, in milliseconds, whatever its estimate.
const STALL_MS: u64 = 2_000;
/// A run may stand still for this part of its estimate.
const STALL_OF_ESTIMATE: f64 = 0.25;
/// Beyond the longest stop, so that a stop is over before its runner leaves, in milliseconds.
const EVACUATION_MARGIN_MS: u64 = 700;
/// Progress below this tells nothing of a run's pace, in hundredths.
const MIN_PACE_PERCENT: u8 = 5;

impl Scheduler {
    /// Stops what is better run elsewhere.
    pub(crate) fn relocate_runs(&mut self, now: Now) {
        let mut unwanted: Vec<(NodeId, TaskId)> = Vec::new();
        let mut stalled: Vec<(NodeId, JobId)> = Vec::new();
        for (&node, runner) in &self.runners {
            if runner.draining {
                // Its agent offers it no start any more.
                let unstarted = runner
                    .assigned
                    .iter()
                    .filter(|(_, a)| !a.active && !a.seen && !a.stop);
                unwanted.extend(unstarted.map(|(&task, _)| (node, task)));
            }
            for (&task, assignment) in runner.assigned.iter().filter(|(_, a)| a.active && !a.stop) {
                let Some(stage) = self.running_stage(task) else {
                    continue;
                };
                if runner.draining && self.must_evacuate(now, runner, assignment, stage) {
                    unwanted.push((node, task));
                } else if runner.reachable(now.steady) && self.is_stalled(now, assignment, stage) {
                    unwanted.push((node, task));
                    stalled.push((node, task.step.job));
                }
            }
        }
        for (node, job) in stalled {
            log::info!("a run at {node} stands still");
            self.record_failure(now, node, job);
        }
        unwanted
            .into_iter()
            .for_each(|(node, task)| self.stop(node, task));
    }

    fn running_stage(&self, id: TaskId) -> Option<&Stage> {
        let job = self
            .jobs
            .get(&id.step.job)
            .filter(|job| job.outcome == Outcome::Active)?;
        job.stage(id.step)
    }

    fn is_stalled(&self, now: Now, assignment: &Assignment, stage: &Stage) -> bool {
        if stage.long_running || assignment.percent >= 100 {
            return false;
        }
        let estimate_ms = (stage.estimate_ms * STALL_OF_ESTIMATE) as u64;
        let waits_ms = if stage.gang {
            self.settings.bounds.gang_ms
        } else {
            0
        };
        let limit_ms = STALL_MS.max(estimate_ms) + waits_ms + self.settings.bounds.restore_ms;
        now.steady.millis_since(assignment.progressed_at) > limit_ms
    }

    /// True where a run on a draining runner should move now.
    fn must_evacuate(
        &self,
        now: Now,
        runner: &Runner,
        assignment: &Assignment,
        stage: &Stage,
    ) -> bool {
        if stage.long_running {
            return true;
        }
        let left_ms = runner
            .remaining_ms
            .saturating_sub(now.steady.millis_since(runner.last_report_at));
        let stop_ms = self.settings.bounds.stop_ms + EVACUATION_MARGIN_MS;
        if stage.checkpoints {
            return left_ms <= stop_ms;
        }
        let ran_ms = now.steady.millis_since(assignment.since);
        let percent = u64::from(assignment.percent);
        let needed_ms = match assignment.percent >= MIN_PACE_PERCENT {
            true => ran_ms * (100 - percent.min(100)) / percent,
            false => (stage.estimate_ms as u64).saturating_sub(ran_ms),
        };
        needed_ms > left_ms && left_ms > 0
    }
}
