//! Restores jobs, tasks and assignments of earlier terms from the replicated records.

use deku::DekuContainerRead;
use sagetrail_protocol::node::Now;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::error::SchedulerError;
use crate::ids::{JobId, StepId, TaskId};
use crate::job::{Job, JobAttributes, QueueAttributes};
use crate::objective::{DEFAULT_EXTENSION, DEFAULT_TARGET_MS};
use crate::records::{JobRecord, Key, OccurrencesRecord, Outcome, TaskRecord};
use crate::runner::Assignment;
use crate::spec::JobSpec;

impl Scheduler {
    /// Restores all records. Relies on their order: the records of jobs sort before those of their occurrences that are
    /// over, and these before those of tasks, which sort by occurrence. A record that cannot be restored is logged and
    /// skipped.
    pub(super) fn restore_records(&mut self, now: Now, records: &BTreeMap<Vec<u8>, Vec<u8>>) {
        let mut restored_step: Option<StepId> = None;
        for (key, value) in records {
            let step = step_of(key);
            if !is_same_occurrence(restored_step, step) {
                self.end_restored_occurrence(restored_step);
            }
            restored_step = step;
            if let Err(error) = self.restore_record(now, key, value) {
                log::error!(
                    "skipping stored record that cannot be restored: term={} key={key:02x?} error={error}",
                    self.term
                );
            }
        }
        self.end_restored_occurrence(restored_step);
    }

    /// Ends an occurrence all of whose tasks have been restored, if it has finished. Earlier versions left the records
    /// of the tasks of each occurrence, which together take more memory than there is.
    fn end_restored_occurrence(&mut self, step: Option<StepId>) {
        if let Some(step) = step {
            self.end_finished_occurrence(step);
        }
    }

    fn restore_record(&mut self, now: Now, key: &[u8], value: &[u8]) -> Result<(), SchedulerError> {
        match Key::parse(key)? {
            Key::Job(job_id) => self.restore_job(now, job_id, value),
            Key::Occurrences(job_id) => self.restore_occurrences(job_id, value),
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
            Job::new(job_id, attributes, spec, record.body.len(), now.steady)
        } else {
            Job::ended(job_id, attributes, record.outcome, now.steady)
        };
        self.jobs.insert(job);
        Ok(())
    }

    fn restore_occurrences(&mut self, job_id: JobId, value: &[u8]) -> Result<(), SchedulerError> {
        let (_, record) = OccurrencesRecord::from_bytes((value, 0))?;
        match self.jobs.get_active_mut(job_id) {
            Some(job) => job.restore_occurrences(&record.over),
            None => {
                self.commits.delete(Key::Occurrences(job_id));
            }
        }
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
        if self.jobs.is_active(task_id.step.job) {
            self.jobs.restore_task(task_id, &record);
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

/// Returns the step to which a task's record belongs; `None` for other records.
fn step_of(key: &[u8]) -> Option<StepId> {
    match Key::parse(key) {
        Ok(Key::Task(task)) => Some(task.step),
        _ => None,
    }
}

fn is_same_occurrence(one: Option<StepId>, other: Option<StepId>) -> bool {
    let occurrence = |step: StepId| (step.job, step.occurrence);
    one.map(occurrence) == other.map(occurrence)
}
