//! A job from its acceptance to its end: which of its steps are pending, and when it is forgotten.

use sagetrail_protocol::node::Now;

use super::Scheduler;
use crate::due_times::DueTime;
use crate::ids::{JobId, StepId, TaskId};
use crate::job::Job;
use crate::objective::Objective;
use crate::pending_queue::PendingKey;
use crate::records::{Key, Outcome};
use crate::step_run::AssignedRun;

/// Beyond the bound for clients, an ended job's state stays for this long, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// The runs and records that an ending job leaves behind.
#[derive(Default)]
struct Leftovers {
    /// Runs that may still be at their runners.
    assigned: Vec<AssignedRun>,
    /// Tasks with a record and no run.
    recorded: Vec<TaskId>,
}

impl Leftovers {
    fn of(job: &Job, steps: &[StepId]) -> Leftovers {
        let mut leftovers = Leftovers::default();
        for &step in steps {
            let tasks = job.step(step).into_iter().flat_map(|run| &run.tasks);
            for (index, task) in tasks.enumerate() {
                let index = index as u32;
                let id = TaskId { step, index };
                match task.runner {
                    Some(node) => leftovers.assigned.push(AssignedRun { task: id, node }),
                    None if task.attempt > 0 => leftovers.recorded.push(id),
                    None => {}
                }
            }
        }
        leftovers
    }
}

impl Scheduler {
    /// Enqueues the ready steps of all jobs at the start of a term.
    pub(super) fn enqueue_all_jobs(&mut self, now: Now) {
        for id in self.jobs.active_ids() {
            self.enqueue_job(now, id);
        }
    }

    /// Enqueues the ready steps of a job; occurrences that are not due yet wait for their time.
    pub(super) fn enqueue_job(&mut self, now: Now, id: JobId) {
        let wall_ms = self.time_of_day.millis(now);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(spec) = job.spec.clone() else {
            return;
        };
        for occurrence in 0..job.occurrences.len() as u32 {
            match spec.due_ms(occurrence) {
                Some(at_ms) if at_ms > wall_ms => self.due_times.insert(DueTime {
                    at_ms,
                    job: id,
                    occurrence,
                }),
                _ => self.start_occurrence(id, occurrence),
            }
        }
    }

    fn start_occurrence(&mut self, id: JobId, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.due_occurrences.insert(occurrence);
        for step in job.steps_of(occurrence) {
            self.refresh_step(step);
        }
    }

    /// Starts the occurrences that have fallen due, and notes when the next one does.
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

    /// Puts a step into the backlog, moves it there or takes it out, by its state and its objective.
    pub(super) fn refresh_step(&mut self, id: StepId) {
        let Some(job) = self.jobs.get(id.job).filter(|job| job.is_ready(id)) else {
            return self.pending.remove(id);
        };
        let objective = Objective::of(job, id, self.wall_ms);
        let key = PendingKey {
            priority: job.priority(),
            expectation: objective.expectation,
            due_ms: objective.due_ms,
            order: job.attributes.order,
            step: id,
        };
        self.pending.insert(&job.attributes.queue.service, key);
        self.placement_due = true;
    }

    /// Ends a job that has not ended: nothing of it starts any more, and what runs is stopped unless the job is
    /// completed.
    pub(super) fn end_job(&mut self, now: Now, id: JobId, outcome: Outcome) {
        let Some(job) = self.jobs.get_active_mut(id) else {
            return;
        };
        let steps = job.all_steps();
        let leftovers = Leftovers::of(job, &steps);
        job.end(outcome, now.steady);
        self.jobs.set_ended(id);
        for step in steps {
            self.pending.remove(step);
        }
        for task in leftovers.recorded {
            self.commits.delete(Key::Task(task));
        }
        for run in leftovers.assigned {
            // The members of a gang that has ended well end by themselves.
            let is_active = self.runners.assignment(run).map(|run| run.active);
            if outcome != Outcome::Completed || is_active == Some(false) {
                self.runners.stop(run);
            }
        }
        self.write_job(id);
    }

    /// Forgets jobs whose end is past its retention, with their records.
    pub(super) fn purge(&mut self, now: Now) {
        if !self.timers.take_purge(now.steady) {
            return;
        }
        let status_ms = (self.settings.bounds.status_s * 1000.0) as u64;
        let retention_ms = status_ms + RETENTION_MARGIN_MS;
        let is_past = |job: &&Job| {
            job.ended_at
                .is_some_and(|at| now.steady.millis_since(at) > retention_ms)
        };
        let past: Vec<JobId> = self.jobs.iter().filter(is_past).map(|job| job.id).collect();
        for id in past {
            self.jobs.remove(id);
            self.commits.delete(Key::Job(id));
        }
    }
}
