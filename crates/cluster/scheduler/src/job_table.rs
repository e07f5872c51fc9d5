//! The table of all jobs that the scheduler knows. Ended jobs stay in it until their retention period is over.

use sagetrail_protocol::Time;
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{JobId, StepId, TaskId};
use crate::job::Job;
use crate::job_budget::{checkpoint_size, JobBudget, JobSize};
use crate::records::{Outcome, TaskRecord};
use crate::spec::Stage;
use crate::step_run::{StepRun, Task};

/// The jobs by ID. Invariants: `active` holds the IDs of exactly those jobs whose outcome is `Active`, and
/// `size` is the sum over all jobs. Whatever changes the size of a job is therefore a method of the table.
#[derive(Debug)]
pub(crate) struct JobTable {
    /// All jobs, including ended ones.
    jobs: BTreeMap<JobId, Job>,
    /// The IDs of the jobs that have not ended.
    active: BTreeSet<JobId>,
    /// The order number of the next accepted job; the first one is 1.
    next_order: u64,
    /// The limits of `size`.
    budget: JobBudget,
    /// What all jobs take.
    size: JobSize,
}

impl JobTable {
    /// Creates a table without jobs.
    pub(crate) fn new(budget: JobBudget) -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            next_order: 1,
            budget,
            size: JobSize::default(),
        }
    }

    /// Returns what all jobs take.
    pub(crate) fn size(&self) -> JobSize {
        self.size
    }

    /// Returns true if the budget allows to accept a job.
    pub(crate) fn can_accept(&self, job: &Job) -> bool {
        (self.size + job.size()).fits(self.budget.accept)
    }

    /// Returns true if the budget allows an occurrence of a job to come into progress, or the job does not grow by it.
    pub(crate) fn can_start_occurrence(&self, id: JobId, occurrence: u32) -> bool {
        let growth = self.get(id).map(|job| job.growth_at_start(occurrence));
        let growth = growth.unwrap_or_default();
        growth == JobSize::default() || (self.size + growth).fits(self.budget.total)
    }

    /// Adds a job, whether it has ended or not.
    pub(crate) fn insert(&mut self, job: Job) {
        if job.outcome == Outcome::Active {
            self.active.insert(job.id);
        }
        self.size = self.size + job.size();
        self.jobs.insert(job.id, job);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, id: JobId) {
        self.active.remove(&id);
        if let Some(job) = self.jobs.remove(&id) {
            self.size = self.size - job.size();
        }
    }

    /// Ends a job, which stays in the table.
    pub(crate) fn end(&mut self, id: JobId, outcome: Outcome, now: Time) {
        self.resize(id, |job| job.end(outcome, now));
        self.active.remove(&id);
    }

    /// Makes an occurrence of a job due and brings it into progress.
    pub(crate) fn start_occurrence(&mut self, id: JobId, occurrence: u32) {
        self.resize(id, |job| {
            job.occurrences.set_due(occurrence);
            job.occurrences.begin(occurrence);
        });
    }

    /// Drops the state of an occurrence that has finished.
    pub(crate) fn end_occurrence(&mut self, id: JobId, occurrence: u32) {
        self.resize(id, |job| job.end_occurrence(occurrence));
    }

    /// Restores a task's state from its record.
    pub(crate) fn restore_task(&mut self, id: TaskId, record: &TaskRecord) {
        self.resize(id.step.job, |job| job.restore_task(id, record));
    }

    /// Replaces the checkpoint of a task. Returns false and keeps the former one if the budget does not allow a longer
    /// one.
    pub(crate) fn set_checkpoint(&mut self, id: TaskId, checkpoint: &str) -> bool {
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let former = checkpoint_size(&task.checkpoint);
        let size = checkpoint_size(checkpoint);
        let is_kept = size.fits(former) || (self.size + size - former).fits(self.budget.total);
        if is_kept {
            self.resize(id.step.job, |job| {
                job.set_checkpoint(id, checkpoint.to_owned());
            });
        }
        is_kept
    }

    /// Changes a job in a way that may change its size.
    fn resize(&mut self, id: JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let former_size = job.size();
        change(job);
        self.size = self.size + job.size() - former_size;
    }

    /// Returns a job.
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns a job for modification.
    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Returns a job if it has not ended.
    pub(crate) fn get_active(&self, id: JobId) -> Option<&Job> {
        self.get(id).filter(|job| job.outcome == Outcome::Active)
    }

    /// Returns a job for modification if it has not ended.
    pub(crate) fn get_active_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.get_mut(id)
            .filter(|job| job.outcome == Outcome::Active)
    }

    /// Returns a step's specification; `None` once its job has ended.
    pub(crate) fn stage(&self, id: StepId) -> Option<&Stage> {
        self.get(id.job)?.stage(id)
    }

    /// Returns a step's state.
    pub(crate) fn step(&self, id: StepId) -> Option<&StepRun> {
        self.get(id.job)?.step(id)
    }

    /// Returns a step's state for modification.
    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        self.get_mut(id.job)?.step_mut(id)
    }

    /// Returns a task's state for modification.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.get_mut(id.step.job)?.task_mut(id)
    }

    /// Returns the time since when a task of a step has waited. For a job of an earlier term this is not before the
    /// beginning of this term.
    pub(crate) fn waiting_since(&self, id: StepId) -> Option<Time> {
        let job = self.get(id.job)?;
        Some(job.step(id)?.waiting_since.max(job.accepted_at))
    }

    /// Returns the number of jobs, including ended ones.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Iterates over all jobs in the order of their IDs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the IDs of the jobs that have not ended.
    pub(crate) fn active_ids(&self) -> Vec<JobId> {
        self.active.iter().copied().collect()
    }

    /// Returns true if the job exists and has not ended.
    pub(crate) fn is_active(&self, id: JobId) -> bool {
        self.active.contains(&id)
    }

    /// Returns true if all jobs have ended.
    pub(crate) fn all_ended(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns how many jobs of a queue have not ended.
    pub(crate) fn active_in_queue(&self, queue: &str) -> usize {
        let jobs = self.active.iter().filter_map(|&id| self.get(id));
        jobs.filter(|job| job.attributes.queue.name == queue)
            .count()
    }

    /// Returns a new order number for an accepted job, above all earlier ones.
    pub(crate) fn take_order(&mut self) -> u64 {
        let order = self.next_order;
        self.next_order += 1;
        order
    }

    /// Notes an order number that was given in an earlier term, so that all later ones are above it.
    pub(crate) fn observe_order(&mut self, order: u64) {
        self.next_order = self.next_order.max(order + 1);
    }
}
