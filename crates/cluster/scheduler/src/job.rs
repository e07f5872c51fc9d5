//! One job: its attributes, its specification, and the state of its steps in its occurrences.

use sagetrail_cluster_config::Route;
use sagetrail_protocol::{Blob, Time};
use std::ops::Sub;
use std::sync::Arc;

use crate::ids::{JobId, StepId, TaskId};
use crate::job_budget::{checkpoint_size, JobParts, JobSize};
use crate::occurrences::Occurrences;
use crate::records::{JobRecord, OccurrenceRange, OccurrencesRecord, Outcome, TaskRecord};
use crate::spec::{JobSpec, Stage};
use crate::step_run::{StepRun, Task};

/// The attributes that a queue's route in the configuration gives to the queue's jobs.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct QueueAttributes {
    /// The name of the route.
    pub name: String,
    /// The name of the service whose runners run the jobs.
    pub service: String,
    /// The number of failed runs of one task, or of one gang, with which the job fails; at least 1.
    pub max_attempts: u32,
    /// The priority of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// The factor by which the objective multiplies the job's longest chain of work; see `objective`.
    pub extension: f64,
    /// The constant part of the objective, in milliseconds; see `objective`.
    pub target_ms: f64,
}

impl From<&Route> for QueueAttributes {
    fn from(route: &Route) -> QueueAttributes {
        QueueAttributes {
            name: route.name.clone(),
            service: route.service.clone(),
            max_attempts: route.max_attempts.max(1),
            priority: route.priority,
            extension: route.extension,
            target_ms: route.target_latency_ms,
        }
    }
}

impl QueueAttributes {
    fn name_bytes(&self) -> usize {
        self.name.len() + self.service.len()
    }
}

/// The attributes of a job that are not part of its specification.
#[derive(Clone, Debug)]
pub(crate) struct JobAttributes {
    /// The attributes of the job's queue; they change with the configuration.
    pub queue: QueueAttributes,
    /// The job's position in the order of acceptance; each accepted job gets a higher number.
    pub order: u64,
    /// The time at which the job was accepted, in milliseconds since 1970.
    pub accepted_ms: i64,
}

/// One job. Once it has ended, its specification and the state of its steps are dropped.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// The job's ID.
    pub id: JobId,
    /// The job's queue and its acceptance.
    pub attributes: JobAttributes,
    /// How the job ended; `Active` until it has ended.
    pub outcome: Outcome,
    /// The specification as submitted; `None` once the job has ended.
    pub spec: Option<Arc<JobSpec>>,
    /// The occurrences and the state of their steps; none once the job has ended.
    pub occurrences: Occurrences,
    /// The sizes of the job's parts.
    parts: JobParts,
    /// The size of the checkpoints of the job's tasks.
    checkpoints: JobSize,
    /// The number of tasks that are not done, over all steps and occurrences.
    pub remaining: u64,
    /// True once any of the job's tasks has been assigned to a runner.
    pub has_started: bool,
    /// The number of the batch of record changes that holds the newest change of `outcome`.
    pub batch: u64,
    /// The time at which the job ended; for a job that ended in an earlier term, the time at which this term began.
    pub ended_at: Option<Time>,
    /// The time at which the job was accepted; for a job of an earlier term, the time at which this term began.
    pub accepted_at: Time,
}

impl Job {
    /// Creates an active job, either just submitted or restored from a record, with no occurrence in progress.
    /// `body_bytes` is the length of the submitted body.
    pub(crate) fn new(
        id: JobId,
        attributes: JobAttributes,
        spec: JobSpec,
        body_bytes: usize,
        now: Time,
    ) -> Job {
        let occurrences = Occurrences::new(&spec);
        let remaining = occurrences.tasks_per_occurrence() * u64::from(occurrences.total());
        let parts = JobParts::of(&spec, body_bytes, attributes.queue.name_bytes());
        Job {
            id,
            attributes,
            outcome: Outcome::Active,
            spec: Some(Arc::new(spec)),
            occurrences,
            parts,
            checkpoints: JobSize::default(),
            remaining,
            has_started: false,
            batch: 0,
            ended_at: None,
            accepted_at: now,
        }
    }

