//! Records of jobs and tasks as they are now, put into the open batch.

use super::Scheduler;
use crate::ids::{JobId, TaskId};
use crate::records::{AssignmentRecord, Key, TaskRecord};
use crate::step_run::AssignedRun;

impl Scheduler {
    /// Puts a task's record into the open batch, or its deletion if the task is forgotten. Returns the batch's number.
    pub(super) fn write_task(&mut self, id: TaskId) -> u64 {
        let Some(task) = self.jobs.task_mut(id) else {
            return self.commits.delete(Key::Task(id));
        };
        let assigned = task.runner.and_then(|node| {
            let runner = self.runners.get(node)?;
            let assignment = self.runners.assignment(AssignedRun { task: id, node })?;
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
        self.commits.put_task(Key::Task(id), &record)
    }

    /// Puts a job's record into the open batch; clients are answered once that is committed.
    pub(super) fn write_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.batch = self.commits.put_job(Key::Job(id), &job.record());
        }
    }
}
