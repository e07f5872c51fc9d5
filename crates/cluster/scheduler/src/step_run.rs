//! The state of a step's tasks within one occurrence of its job.

use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeSet;

use crate::ids::{StepId, TaskId};

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Task {
    /// True once a run of it has ended well.
    pub done: bool,
    /// The highest attempt used; 0 before the first.
    pub attempt: u64,
    /// How many of its runs have ended `failed`.
    pub failures: u32,
    /// For a member of a gang: the newest attempt whose failure was counted at this task.
    pub failed_attempt: u64,
    /// The newest checkpoint, empty for none.
    pub checkpoint: String,
    /// The agent of the runner that a run is assigned to and where it may not be over.
    pub runner: Option<NodeId>,
    /// Runners at which it has failed: others are tried first.
    pub failed_at: Vec<NodeId>,
}

/// A run that is assigned to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AssignedRun {
    /// The task that runs.
    pub task: TaskId,
    /// The agent of the runner.
    pub node: NodeId,
}

/// The state of one step in one occurrence of its job.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRun {
    /// All tasks, by index.
    pub tasks: Vec<Task>,
    /// How many tasks are not done.
    pub remaining: u32,
    /// The indexes of tasks that are neither done nor assigned.
    pub waiting: BTreeSet<u32>,
    /// Since when a task has waited.
    pub waiting_since: Time,
    /// For a gang: the newest attempt that counted as failed.
    pub failed_attempt: u64,
    /// For a gang: how many attempts counted as failed.
    pub gang_failures: u32,
}

impl StepRun {
    /// A step whose tasks all wait.
    pub(crate) fn new(count: u32) -> StepRun {
        StepRun {
            tasks: vec![Task::default(); count as usize],
            remaining: count,
            waiting: (0..count).collect(),
            ..StepRun::default()
        }
    }

    /// True once all tasks are done.
    pub(crate) fn has_ended(&self) -> bool {
        self.remaining == 0
    }

    /// True where no task is done or assigned.
    pub(crate) fn is_complete_gang_waiting(&self) -> bool {
        self.waiting.len() == self.tasks.len()
    }

    /// The attempt number of a gang's next run: one above that of every member.
    pub(crate) fn next_gang_attempt(&self) -> u64 {
        let highest = self.tasks.iter().map(|task| task.attempt).max();
        highest.unwrap_or(0) + 1
    }

    /// The checkpoint that all members of a gang resume from: any member's serves.
    pub(crate) fn gang_checkpoint(&self) -> String {
        self.tasks
            .iter()
            .map(|task| &task.checkpoint)
            .find(|checkpoint| !checkpoint.is_empty())
            .cloned()
            .unwrap_or_default()
    }

    /// The runs of this step, known as `step`, that are assigned to runners.
    pub(crate) fn assigned_runs(&self, step: StepId) -> Vec<AssignedRun> {
        let assigned = |(index, task): (usize, &Task)| {
            let index = index as u32;
            task.runner.map(|node| AssignedRun {
                task: TaskId { step, index },
                node,
            })
        };
        self.tasks.iter().enumerate().filter_map(assigned).collect()
    }
}