    /// Creates a job that ended in an earlier term; `now` is the time at which this term began.
    pub(crate) fn ended(id: JobId, attributes: JobAttributes, outcome: Outcome, now: Time) -> Job {
        let parts = JobParts::ended(attributes.queue.name_bytes());
        Job {
            id,
            attributes,
            outcome,
            spec: None,
            occurrences: Occurrences::none(),
            parts,
            checkpoints: JobSize::default(),
            remaining: 0,
            has_started: true,
            batch: 0,
            ended_at: Some(now),
            accepted_at: now,
        }
    }

    /// Returns the job's record in its stored form. `body` is the body as submitted, or empty once the job has ended.
    pub(crate) fn record(&self, body: Vec<u8>) -> JobRecord {
        let JobAttributes {
            queue,
            order,
            accepted_ms,
        } = &self.attributes;
        JobRecord {
            outcome: self.outcome,
            queue: queue.name.as_str().into(),
            service: queue.service.as_str().into(),
            max_attempts: queue.max_attempts,
            priority: queue.priority,
            order: *order,
            accepted_ms: *accepted_ms,
            body: Blob(body),
        }
    }

    /// Ends the job and drops its specification and the state of its steps.
    pub(crate) fn end(&mut self, outcome: Outcome, now: Time) {
        self.outcome = outcome;
        self.ended_at = Some(now);
        self.spec = None;
        self.occurrences = Occurrences::none();
        self.parts = JobParts::ended(self.attributes.queue.name_bytes());
        self.checkpoints = JobSize::default();
        self.remaining = 0;
    }

    /// Returns what the job takes.
    pub(crate) fn size(&self) -> JobSize {
        let in_progress = self.occurrences.in_progress_count();
        self.parts.with_occurrences(in_progress) + self.checkpoints
    }

    /// Returns by how much the job would grow if the occurrence started.
    pub(crate) fn growth_at_start(&self, occurrence: u32) -> JobSize {
        if self.occurrences.steps(occurrence).is_some() {
            return JobSize::default();
        }
        let in_progress = self.occurrences.in_progress_count();
        self.parts.with_occurrences(in_progress + 1) - self.parts.with_occurrences(in_progress)
    }

    /// Returns the job's priority; 0 is the most urgent.
    pub(crate) fn priority(&self) -> u32 {
        self.attributes.queue.priority
    }

    /// Returns a step's specification; `None` once the job has ended.
    pub(crate) fn stage(&self, id: StepId) -> Option<&Stage> {
        self.spec.as_ref()?.stages.get(id.step as usize)
    }

    /// Returns a step's state.
    pub(crate) fn step(&self, id: StepId) -> Option<&StepRun> {
        self.occurrences.steps(id.occurrence)?.get(id.step as usize)
    }

