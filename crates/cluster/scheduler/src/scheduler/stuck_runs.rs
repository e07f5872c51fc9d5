//! Runs that should move elsewhere: stalled ones, and those on a runner that shuts down.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::runner::{Assignment, Runner};
use crate::spec::Stage;
use crate::step_run::AssignedRun;

/// A run whose progress has not changed for so long is stalled, in milliseconds, however short its estimate.
const STALL_MS: u64 = 2_000;
/// A run may go without progress for this part of its estimate.
const STALL_OF_ESTIMATE: f64 = 0.25;
/// Beyond the longest stop, so that a stop is over before its runner leaves, in milliseconds.
const EVACUATION_MARGIN_MS: u64 = 700;
/// Progress below this says nothing of a run's pace, in hundredths.
const MIN_PACE_PERCENT: u8 = 5;

/// The runs to stop.
#[derive(Default)]
struct Relocations {
    /// All of them.
    unwanted: Vec<AssignedRun>,
    /// The stalled ones among them: evidence against their runners.
    stalled: Vec<AssignedRun>,
}

impl Scheduler {
    /// Stops runs that should move elsewhere.
    pub(super) fn relocate_runs(&mut self, now: Now) {
        let mut relocations = self.relocations(now);
        for AssignedRun { task, node } in std::mem::take(&mut relocations.stalled) {
            log::info!(
                "run stalled: term={} job={} task={task} runner={node}",
                self.term,
                task.step.job
            );
            self.record_failure(now, node, task.step.job);
        }
        relocations
            .unwanted
            .extend(self.runs_to_move_from_stragglers(now));
        for run in relocations.unwanted {
            self.runners.stop(run);
        }
    }

    fn relocations(&self, now: Now) -> Relocations {
        let mut relocations = Relocations::default();
        for (node, runner) in self.runners.iter() {
            for (&task, assignment) in &runner.assigned {
                let run = AssignedRun { task, node };
                if assignment.unwanted {
                    continue;
                }
                if !assignment.active {
                    // The agent of a draining runner offers it no start any more.
                    if runner.draining && !assignment.seen_active {
                        relocations.unwanted.push(run);
                    }
                    continue;
                }
                let job = self.jobs.get_active(task.step.job);
                let Some(stage) = job.and_then(|job| job.stage(task.step)) else {
                    continue;
                };
                if runner.draining && self.must_evacuate(now, runner, assignment, stage) {
                    relocations.unwanted.push(run);
                } else if runner.is_reachable(now.steady) && self.is_stalled(now, assignment, stage)
                {
                    relocations.unwanted.push(run);
                    relocations.stalled.push(run);
                }
            }
        }
        relocations
    }

    /// True where a run has been without progress for longer than its estimate explains.
    fn is_stalled(&self, now: Now, assignment: &Assignment, stage: &Stage) -> bool {
        if stage.long_running || assignment.percent >= 100 {
            return false;
        }
        let bounds = &self.settings.bounds;
        let estimate_ms = (stage.estimate_ms * STALL_OF_ESTIMATE) as u64;
        let gang_wait_ms = if stage.gang { bounds.gang_ms } else { 0 };
        let limit_ms = STALL_MS.max(estimate_ms) + gang_wait_ms + bounds.restore_ms;
        now.steady.millis_since(assignment.progressed_at) > limit_ms
    }

    /// True where a run on a draining runner should move now: it can't end before the runner leaves, or its checkpoint
    /// would come too late.
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
        let since_report_ms = now.steady.millis_since(runner.last_report_at);
        let left_ms = runner.drain_remaining_ms.saturating_sub(since_report_ms);
        if stage.checkpoints {
            return left_ms <= self.settings.bounds.stop_ms + EVACUATION_MARGIN_MS;
        }
        left_ms > 0 && remaining_run_ms(now, assignment, stage) > left_ms
    }
}

/// How much longer a run takes, by its progress so far or else by its estimate, in milliseconds.
fn remaining_run_ms(now: Now, assignment: &Assignment, stage: &Stage) -> u64 {
    let ran_ms = now.steady.millis_since(assignment.assigned_at);
    let percent = u64::from(assignment.percent);
    if assignment.percent >= MIN_PACE_PERCENT {
        ran_ms * (100 - percent.min(100)) / percent
    } else {
        (stage.estimate_ms as u64).saturating_sub(ran_ms)
    }
}
