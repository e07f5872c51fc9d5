//! Restores jobs, tasks and assignments of earlier terms from the replicated records.

use deku::DekuContainerRead;
use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::error::SchedulerError;
use crate::ids::{JobId, TaskId};
use crate::job::{Job, JobAttributes, QueueAttributes};
use crate::objective::{DEFAULT_EXTENSION, DEFAULT_TARGET_MS};
use crate::records::{JobRecord, Key, Outcome, TaskRecord};
use crate::runner::Assignment;
use crate::spec::JobSpec;

impl Scheduler {
    /// Restores all records. Relies on their order: the records of jobs sort before those of tasks. A record that
    /// cannot be restored is logged and skipped.
    pub(super) fn restore_records(&mut self, now: Now, records: &[(Vec<u8>, Vec<u8>)]) {
        for (key, value) in records {
            if let Err(error) = self.restore_record(now, key, value) {
                log::error!(
                    "skipping stored record that cannot be restored: term={} key={key:02x?} error={error}",
                    self.term
                );
            }
        }
    }

    fn restore_record(&mut self, now: Now, key: &[u8], value: &[u8]) -> Result<(), SchedulerError> {
        match Key::parse(key)? {
            Key::Job(job_id) => self.restore_job(now, job_id, value),
            Key::Task(task_id) => self.restore_task(now, task_id, value),
        }
    }

    fn restore_job(&mut self, now: Now, job_id: JobId, value: &[u8]) -> Result<(), SchedulerError> {
        let (_, record) = JobRecord::from_bytes((value, 0))?;
        let attributes = JobAttributes {
            queue: QueueAttributes {
                name: record.queue.0,
                service: record.service.0,
                max_attempts: record.max_attempts,
                priority: record.priority,
                extension: DEFAULT_EXTENSION,
                target_ms: DEFAULT_TARGET_MS,
            },
            order: record.order,
            accepted_ms: record.accepted_ms,
        };
        self.jobs.observe_order(record.order);
        let job = if record.outcome == Outcome::Active {
            let spec = JobSpec::parse(&record.body)?;
            Job::new(job_id, attributes, spec, record.body.0, now.steady)
        } else {
            Job::ended(job_id, attributes, record.outcome, now.steady)
        };
        self.jobs.insert(job);
        Ok(())
    }

    fn restore_task(
        &mut self,
        now: Now,
        task_id: TaskId,
        value: &[u8],
    ) -> Result<(), SchedulerError> {
        let (_, record) = TaskRecord::from_bytes((value, 0))?;
        let mut is_run_wanted = false;
        if let Some(job) = self.jobs.get_active_mut(task_id.step.job) {
            job.restore_task(task_id, &record);
            is_run_wanted = record.done == 0;
        }
        if record.assigned != 0 {
            self.restore_assignment(now, task_id, &record, is_run_wanted);
        } else if !self.jobs.is_active(task_id.step.job) {
            self.commits.delete(Key::Task(task_id));
        }
        Ok(())
    }

    fn restore_assignment(
        &mut self,
        now: Now,
        task_id: TaskId,
        record: &TaskRecord,
        is_run_wanted: bool,
    ) {
        let runner = self
            .runners
            .get_or_add(record.assignment.agent, self.started_at);
        // Only one instance on a machine can still be running, and the newest assignment names it.
        runner.instance = record.assignment.instance.0.clone();
        let resources = record.assignment.resources;
        let mut assignment = Assignment::new(record.attempt, resources, now.steady);
        assignment.unwanted = !is_run_wanted;
        runner.assigned.insert(task_id, assignment);
    }
}