    /// Returns a step's state for modification.
    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        self.occurrences
            .steps_mut(id.occurrence)?
            .get_mut(id.step as usize)
    }

    /// Returns a task's state for modification.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// Returns the IDs of all steps of one occurrence in progress.
    pub(crate) fn steps_of(&self, occurrence: u32) -> Vec<StepId> {
        let count = self.occurrences.steps(occurrence).map_or(0, Vec::len);
        (0..count as u32)
            .map(|step| StepId {
                job: self.id,
                occurrence,
                step,
            })
            .collect()
    }

    /// Returns true if all steps that this step depends on have ended.
    fn dependencies_met(&self, id: StepId) -> bool {
        let Some(stage) = self.stage(id) else {
            return false;
        };
        let ended = |&on: &u32| {
            self.step(StepId { step: on, ..id })
                .is_some_and(StepRun::has_ended)
        };
        stage.depends_on.iter().all(ended)
    }

    /// Returns the IDs of all steps of all occurrences in progress.
    pub(crate) fn all_steps(&self) -> Vec<StepId> {
        let in_progress = self.occurrences.in_progress_indexes().into_iter();
        in_progress
            .flat_map(|occurrence| self.steps_of(occurrence))
            .collect()
    }

    /// Returns true if the occurrence has state that is not needed any more, because all its tasks are done and none of
    /// them has a run that may be active.
    pub(crate) fn has_finished(&self, occurrence: u32) -> bool {
        let is_finished = |step: &StepRun| {
            step.has_ended() && step.tasks.iter().all(|task| task.runner.is_none())
        };
        let steps = self.occurrences.steps(occurrence);
        steps.is_some_and(|steps| steps.iter().all(is_finished))
    }

    /// Drops the state of an occurrence that has finished.
    pub(crate) fn end_occurrence(&mut self, occurrence: u32) {
        let steps = self.occurrences.steps(occurrence).into_iter().flatten();
        let tasks = steps.flat_map(|step| &step.tasks);
        let checkpoints = tasks.map(|task| checkpoint_size(&task.checkpoint));
        self.checkpoints = checkpoints.fold(self.checkpoints, JobSize::sub);
        self.occurrences.end(occurrence);
    }

    /// Returns the record of the occurrences that are over in its stored form.
    pub(crate) fn occurrences_record(&self) -> OccurrencesRecord {
        OccurrencesRecord {
            over: self.occurrences.over_ranges(),
        }
    }

    /// Restores the occurrences that are over. Must be called before any occurrence is in progress.
    pub(crate) fn restore_occurrences(&mut self, over: &[OccurrenceRange]) {
        self.occurrences.restore_over(over);
        let tasks = self.occurrences.over_count() * self.occurrences.tasks_per_occurrence();
        self.remaining = self.remaining.saturating_sub(tasks);
        self.has_started |= tasks > 0;
    }

    /// Replaces the checkpoint of a task.
    pub(crate) fn set_checkpoint(&mut self, id: TaskId, checkpoint: String) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        let former = std::mem::replace(&mut task.checkpoint, checkpoint);
        let size = checkpoint_size(&task.checkpoint);
        self.checkpoints = self.checkpoints + size - checkpoint_size(&former);
    }

    /// Returns true if a step's tasks may start: at least one task waits (in a gang, all of them), the occurrence is
    /// due, and the steps that it depends on have ended.
    pub(crate) fn is_ready(&self, id: StepId) -> bool {
        let (Some(stage), Some(step)) = (self.stage(id), self.step(id)) else {
            return false;
        };
        !step.waiting.is_empty()
            && (!stage.gang || step.is_complete_gang_waiting())
            && self.dependencies_met(id)
            && self.occurrences.is_due(id.occurrence)
    }

    /// Marks a task done. Returns false if the task was already done or does not exist.
    pub(crate) fn mark_done(&mut self, id: TaskId) -> bool {
        let Some(step) = self.step_mut(id.step) else {
            return false;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return false;
        };
        if task.done {
            return false;
        }
        task.done = true;
        step.remaining -= 1;
        step.waiting.remove(&id.index);
        self.remaining -= 1;
        true
    }

    /// Restores a task's state from its record, and brings its occurrence into progress.
    pub(crate) fn restore_task(&mut self, id: TaskId, record: &TaskRecord) {
        self.occurrences.begin(id.step.occurrence);
        if record.done != 0 {
            self.mark_done(id);
        }
        self.has_started = true;
        self.set_checkpoint(id, record.checkpoint.0.clone());
        let Some(step) = self.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return;
        };
        task.attempt = record.attempt;
        task.failures = record.failures;
        step.gang_failures += record.failures;
        task.failed_attempt = record.failed_attempt;
        step.failed_attempt = step.failed_attempt.max(record.failed_attempt);
        if record.assigned != 0 {
            task.runner = Some(record.assignment.agent);
            step.waiting.remove(&id.index);
        }
    }
}
