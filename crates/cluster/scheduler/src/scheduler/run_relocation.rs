//! Moves runs to other runners: stalled runs, runs on draining runners, and runs on stragglers.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::runner::{Assignment, Runner};
use crate::spec::Stage;
use crate::step_run::AssignedRun;

/// The shortest time without progress after which a run is stalled, in milliseconds, however short its estimate.
const STALL_MS: u64 = 2_000;
/// A run may be without progress for this part of its estimated duration before it is stalled.
const STALL_ESTIMATE_FRACTION: f64 = 0.25;
/// A run with checkpoints is evacuated this much earlier than the longest stop requires, in milliseconds, so that the
/// stop is complete before the runner leaves.
const EVACUATION_MARGIN_MS: u64 = 700;
/// Progress below this is not used to extrapolate a run's duration, in hundredths.
const MIN_PACE_PERCENT: u8 = 5;

/// The runs to stop.
#[derive(Default)]
struct Relocations {
    /// All runs to stop.
    unwanted: Vec<AssignedRun>,
    /// The stalled runs among them, which are evidence against the health of their runners.
    stalled: Vec<AssignedRun>,
}

impl Scheduler {
    /// Stops the runs that should move to another runner. Their tasks are requeued when the runs end.
    pub(super) fn relocate_runs(&mut self, now: Now) {
        let mut relocations = self.find_relocations(now);
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
            .extend(self.select_runs_to_move_from_stragglers(now));
        for run in relocations.unwanted {
            self.runners.stop(run);
        }
    }

    /// Finds the stalled runs and those that must leave draining runners.
    fn find_relocations(&self, now: Now) -> Relocations {
        let mut relocations = Relocations::default();
        for (node, runner) in self.runners.iter() {
            for (&task, assignment) in &runner.assigned {
                let run = AssignedRun { task, node };
                if assignment.unwanted {
                    continue;
                }
                if !assignment.active {
                    // The agent of a draining runner no longer offers it any starts.
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

    /// Returns true if a run has been without progress for longer than its estimate permits.
    fn is_stalled(&self, now: Now, assignment: &Assignment, stage: &Stage) -> bool {
        if stage.long_running || assignment.percent >= 100 {
            return false;
        }
        let bounds = &self.settings.bounds;
        let estimate_ms = (stage.estimate_ms * STALL_ESTIMATE_FRACTION) as u64;
        let gang_wait_ms = if stage.gang { bounds.gang_ms } else { 0 };
        let limit_ms = STALL_MS.max(estimate_ms) + gang_wait_ms + bounds.restore_ms;
        now.steady.millis_since(assignment.progressed_at) > limit_ms
    }

    /// Returns true if a run on a draining runner must be stopped now: it cannot end before the runner leaves, or a
    /// later stop would leave too little time to save its checkpoint. Long-running tasks move at once.
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

/// Returns the remaining time of a run, extrapolated from its progress so far or else from its estimate, in
/// milliseconds.
fn remaining_run_ms(now: Now, assignment: &Assignment, stage: &Stage) -> u64 {
    let ran_ms = now.steady.millis_since(assignment.assigned_at);
    let percent = u64::from(assignment.percent);
    if assignment.percent >= MIN_PACE_PERCENT {
        ran_ms * (100 - percent.min(100)) / percent
    } else {
        (stage.estimate_ms as u64).saturating_sub(ran_ms)
    }
}
