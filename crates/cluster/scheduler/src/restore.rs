//! The state of earlier terms from the records.

use crate::ids::{JobId, TaskId};
use crate::job::{Job, JobAttributes};
use crate::objective::{DEFAULT_EXTENSION, DEFAULT_TARGET_MS};
use crate::records::{JobRecord, Key, Outcome, TaskRecord};
use crate::runner::{Assignment, Runner};
use crate::scheduler::Scheduler;
use crate::spec::JobSpec;
use deku::DekuContainerRead;
use sagetrail_protocol::node::Now;

impl Scheduler {
    /// Takes all records; those of jobs sort before those of tasks.
    pub(crate) fn restore(&mut self, now: Now, records: &[(Vec<u8>, Vec<u8>)]) {
        for (key, value) in records {
            match Key::parse(key) {
                Some(Key::Job(id)) => self.restore_job(now, id, value),
                Some(Key::Task(id)) => self.restore_task(now, id, value),
                None => log::error!("a record with an unknown key of {} bytes", key.len()),
            }
        }
    }

    fn restore_job(&mut self, now: Now, id: JobId, value: &[u8]) {
        let Ok((_, record)) = JobRecord::from_bytes((value, 0)) else {
            log::error!("the record of job {id} cannot be read");
            return;
        };
        let attributes = JobAttributes {
            queue: record.queue.0,
            service: record.service.0,
            max_attempts: record.max_attempts,
            priority: record.priority,
            order: record.order,
            accepted_ms: record.accepted_ms,
            extension: DEFAULT_EXTENSION,
            target_ms: DEFAULT_TARGET_MS,
        };
        self.next_order = self.next_order.max(attributes.order + 1);
        if record.outcome != Outcome::Active {
            self.jobs
                .insert(id, Job::ended(id, attributes, record.outcome, now.steady));
            return;
        }
        match JobSpec::parse(&record.body) {
            Ok(spec) => {
                self.jobs.insert(
                    id,
                    Job::new(id, attributes, spec, record.body.0, now.steady),
                );
                self.active.insert(id);
            }
            Err(error) => log::error!("job {id} as kept cannot be read: {error}"),
        }
    }

    fn restore_task(&mut self, now: Now, id: TaskId, value: &[u8]) {
        let Ok((_, record)) = TaskRecord::from_bytes((value, 0)) else {
            log::error!("the record of task {id} cannot be read");
            return;
        };
        let mut wanted = false;
        if let Some(job) = self
            .jobs
            .get_mut(&id.step.job)
            .filter(|job| job.outcome == Outcome::Active)
        {
            job.restore_task(id, &record);
            wanted = record.done == 0;
        }
        if record.assigned != 0 {
            self.restore_assignment(now, id, &record, wanted);
        } else if !self.active.contains(&id.step.job) {
            self.commit_queue.delete(Key::Task(id));
        }
    }

    fn restore_assignment(&mut self, now: Now, id: TaskId, record: &TaskRecord, wanted: bool) {
        let started_at = self.started_at;
        let runner = self
            .runners
            .entry(record.assignment.agent)
            .or_insert_with(|| Runner::new(started_at));
        // Only one instance at a machine can still be running; the newest assignment names it.
        runner.instance = record.assignment.instance.0.clone();
        let assignment = Assignment {
            attempt: record.attempt,
            resources: record.assignment.resources,
            batch: 0,
            stop: !wanted,
            withdrawn_in: None,
            active: false,
            seen: false,
            since: now.steady,
            percent: 0,
            progressed_at: now.steady,
        };
        runner.assigned.insert(id, assignment);
    }
}
