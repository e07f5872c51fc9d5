//! One job: its steps, for each of its times, and the state of every task.

use crate::ids::{JobId, StepId, TaskId};
use crate::records::{JobRecord, Outcome, TaskRecord};
use crate::spec::{JobSpec, Stage};
use sagetrail_protocol::{Blob, NodeId, Time};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A task.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Task {
    pub done: bool,
    /// The highest attempt used; 0 before the first.
    pub attempt: u64,
    /// How many of its runs have ended `failed`.
    pub failures: u32,
    /// For a member of a gang: the newest attempt whose failure was counted here.
    pub failed_attempt: u64,
    /// The newest checkpoint, empty for none.
    pub checkpoint: String,
    /// The agent of the runner that a run is assigned to and may not be over at.
    pub runner: Option<NodeId>,
    /// Runners at which it has failed: others are tried first.
    pub failed_at: Vec<NodeId>,
}

/// A step, at one of the job's times.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRun {
    pub tasks: Vec<Task>,
    /// Tasks that are not done.
    pub left: u32,
    /// Tasks that are neither done nor assigned.
    pub waiting: BTreeSet<u32>,
    /// Since when a task has waited.
    pub waiting_since: Time,
    /// For a gang: the newest attempt that counted as failed, and how many did.
    pub failed_attempt: u64,
    pub gang_failures: u32,
}

impl StepRun {
    fn new(count: u32) -> StepRun {
        StepRun {
            tasks: vec![Task::default(); count as usize],
            left: count,
            waiting: (0..count).collect(),
            ..StepRun::default()
        }
    }

    /// The attempt that the next run of a gang has.
    pub(crate) fn next_gang_attempt(&self) -> u64 {
        self.tasks
            .iter()
            .map(|task| task.attempt)
            .max()
            .unwrap_or(0)
            + 1
    }

    /// The checkpoint that all members of a gang resume from: any member's serves.
    pub(crate) fn gang_checkpoint(&self) -> String {
        self.tasks
            .iter()
            .map(|task| &task.checkpoint)
            .find(|saved| !saved.is_empty())
            .cloned()
            .unwrap_or_default()
    }
}

/// What is fixed when a job is taken.
#[derive(Clone, Debug)]
pub(crate) struct JobAttributes {
    /// The name of its route.
    pub queue: String,
    pub service: String,
    pub max_attempts: u32,
    /// 0 comes first.
    pub priority: u32,
    /// Rises with each job taken.
    pub order: u64,
    /// When it was taken, in milliseconds since 1970.
    pub accepted_ms: i64,
    /// The queue's latency objective is so many times the job's longest chain of work,
    pub extension: f64,
    /// and so many milliseconds more.
    pub target_ms: f64,
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub id: JobId,
    pub attributes: JobAttributes,
    pub outcome: Outcome,
    /// As handed in; `None` once the job has ended.
    pub spec: Option<Arc<JobSpec>>,
    body: Vec<u8>,
    /// The steps of each time.
    pub times: Vec<Vec<StepRun>>,
    /// The times that have fallen due.
    pub opened: BTreeSet<u32>,
    /// Tasks that are not done.
    pub left: u64,
    /// Whether a task has ever been assigned.
    pub has_started: bool,
    /// The batch that holds the newest change of `outcome`.
    pub batch: u64,
    /// When the job ended, or was taken over ended.
    pub ended_at: Option<Time>,
    pub accepted_at: Time,
}

impl Job {
    /// A job just handed in.
    pub(crate) fn new(
        id: JobId,
        attributes: JobAttributes,
        spec: JobSpec,
        body: Vec<u8>,
        now: Time,
    ) -> Job {
        let steps = || {
            spec.stages
                .iter()
                .map(|stage| StepRun::new(stage.count))
                .collect()
        };
        let times: Vec<Vec<StepRun>> = (0..spec.times()).map(|_| steps()).collect();
        let left = times
            .iter()
            .flatten()
            .map(|step| u64::from(step.left))
            .sum();
        Job {
            id,
            attributes,
            outcome: Outcome::Active,
            spec: Some(Arc::new(spec)),
            body,
            times,
            opened: BTreeSet::new(),
            left,
            has_started: false,
            batch: 0,
            ended_at: None,
            accepted_at: now,
        }
    }

