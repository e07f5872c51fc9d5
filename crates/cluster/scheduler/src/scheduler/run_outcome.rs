//! Processes the end of a run: its task is done, its job fails, or the task waits for another run.

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{NodeId, Time};

use super::Scheduler;
use crate::ids::{JobId, StepId, TaskId};
use crate::records::{Key, Outcome};
use crate::step_run::AssignedRun;

/// A run that has certainly ended.
pub(super) struct EndedRun {
    /// The run.
    pub run: AssignedRun,
    /// How it ended.
    pub end: RunEnd,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: String,
}

impl EndedRun {
    /// Creates the end of a run that is over although its runner has reported no end.
    pub(super) fn lease_expired(run: AssignedRun) -> EndedRun {
        EndedRun {
            run,
            end: RunEnd::LeaseExpired,
            checkpoint: String::new(),
        }
    }
}

/// A failed run that is counted against the limit of attempts.
#[derive(Clone, Copy)]
struct Failure {
    run: AssignedRun,
    attempt: u64,
}

/// The consequence of a failed run for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureVerdict {
    /// The task may be tried again.
    Retry,
    /// The job has failed.
    JobFailed {
        /// The number of failed attempts of the task or gang.
        failures: u32,
    },
}

impl Scheduler {
    /// Removes a run's assignment from its runner and updates its task: done, failed or waiting for another run. Ends the
    /// occurrence if this was its last run.
    pub(super) fn end_run(&mut self, now: Now, ended: EndedRun) {
        let step = ended.run.task.step;
        self.update_ended_task(now, ended);
        self.end_finished_occurrence(step);
    }

    fn update_ended_task(&mut self, now: Now, ended: EndedRun) {
        let AssignedRun {
            node,
            task: task_id,
        } = ended.run;
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let Some(assignment) = runner.assigned.remove(&task_id) else {
            return;
        };
        runner.health.end_trial();
        self.runners.set_changed(node);
        self.placement_due = true;
        let Some(job) = self.jobs.get_active_mut(task_id.step.job) else {
            self.commits.delete(Key::Task(task_id));
            return;
        };
        let Some(task) = job.task_mut(task_id) else {
            return;
        };
        task.runner = None;
        let is_first_failure = task.failures == 0;
        let long_running = job
            .stage(task_id.step)
            .is_some_and(|stage| stage.long_running);
        if !ended.checkpoint.is_empty() {
            self.jobs.set_checkpoint(task_id, &ended.checkpoint);
        }
        match ended.end {
            RunEnd::Done => {
                self.record_success(node);
                if !long_running {
                    return self.complete_task(now, task_id);
                }
            }
            RunEnd::Failed => {
                if is_first_failure {
                    self.record_failure(now, node, task_id.step.job);
                }
                let failure = Failure {
                    run: ended.run,
                    attempt: assignment.attempt,
                };
                if let FailureVerdict::JobFailed { failures } = self.count_failure(failure) {
                    return self.fail_job(now, failure, failures);
                }
            }
            _ => {}
        }
        self.requeue_task(now, task_id);
    }

    /// Records a successful run as evidence for the runner's health.
    pub(super) fn record_success(&mut self, node: NodeId) {
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let baseline = self.failure_rates.record_end(&runner.service, false);
        runner.health.record_success(baseline);
    }

    /// Records a failed or stalled run of the job as evidence against the runner's health.
    pub(super) fn record_failure(&mut self, now: Now, node: NodeId, job: JobId) {
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let baseline = self.failure_rates.record_end(&runner.service, true);
        runner.health.record_failure(now.steady, job, baseline);
    }

