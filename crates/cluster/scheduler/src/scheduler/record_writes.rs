//! Writes the current state of jobs and tasks to their records, in the open batch.

use super::Scheduler;
use crate::ids::{JobId, StepId, TaskId};
use crate::records::{AssignmentRecord, Key, TaskRecord};
use crate::step_run::AssignedRun;

/// A step in one occurrence and the number of its tasks.
#[derive(Clone, Copy)]
pub(super) struct StepTasks {
    /// The step.
    pub step: StepId,
    /// The number of its tasks.
    pub count: u32,
}

impl Scheduler {
    /// Adds a task's record to the open batch, or the deletion of the record if the task no longer exists. Returns the
    /// number of the batch.
    pub(super) fn write_task(&mut self, task_id: TaskId) -> u64 {
        let Some(task) = self.jobs.task_mut(task_id) else {
            return self.commits.delete(Key::Task(task_id));
        };
        let assigned = task.runner.and_then(|node| {
            let runner = self.runners.get(node)?;
            let assignment = self.runners.assignment(AssignedRun {
                task: task_id,
                node,
            })?;
            Some(AssignmentRecord {
                agent: node,
                instance: runner.instance.as_str().into(),
                resources: assignment.resources,
            })
        });
        let record = TaskRecord {
            done: u8::from(task.done),
            attempt: task.attempt,
            failures: task.failures,
            failed_attempt: task.failed_attempt,
            checkpoint: task.checkpoint.as_str().into(),
            assigned: u8::from(assigned.is_some()),
            assignment: assigned.unwrap_or_default(),
        };
        self.commits.put_task(Key::Task(task_id), &record)
    }

    /// Adds a job's record to the open batch. `body` is the body as submitted, or empty once the job has ended. Clients
    /// are answered after that batch is committed.
    pub(super) fn write_job(&mut self, job_id: JobId, body: Vec<u8>) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.batch = self.commits.put_job(Key::Job(job_id), &job.record(body));
        }
    }

    /// Replaces the records of an occurrence's tasks, in the open batch, by the record of the occurrences that are over.
    pub(super) fn write_occurrence_end(&mut self, job_id: JobId, steps: &[StepTasks]) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let record = job.occurrences_record();
        self.commits
            .put_occurrences(Key::Occurrences(job_id), &record);
        for &StepTasks { step, count } in steps {
            for index in 0..count {
                self.commits.delete(Key::Task(TaskId { step, index }));
            }
        }
    }
}