    /// A job that ended in an earlier term.
    pub(crate) fn ended(id: JobId, attributes: JobAttributes, outcome: Outcome, now: Time) -> Job {
        Job {
            id,
            attributes,
            outcome,
            spec: None,
            body: Vec::new(),
            times: Vec::new(),
            opened: BTreeSet::new(),
            left: 0,
            has_started: true,
            batch: 0,
            ended_at: Some(now),
            accepted_at: now,
        }
    }

    /// The job's record.
    pub(crate) fn record(&self) -> JobRecord {
        JobRecord {
            outcome: self.outcome,
            queue: self.attributes.queue.as_str().into(),
            service: self.attributes.service.as_str().into(),
            max_attempts: self.attributes.max_attempts,
            priority: self.attributes.priority,
            order: self.attributes.order,
            accepted_ms: self.attributes.accepted_ms,
            body: Blob(self.body.clone()),
        }
    }

    /// Ends the job; its tasks are forgotten.
    pub(crate) fn end(&mut self, outcome: Outcome, now: Time) {
        self.outcome = outcome;
        self.ended_at = Some(now);
        self.spec = None;
        self.body = Vec::new();
        self.times = Vec::new();
        self.left = 0;
    }

    /// A step as handed in.
    pub(crate) fn stage(&self, id: StepId) -> Option<&Stage> {
        self.spec.as_ref()?.stages.get(id.step as usize)
    }

    /// A step's state.
    pub(crate) fn step(&self, id: StepId) -> Option<&StepRun> {
        self.times.get(id.time as usize)?.get(id.step as usize)
    }

    /// A step's state, to change it.
    pub(crate) fn step_mut(&mut self, id: StepId) -> Option<&mut StepRun> {
        self.times
            .get_mut(id.time as usize)?
            .get_mut(id.step as usize)
    }

    /// A task's state, to change it.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step)?.tasks.get_mut(id.index as usize)
    }

    /// All steps of one time.
    pub(crate) fn steps_of(&self, time: u32) -> Vec<StepId> {
        let count = self.times.get(time as usize).map_or(0, Vec::len);
        (0..count as u32)
            .map(|step| StepId {
                job: self.id,
                time,
                step,
            })
            .collect()
    }

    /// True where all steps that this one depends on have ended.
    pub(crate) fn dependencies_met(&self, id: StepId) -> bool {
        let Some(stage) = self.stage(id) else {
            return false;
        };
        let ended = |&on: &u32| {
            self.step(StepId { step: on, ..id })
                .is_some_and(|step| step.left == 0)
        };
        stage.depends_on.iter().all(ended)
    }

    /// Marks a task done; true where it was not.
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
        step.left -= 1;
        step.waiting.remove(&id.index);
        self.left -= 1;
        true
    }

    /// Takes a task's record from an earlier term.
    pub(crate) fn restore_task(&mut self, id: TaskId, record: &TaskRecord) {
        if record.done != 0 {
            self.mark_done(id);
        }
        self.has_started = true;
        let Some(step) = self.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return;
        };
        task.attempt = record.attempt;
        task.failures = record.failures;
        task.checkpoint = record.checkpoint.0.clone();
        step.gang_failures += record.failures;
        task.failed_attempt = record.failed_attempt;
        step.failed_attempt = step.failed_attempt.max(record.failed_attempt);
        if record.assigned != 0 {
            task.runner = Some(record.assignment.agent);
            step.waiting.remove(&id.index);
        }
    }
}
