//! What becomes of a run that is over: its task done, failed, or waiting again.

use crate::ids::{JobId, StepId, TaskId};
use crate::records::{Key, Outcome};
use crate::scheduler::Scheduler;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{NodeId, Time};

/// A run that is over for sure.
pub(crate) struct EndedRun {
    pub node: NodeId,
    pub task: TaskId,
    pub end: RunEnd,
    /// Its last checkpoint, empty for none.
    pub checkpoint: String,
}

impl Scheduler {
    /// Takes an assignment off its runner and decides what becomes of the task.
    pub(crate) fn end_run(&mut self, now: Now, over: EndedRun) {
        let Some(runner) = self.runners.get_mut(&over.node) else {
            return;
        };
        let Some(assignment) = runner.assigned.remove(&over.task) else {
            return;
        };
        runner.health.trial_ended();
        self.changed.insert(over.node);
        self.placement_due = true;
        let job = self
            .jobs
            .get_mut(&over.task.step.job)
            .filter(|job| job.outcome == Outcome::Active);
        let Some(job) = job else {
            self.commit_queue.delete(Key::Task(over.task));
            return;
        };
        let Some(task) = job.task_mut(over.task) else {
            return;
        };
        task.runner = None;
        if !over.checkpoint.is_empty() {
            task.checkpoint = over.checkpoint;
        }
        let first_failure = task.failures == 0;
        let long_running = job
            .stage(over.task.step)
            .is_some_and(|stage| stage.long_running);
        match over.end {
            RunEnd::Done => {
                self.record_success(over.node);
                if !long_running {
                    return self.task_done(now, over.task);
                }
            }
            RunEnd::Failed => {
                if first_failure {
                    self.record_failure(now, over.node, over.task.step.job);
                }
                if self.count_failure(now, over.task, over.node, assignment.attempt) {
                    return;
                }
            }
            _ => {}
        }
        self.requeue(now, over.task);
    }

    fn record_success(&mut self, node: NodeId) {
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        let baseline = self
            .failure_rates
            .entry(runner.service.clone())
            .or_default();
        baseline.note(false);
        runner.health.succeeded(*baseline);
    }

    /// A run of the job failed at the runner, or stood still there.
    pub(crate) fn record_failure(&mut self, now: Now, node: NodeId, job: JobId) {
        let Some(runner) = self.runners.get_mut(&node) else {
            return;
        };
        let baseline = self
            .failure_rates
            .entry(runner.service.clone())
            .or_default();
        baseline.note(true);
        runner.health.failed(now.steady, job, *baseline);
    }

    fn task_done(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let gang = job.stage(id.step).is_some_and(|stage| stage.gang);
        let count = job.step(id.step).map_or(0, |step| step.tasks.len() as u32);
        let members = if gang {
            0..count
        } else {
            id.index..id.index + 1
        };
        for index in members {
            let member = TaskId {
                step: id.step,
                index,
            };
            let done = self
                .jobs
                .get_mut(&id.step.job)
                .is_some_and(|job| job.mark_done(member));
            if done || member == id {
                self.write_task(member);
            }
        }
        let Some(job) = self.jobs.get(&id.step.job) else {
            return;
        };
        if job.left == 0 {
            return self.end_job(now, id.step.job, Outcome::Completed);
        }
        let ended = job.step(id.step).is_some_and(|step| step.left == 0);
        self.refresh_step(id.step);
        if ended {
            self.open_dependents(now.steady, id.step);
        }
    }

    fn open_dependents(&mut self, now: Time, ended: StepId) {
        let Some(job) = self.jobs.get_mut(&ended.job) else {
            return;
        };
        let depends = |id: &StepId| {
            job.stage(*id)
                .is_some_and(|stage| stage.depends_on.contains(&ended.step))
        };
        let dependents: Vec<StepId> = job
            .steps_of(ended.time)
            .into_iter()
            .filter(depends)
            .collect();
        for id in dependents {
            if let Some(step) = self.jobs.get_mut(&id.job).and_then(|job| job.step_mut(id)) {
                step.waiting_since = now;
            }
            self.refresh_step(id);
        }
    }

    /// Counts a failed run; true where the job has failed with it.
    fn count_failure(&mut self, now: Now, id: TaskId, node: NodeId, attempt: u64) -> bool {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return false;
        };
        let most = job.attributes.max_attempts;
        let Some(stage) = job.stage(id.step) else {
            return false;
        };
        let (gang, long_running) = (stage.gang, stage.long_running);
        let Some(step) = job.step_mut(id.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return false;
        };
        let mut counted = task.failures + 1;
        if gang {
            // One failed run of a gang counts once, whoever of its members failed.
            if attempt <= step.failed_attempt {
                return false;
            }
            step.failed_attempt = attempt;
            task.failed_attempt = attempt;
            step.gang_failures += 1;
            counted = step.gang_failures;
        }
        task.failures += 1;
        task.failed_at.push(node);
        if long_running || counted < most {
            return false;
        }
        log::info!(
            "job {} has failed: {id} failed {counted} times",
            id.step.job
        );
        self.write_task(id);
        self.end_job(now, id.step.job, Outcome::Failed);
        true
    }

    fn requeue(&mut self, now: Now, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else {
            return;
        };
        let gang = job.stage(id.step).is_some_and(|stage| stage.gang);
        let Some(step) = job.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get(id.index as usize) else {
            return;
        };
        if !task.done {
            step.waiting.insert(id.index);
            step.waiting_since = now.steady;
        }
        let others: Vec<(TaskId, NodeId)> = match gang && !task.done {
            true => assigned_members(id.step, &step.tasks),
            false => Vec::new(),
        };
        others
            .into_iter()
            .for_each(|(member, node)| self.stop(node, member));
        self.write_task(id);
        self.refresh_step(id.step);
    }
}

fn assigned_members(step: StepId, tasks: &[crate::job::Task]) -> Vec<(TaskId, NodeId)> {
    let member = |(index, task): (usize, &crate::job::Task)| {
        task.runner.map(|node| {
            (
                TaskId {
                    step,
                    index: index as u32,
                },
                node,
            )
        })
    };
    tasks.iter().enumerate().filter_map(member).collect()
}