    /// Marks a task as done, and with it all members of its gang. Ends the job if this was its last task.
    fn complete_task(&mut self, now: Now, task_id: TaskId) {
        let Some(job) = self.jobs.get_mut(task_id.step.job) else {
            return;
        };
        let is_gang = job.stage(task_id.step).is_some_and(|stage| stage.gang);
        let members = if is_gang {
            0..job
                .step(task_id.step)
                .map_or(0, |step| step.tasks.len() as u32)
        } else {
            task_id.index..task_id.index + 1
        };
        for index in members {
            let member = TaskId { index, ..task_id };
            let job = self.jobs.get_mut(task_id.step.job);
            let is_newly_done = job.is_some_and(|job| job.mark_done(member));
            if is_newly_done || member == task_id {
                self.write_task(member);
            }
        }
        let Some(job) = self.jobs.get(task_id.step.job) else {
            return;
        };
        if job.remaining == 0 {
            return self.end_job(now, task_id.step.job, Outcome::Completed);
        }
        let has_step_ended = job.step(task_id.step).is_some_and(|step| step.has_ended());
        self.refresh_step(task_id.step);
        if has_step_ended {
            self.enqueue_dependents(now.steady, task_id.step);
        }
    }

    /// Enqueues the steps that depend on a step that has ended, if they are ready.
    fn enqueue_dependents(&mut self, now: Time, ended: StepId) {
        let Some(job) = self.jobs.get(ended.job) else {
            return;
        };
        let depends_on_ended = |step_id: &StepId| {
            job.stage(*step_id)
                .is_some_and(|stage| stage.depends_on.contains(&ended.step))
        };
        let mut dependents = job.steps_of(ended.occurrence);
        dependents.retain(depends_on_ended);
        for step_id in dependents {
            if let Some(step) = self.jobs.step_mut(step_id) {
                step.waiting_since = now;
            }
            self.refresh_step(step_id);
        }
    }

    /// Counts a failed run. A failed attempt of a gang counts only once, however many of its members fail.
    fn count_failure(&mut self, failure: Failure) -> FailureVerdict {
        let Failure { run, attempt } = failure;
        let AssignedRun {
            node,
            task: task_id,
        } = run;
        let Some(job) = self.jobs.get_mut(task_id.step.job) else {
            return FailureVerdict::Retry;
        };
        let max_attempts = job.attributes.queue.max_attempts;
        let Some(stage) = job.stage(task_id.step) else {
            return FailureVerdict::Retry;
        };
        let (is_gang, long_running) = (stage.gang, stage.long_running);
        let Some(step) = job.step_mut(task_id.step) else {
            return FailureVerdict::Retry;
        };
        let Some(task) = step.tasks.get_mut(task_id.index as usize) else {
            return FailureVerdict::Retry;
        };
        let mut failures = task.failures + 1;
        if is_gang {
            if attempt <= step.failed_attempt {
                return FailureVerdict::Retry;
            }
            step.failed_attempt = attempt;
            task.failed_attempt = attempt;
            step.gang_failures += 1;
            failures = step.gang_failures;
        }
        task.failures += 1;
        // A long-running task may fail without end.
        if !long_running || !task.failed_at.contains(&node) {
            task.failed_at.push(node);
        }
        if long_running || failures < max_attempts {
            FailureVerdict::Retry
        } else {
            FailureVerdict::JobFailed { failures }
        }
    }

    /// Ends a job as failed after its last permitted attempt.
    fn fail_job(&mut self, now: Now, failure: Failure, failures: u32) {
        let Failure { run, attempt } = failure;
        let AssignedRun {
            node,
            task: task_id,
        } = run;
        log::info!(
            "job failed: term={} job={} task={task_id} runner={node} attempt={attempt} failures={failures}",
            self.term,
            task_id.step.job,
        );
        self.write_task(task_id);
        self.end_job(now, task_id.step.job, Outcome::Failed);
    }

    /// Makes a task wait for another run. If it belongs to a gang, the other members' runs are stopped.
    fn requeue_task(&mut self, now: Now, task_id: TaskId) {
        let Some(job) = self.jobs.get_mut(task_id.step.job) else {
            return;
        };
        let is_gang = job.stage(task_id.step).is_some_and(|stage| stage.gang);
        let Some(step) = job.step_mut(task_id.step) else {
            return;
        };
        let Some(task) = step.tasks.get(task_id.index as usize) else {
            return;
        };
        if !task.done {
            let other_members = if is_gang {
                step.assigned_runs(task_id.step)
            } else {
                Vec::new()
            };
            step.waiting.insert(task_id.index);
            step.waiting_since = now.steady;
            for member in other_members {
                self.runners.stop(member);
            }
        }
        self.write_task(task_id);
        self.refresh_step(task_id.step);
    }
}
