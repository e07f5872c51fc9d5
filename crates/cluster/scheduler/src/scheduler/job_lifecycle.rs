//! Lifecycle of a job: enqueues its ready steps, starts occurrences when they are due, ends the job and purges it after
//! its retention.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::demand_class::DemandClass;
use crate::due_times::DueTime;
use crate::ids::{JobId, StepId, TaskId};
use crate::job::Job;
use crate::objective::Objective;
use crate::pending_queue::PendingKey;
use crate::records::{Key, Outcome};
use crate::step_run::AssignedRun;

/// An ended job is kept this much longer than the bound for clients, `status_s`, requires, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// The runs and task records of a job that have to be cleaned up when it ends.
#[derive(Default)]
struct EndCleanup {
    /// Runs that may still be active on their runners.
    assigned: Vec<AssignedRun>,
    /// Tasks that have a record but no assigned run.
    recorded: Vec<TaskId>,
}

impl EndCleanup {
    fn collect(job: &Job, steps: &[StepId]) -> EndCleanup {
        let mut cleanup = EndCleanup::default();
        for &step in steps {
            let tasks = job.step(step).into_iter().flat_map(|run| &run.tasks);
            for (index, task) in tasks.enumerate() {
                let index = index as u32;
                let task_id = TaskId { step, index };
                match task.runner {
                    Some(node) => cleanup.assigned.push(AssignedRun {
                        task: task_id,
                        node,
                    }),
                    None if task.attempt > 0 => cleanup.recorded.push(task_id),
                    None => {}
                }
            }
        }
        cleanup
    }
}

impl Scheduler {
    /// Enqueues the ready steps of all active jobs; called at the start of a term.
    pub(super) fn enqueue_all_jobs(&mut self, now: Now) {
        for job_id in self.jobs.active_ids() {
            self.enqueue_job(now, job_id);
        }
    }

    /// Enqueues the ready steps of a job. Occurrences that are not due yet are added to the due times instead.
    pub(super) fn enqueue_job(&mut self, now: Now, job_id: JobId) {
        let wall_ms = self.time_of_day.millis(now);
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else {
            return;
        };
        for occurrence in 0..job.occurrences.len() as u32 {
            match spec.due_ms(occurrence) {
                Some(at_ms) if at_ms > wall_ms => self.due_times.insert(DueTime {
                    at_ms,
                    job: job_id,
                    occurrence,
                }),
                _ => self.start_occurrence(job_id, occurrence),
            }
        }
    }

    fn start_occurrence(&mut self, job_id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.due_occurrences.insert(occurrence);
        for step in job.steps_of(occurrence) {
            self.refresh_step(step);
        }
    }

    /// Starts the occurrences that have become due, and sets the timer for the next one.
    pub(super) fn start_due_occurrences(&mut self, now: Now) {
        let wall_ms = self.time_of_day.millis(now);
        self.wall_ms = wall_ms;
        while let Some(due) = self.due_times.take_due(wall_ms) {
            self.start_occurrence(due.job, due.occurrence);
        }
        let next_ms = self.due_times.next_ms();
        let wait_ms = next_ms.map(|at_ms| (at_ms - wall_ms).max(1) as u64);
        self.timers.next_due = wait_ms.map(|wait_ms| now.steady.plus_millis(wait_ms));
    }

    /// Inserts a step into the backlog, moves it within the backlog or removes it, according to its state and
    /// objective.
    pub(super) fn refresh_step(&mut self, step_id: StepId) {
        let Some(job) = self
            .jobs
            .get(step_id.job)
            .filter(|job| job.is_ready(step_id))
        else {
            return self.pending.remove(step_id);
        };
        let objective = Objective::of(job, step_id, self.wall_ms);
        let key = PendingKey {
            priority: job.priority(),
            expectation: objective.expectation,
            due_ms: objective.due_ms,
            order: job.attributes.order,
            step: step_id,
        };
        let Some(stage) = job.stage(step_id) else {
            return;
        };
        let service = &job.attributes.queue.service;
        self.pending.insert(service, key, || DemandClass::of(stage));
        self.placement_due = true;
    }

    /// Ends a job, unless it has ended already. Its tasks no longer start, and its runs are stopped. Only the active
    /// runs of a completed job are left to end by themselves.
    pub(super) fn end_job(&mut self, now: Now, job_id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_active_mut(job_id) else {
            return;
        };
        let steps = job.all_steps();
        let cleanup = EndCleanup::collect(job, &steps);
        job.end(outcome, now.steady);
        self.jobs.set_ended(job_id);
        for step in steps {
            self.pending.remove(step);
        }
        for task in cleanup.recorded {
            self.commits.delete(Key::Task(task));
        }
        for run in cleanup.assigned {
            // When a gang has completed, its members that are still active end by themselves.
            let is_active = self.runners.assignment(run).map(|run| run.active);
            if outcome != Outcome::Completed || is_active == Some(false) {
                self.runners.stop(run);
            }
        }
        self.write_job(job_id);
    }

    /// Removes ended jobs whose retention is over, together with their records.
    pub(super) fn purge_ended_jobs(&mut self, now: Now) {
        if !self.timers.take_purge(now.steady) {
            return;
        }
        let status_ms = (self.settings.bounds.status_s * 1000.0) as u64;
        let retention_ms = status_ms + RETENTION_MARGIN_MS;
        let is_past_retention = |job: &&Job| {
            job.ended_at
                .is_some_and(|at| now.steady.millis_since(at) > retention_ms)
        };
        let expired: Vec<JobId> = self
            .jobs
            .iter()
            .filter(is_past_retention)
            .map(|job| job.id)
            .collect();
        for job_id in expired {
            self.jobs.remove(job_id);
            self.commits.delete(Key::Job(job_id));
        }
    }
}
