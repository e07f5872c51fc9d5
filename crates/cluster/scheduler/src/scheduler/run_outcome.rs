//! What becomes of a run that is over: its task is done, has failed, or waits again.

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{NodeId, Time};

use super::Scheduler;
use crate::ids::{JobId, StepId, TaskId};
use crate::records::{Key, Outcome};
use crate::step_run::AssignedRun;

/// A run that is certainly over.
pub(super) struct EndedRun {
    /// The run.
    pub run: AssignedRun,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint, empty for none.
    pub checkpoint: String,
}

impl EndedRun {
    /// A run that is over without a reported end.
    pub(super) fn lease_expired(run: AssignedRun) -> EndedRun {
        EndedRun {
            run,
            end: RunEnd::LeaseExpired,
            checkpoint: String::new(),
        }
    }
}

/// A failed run to be counted.
#[derive(Clone, Copy)]
struct Failure {
    run: AssignedRun,
    attempt: u64,
}

/// What a failed run means for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureVerdict {
    /// The task may be tried again.
    Retry,
    /// The job has failed.
    JobFailed {
        /// How many failures were counted.
        failures: u32,
    },
}

impl Scheduler {
    /// Takes an assignment off its runner and decides what becomes of the task.
    pub(super) fn end_run(&mut self, now: Now, ended: EndedRun) {
        let AssignedRun { node, task: id } = ended.run;
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let Some(assignment) = runner.assigned.remove(&id) else {
            return;
        };
        runner.health.end_trial();
        self.runners.set_changed(node);
        self.placement_due = true;
        let Some(job) = self.jobs.get_active_mut(id.step.job) else {
            self.commits.delete(Key::Task(id));
            return;
        };
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.runner = None;
        if !ended.checkpoint.is_empty() {
            task.checkpoint = ended.checkpoint;
        }
        let is_first_failure = task.failures == 0;
        let long_running = job.stage(id.step).is_some_and(|stage| stage.long_running);
        match ended.end {
            RunEnd::Done => {
                self.record_success(node);
                if !long_running {
                    return self.complete_task(now, id);
                }
            }
            RunEnd::Failed => {
                if is_first_failure {
                    self.record_failure(now, node, id.step.job);
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
        self.requeue(now, id);
    }

    /// A run ended well at the runner.
    fn record_success(&mut self, node: NodeId) {
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let baseline = self.failure_rates.record_end(&runner.service, false);
        runner.health.record_success(baseline);
    }

    /// A run of the job failed or stalled at the runner.
    pub(super) fn record_failure(&mut self, now: Now, node: NodeId, job: JobId) {
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        let baseline = self.failure_rates.record_end(&runner.service, true);
        runner.health.record_failure(now.steady, job, baseline);
    }

    /// A task is done, and with it all members of its gang.
    fn complete_task(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(id.step.job) else {
            return;
        };
        let is_gang = job.stage(id.step).is_some_and(|stage| stage.gang);
        let members = if is_gang {
            0..job.step(id.step).map_or(0, |step| step.tasks.len() as u32)
        } else {
            id.index..id.index + 1
        };
        for index in members {
            let member = TaskId { index, ..id };
            let job = self.jobs.get_mut(id.step.job);
            let newly_done = job.is_some_and(|job| job.mark_done(member));
            if newly_done || member == id {
                self.write_task(member);
            }
        }
        let Some(job) = self.jobs.get(id.step.job) else {
            return;
        };
        if job.remaining == 0 {
            return self.end_job(now, id.step.job, Outcome::Completed);
        }
        let step_ended = job.step(id.step).is_some_and(|step| step.has_ended());
        self.refresh_step(id.step);
        if step_ended {
            self.enqueue_dependents(now.steady, id.step);
        }
    }

    /// A step has ended: those that depend on it may be ready.
    fn enqueue_dependents(&mut self, now: Time, ended: StepId) {
        let Some(job) = self.jobs.get(ended.job) else {
            return;
        };
        let depends = |id: &StepId| {
            job.stage(*id)
                .is_some_and(|stage| stage.depends_on.contains(&ended.step))
        };
        let mut dependents = job.steps_of(ended.occurrence);
        dependents.retain(depends);
        for id in dependents {
            if let Some(step) = self.jobs.step_mut(id) {
                step.waiting_since = now;
            }
            self.refresh_step(id);
        }
    }

    /// Counts a failed run. One failed attempt of a gang counts once, whichever of its members failed.
    fn count_failure(&mut self, failure: Failure) -> FailureVerdict {
        let Failure { run, attempt } = failure;
        let AssignedRun { node, task: id } = run;
        let Some(job) = self.jobs.get_mut(id.step.job) else {
            return FailureVerdict::Retry;
        };
        let max_attempts = job.attributes.queue.max_attempts;
        let Some(stage) = job.stage(id.step) else {
            return FailureVerdict::Retry;
        };
        let (is_gang, long_running) = (stage.gang, stage.long_running);
        let Some(step) = job.step_mut(id.step) else {
            return FailureVerdict::Retry;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
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
        task.failed_at.push(node);
        if long_running || failures < max_attempts {
            FailureVerdict::Retry
        } else {
            FailureVerdict::JobFailed { failures }
        }
    }

    fn fail_job(&mut self, now: Now, failure: Failure, failures: u32) {
        let Failure { run, attempt } = failure;
        let AssignedRun { node, task: id } = run;
        log::info!(
            "job failed: term={} job={} task={id} runner={node} attempt={attempt} failures={failures}",
            self.term,
            id.step.job,
        );
        self.write_task(id);
        self.end_job(now, id.step.job, Outcome::Failed);
    }

    /// A task waits for another run; the other members of its gang are stopped.
    fn requeue(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(id.step.job) else {
            return;
        };
        let is_gang = job.stage(id.step).is_some_and(|stage| stage.gang);
        let Some(step) = job.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get(id.index as usize) else {
            return;
        };
        if !task.done {
            let other_members = if is_gang {
                step.assigned_runs(id.step)
            } else {
                Vec::new()
            };
            step.waiting.insert(id.index);
            step.waiting_since = now.steady;
            for member in other_members {
                self.runners.stop(member);
            }
        }
        self.write_task(id);
        self.refresh_step(id.step);
    }
}
