//! The stored form of jobs and tasks in the replicated records.
//!
//! The order and types of fields, the numbers of variants and the layout of keys are on disk: they must not change.

use deku::prelude::*;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::{Blob, NodeId, Text};

use crate::error::SchedulerError;
use crate::ids::{JobId, StepId, TaskId};

/// How a job ended, or that it has not.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub(crate) enum Outcome {
    /// It has tasks to run, or running.
    #[deku(id = 0)]
    Active,
    /// All its tasks are done.
    #[deku(id = 1)]
    Completed,
    /// One of its tasks, or a gang, failed as often as its queue allows.
    #[deku(id = 2)]
    Failed,
    /// Its client cancelled it.
    #[deku(id = 3)]
    Cancelled,
}

/// A job's record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub(crate) struct JobRecord {
    /// How it ended, or that it has not.
    pub outcome: Outcome,
    /// The name of its route.
    pub queue: Text,
    /// The service that ran the queue when the job was accepted.
    pub service: Text,
    /// How many failed runs of a task fail the job.
    pub max_attempts: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Rises with each accepted job.
    pub order: u64,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: i64,
    /// As submitted; empty once the job has ended.
    pub body: Blob,
}

/// An assignment of a run to a runner that may not be over.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct AssignmentRecord {
    /// The agent of the runner.
    pub agent: NodeId,
    /// The instance of the runner.
    pub instance: Text,
    /// What the run uses.
    pub resources: Resources,
}

/// A task's record; there is none for a task that has never been assigned.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub(crate) struct TaskRecord {
    /// 1 where the task has ended well.
    pub done: u8,
    /// The highest attempt used.
    pub attempt: u64,
    /// How many of its runs have ended `failed`.
    pub failures: u32,
    /// For a member of a gang: the newest attempt whose failure was counted here.
    pub failed_attempt: u64,
    /// The newest checkpoint known, empty for none.
    pub checkpoint: Text,
    /// 1 where the assignment below may not be over.
    pub assigned: u8,
    /// The newest assignment; empty where `assigned` is 0.
    pub assignment: AssignmentRecord,
}

/// The key of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Key {
    /// Of a job's record.
    Job(JobId),
    /// Of a task's record.
    Task(TaskId),
}

/// The first byte of a job's key.
const JOB_KEY: u8 = b'j';
/// The first byte of a task's key.
const TASK_KEY: u8 = b't';

impl Key {
    /// The key's bytes: the kind, then job, occurrence, step and index, big-endian, so that they sort in this order.
    /// All jobs sort before all tasks.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        match self {
            Key::Job(id) => [&[JOB_KEY][..], &id.0.to_be_bytes()].concat(),
            Key::Task(TaskId {
                step:
                    StepId {
                        job,
                        occurrence,
                        step,
                    },
                index,
            }) => [
                &[TASK_KEY][..],
                &job.0.to_be_bytes(),
                &occurrence.to_be_bytes(),
                &step.to_be_bytes(),
                &index.to_be_bytes(),
            ]
            .concat(),
        }
    }

    /// Parses a key.
    ///
    /// # Errors
    ///
    /// `UnknownKey` where the bytes are no key of this version.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Key, SchedulerError> {
        Key::from_bytes(bytes).ok_or(SchedulerError::UnknownKey(bytes.len()))
    }

    fn from_bytes(bytes: &[u8]) -> Option<Key> {
        let (&kind, rest) = bytes.split_first()?;
        let (job, rest) = rest.split_first_chunk::<8>()?;
        let job = JobId(u64::from_be_bytes(*job));
        if kind == JOB_KEY && rest.is_empty() {
            return Some(Key::Job(job));
        }
        let (occurrence, rest) = rest.split_first_chunk::<4>()?;
        let (step, rest) = rest.split_first_chunk::<4>()?;
        let (index, rest) = rest.split_first_chunk::<4>()?;
        let step = StepId {
            job,
            occurrence: u32::from_be_bytes(*occurrence),
            step: u32::from_be_bytes(*step),
        };
        let task = TaskId {
            step,
            index: u32::from_be_bytes(*index),
        };
        (kind == TASK_KEY && rest.is_empty()).then_some(Key::Task(task))
    }
}
