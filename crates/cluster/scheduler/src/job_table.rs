//! All jobs of which the scheduler knows, ended ones included until their retention is over.

use sagetrail_protocol::Time;
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{JobId, StepId, TaskId};
use crate::job::Job;
use crate::records::Outcome;
use crate::spec::Stage;
use crate::step_run::{StepRun, Task};

/// The jobs by ID. Invariant: `active` names just the jobs whose outcome is `Active`.
#[derive(Debug)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    active: BTreeSet<JobId>,
    next_order: u64,
}

impl Default for JobTable {
    fn default() -> JobTable {
        JobTable {
            jobs: BTreeMap::new(),
            active: BTreeSet::new(),
            next_order: 1,
        }
    }
}

impl JobTable {
    /// Adds a job, ended or not.
    pub(crate) fn insert(&mut self, job: Job) {
        if job.outcome == Outcome::Active {
            self.active.insert(job.id);
        }
        self.jobs.insert(job.id, job);
    }

    /// Forgets a job.
    pub(crate) fn remove(&mut self, id: JobId) {
        self.active.remove(&id);
        self.jobs.remove(&id);
    }

    /// Notes that a job has ended.
    pub(crate) fn set_ended(&mut self, id: JobId) {
        self.active.remove(&id);
    }

    /// A job.
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// A job, to change it.
    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// A job that has not ended.
    pub(crate) fn get_active(&self, id: JobId) -> Option<&Job> {
        self.get(id).filter(|job| job.outcome == Outcome::Active)
    }

    /// A job that has not ended, to change it.
    pub(crate) fn get_active_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.get_mut(id)
            .filter(|job| job.outcome == Outcome::Active)
    }

    /// A step as submitted.
    pub(crate) fn stage(&self, id: StepId) -> Option<&Stage> {
        self.get(id.job)?.stage(id)
    }

    /// A step's state.
    pub(crate) fn step(&self, id: StepId) -> Option<&StepRun> {
        self.get(id.job)?.step(id)
    }

    /// A step's state, to change it.
    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        self.get_mut(id.job)?.step_mut(id)
    }

    /// A task's state, to change it.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.get_mut(id.step.job)?.task_mut(id)
    }

    /// Since when a task of a step has waited, as far as this term knows.
    pub(crate) fn waiting_since(&self, id: StepId) -> Option<Time> {
        let job = self.get(id.job)?;
        Some(job.step(id)?.waiting_since.max(job.accepted_at))
    }

    /// How many jobs there are, ended ones included.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// All jobs, by ID.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The IDs of the jobs that have not ended.
    pub(crate) fn active_ids(&self) -> Vec<JobId> {
        self.active.iter().copied().collect()
    }

    /// True where the job has not ended.
    pub(crate) fn is_active(&self, id: JobId) -> bool {
        self.active.contains(&id)
    }

    /// True where all jobs have ended.
    pub(crate) fn all_ended(&self) -> bool {
        self.active.is_empty()
    }

    /// How many jobs of a queue have not ended.
    pub(crate) fn active_in_queue(&self, queue: &str) -> usize {
        let jobs = self.active.iter().filter_map(|&id| self.get(id));
        jobs.filter(|job| job.attributes.queue.name == queue)
            .count()
    }

    /// The order number of the next accepted job.
    pub(crate) fn take_order(&mut self) -> u64 {
        let order = self.next_order;
        self.next_order += 1;
        order
    }

    /// Notes an order number of an earlier term: later ones are above it.
    pub(crate) fn observe_order(&mut self, order: u64) {
        self.next_order = self.next_order.max(order + 1);
    }
}
