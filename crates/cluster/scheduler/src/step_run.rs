//! The state of a step and its tasks within one occurrence of the job.

use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeSet;

use crate::ids::{StepId, TaskId};

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Task {
    /// True once a run of the task has succeeded.
    pub done: bool,
    /// The highest attempt number used; 0 before the first run.
    pub attempt: u64,
    /// The number of the task's runs that have ended as `failed`.
    pub failures: u32,
    /// The newest attempt of a gang whose failure was counted at this member; 0 for a task that is not in a gang.
    pub failed_attempt: u64,
    /// The newest known checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The address of the agent of the runner to which a run is assigned that may still be active; `None` without such
    /// a run.
    pub runner: Option<NodeId>,
    /// The runners at which the task has failed, by their agents' addresses. Other runners are tried first.
    pub failed_at: Vec<NodeId>,
}

/// A run of a task and the runner that it is assigned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AssignedRun {
    /// The ID of the task.
    pub task: TaskId,
    /// The address of the runner's agent.
    pub node: NodeId,
}

/// The state of one step in one occurrence of its job.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepRun {
    /// The state of all tasks, by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub remaining: u32,
    /// The indexes of tasks that are neither done nor assigned.
    pub waiting: BTreeSet<u32>,
    /// The time since when a task of the step has waited.
    pub waiting_since: Time,
    /// The newest attempt of a gang that counted as failed; 0 if none did.
    pub failed_attempt: u64,
    /// The number of attempts of a gang that counted as failed.
    pub gang_failures: u32,
}

impl StepRun {
    /// Creates a step of `count` tasks that all wait.
    pub(crate) fn new(count: u32) -> StepRun {
        StepRun {
            tasks: vec![Task::default(); count as usize],
            remaining: count,
            waiting: (0..count).collect(),
            ..StepRun::default()
        }
    }

    /// Returns true once all tasks are done.
    pub(crate) fn has_ended(&self) -> bool {
        self.remaining == 0
    }

    /// Returns true if all tasks wait, so none is done or assigned.
    pub(crate) fn is_complete_gang_waiting(&self) -> bool {
        self.waiting.len() == self.tasks.len()
    }

    /// Returns the attempt number of a gang's next run, which is one above the highest attempt number of any member.
    pub(crate) fn next_gang_attempt(&self) -> u64 {
        let highest = self.tasks.iter().map(|task| task.attempt).max();
        highest.unwrap_or(0) + 1
    }

    /// Returns the checkpoint from which all members of a gang resume: that of the first member that has one, because
    /// any member's checkpoint holds for all. It is empty if there is none.
    pub(crate) fn gang_checkpoint(&self) -> String {
        self.tasks
            .iter()
            .map(|task| &task.checkpoint)
            .find(|checkpoint| !checkpoint.is_empty())
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the assigned runs of this step, whose ID is `step`.
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
