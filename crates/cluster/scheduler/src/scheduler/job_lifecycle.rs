//! Lifecycle of a job: enqueues its ready steps, starts occurrences when they are due, ends the job and purges it after
//! its retention.

use sagetrail_protocol::node::Now;

use super::record_writes::StepTasks;
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
    /// Schedules the occurrences of all active jobs and starts those that are due; called at the start of a term.
    pub(super) fn schedule_all_jobs(&mut self, now: Now) {
        for job_id in self.jobs.active_ids() {
            self.schedule_next_occurrence(job_id);
        }
        self.start_due_occurrences(now);
    }

    /// Schedules the first occurrence of a job that has not become due; later ones follow it. Those that are due start at
    /// the end of the event.
    pub(super) fn schedule_next_occurrence(&mut self, job_id: JobId) {
        if let Some(due) = self.next_due_time(job_id) {
            self.due_times.insert(due);
        }
    }

    /// Returns the first occurrence of a job that has not become due. The one of a job without times is due at once.
    fn next_due_time(&self, job_id: JobId) -> Option<DueTime> {
        let job = self.jobs.get_active(job_id)?;
        let occurrence = job.occurrences.next()?;
        Some(DueTime {
            at_ms: job.spec.as_ref()?.due_ms(occurrence).unwrap_or(i64::MIN),
            job: job_id,
            occurrence,
        })
    }

    /// Starts the occurrences that have become due, and sets the timer for the next one.
    pub(super) fn start_due_occurrences(&mut self, now: Now) {
        let wall_ms = self.time_of_day.millis(now);
        self.wall_ms = wall_ms;
        while let Some(due) = self.due_times.take_due(wall_ms) {
            self.start_occurrence(due);
        }
        let next_ms = self.due_times.next_ms();
        let wait_ms = next_ms.map(|at_ms| (at_ms - wall_ms).max(1) as u64);
        self.timers.next_due = wait_ms.map(|wait_ms| now.steady.plus_millis(wait_ms));
    }

    /// Starts an occurrence that is due. It waits if the budget does not allow it, which can only be if an earlier one of
    /// its job is in progress.
    fn start_occurrence(&mut self, due: DueTime) {
        if !self.jobs.can_start_occurrence(due.job, due.occurrence) {
            self.due_times.delay(due);
            return;
        }
        self.jobs.start_occurrence(due.job, due.occurrence);
        let job = self.jobs.get(due.job);
        let steps = job.map_or_else(Vec::new, |job| job.steps_of(due.occurrence));
        for step in steps {
            self.refresh_step(step);
        }
        self.schedule_next_occurrence(due.job);
    }

    /// Drops the state and the task records of an occurrence if it has finished. The end of the last occurrence ends its
    /// job instead.
    pub(super) fn end_finished_occurrence(&mut self, step: StepId) {
        let StepId {
            job: job_id,
            occurrence,
            ..
        } = step;
        let Some(job) = self.jobs.get_active(job_id) else {
            return;
        };
        if !job.has_finished(occurrence) {
            return;
        }
        let step_ids = job.steps_of(occurrence);
        let tasks = step_ids.iter().filter_map(|&step| {
            let count = job.step(step)?.tasks.len() as u32;
            Some(StepTasks { step, count })
        });
        let tasks: Vec<StepTasks> = tasks.collect();
        self.jobs.end_occurrence(job_id, occurrence);
        self.write_occurrence_end(job_id, &tasks);
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
        let Some(job) = self.jobs.get_active(job_id) else {
            return;
        };
        let steps = job.all_steps();
        let cleanup = EndCleanup::collect(job, &steps);
        if job.occurrences.over_count() > 0 {
            self.commits.delete(Key::Occurrences(job_id));
        }
        if let Some(due) = self.next_due_time(job_id) {
            self.due_times.remove(due);
        }
        self.jobs.end(job_id, outcome, now.steady);
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
        self.write_job(job_id, Vec::new());
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
