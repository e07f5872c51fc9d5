//! How jobs and tasks lie in the replicated records.

use crate::ids::{JobId, StepId, TaskId};
use deku::prelude::*;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::{Blob, NodeId, Text};

/// Where a job stands.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum Outcome {
    /// It has tasks to run, or running.
    #[deku(id = 0)]
    Active,
    #[deku(id = 1)]
    Completed,
    #[deku(id = 2)]
    Failed,
    #[deku(id = 3)]
    Cancelled,
}

/// A job's record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub struct JobRecord {
    pub outcome: Outcome,
    /// The name of its route.
    pub queue: Text,
    /// The service that ran the queue when the job was taken.
    pub service: Text,
    pub max_attempts: u32,
    pub priority: u32,
    /// Rises with each job taken.
    pub order: u64,
    /// When it was taken, in milliseconds since 1970.
    pub accepted_ms: i64,
    /// As handed in; empty once the job has ended.
    pub body: Blob,
}

/// An assignment of a run to a runner that may not be over.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub struct AssignmentRecord {
    pub agent: NodeId,
    pub instance: Text,
    pub resources: Resources,
}

/// A task's record; none is kept for a task that has never been assigned.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct TaskRecord {
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
    pub assignment: AssignmentRecord,
}

/// What a key names.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Key {
    Job(JobId),
    Task(TaskId),
}

const JOB_KEY: u8 = b'j';
const TASK_KEY: u8 = b't';

impl Key {
    /// The key's bytes; they sort by job, time, step, index.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        match self {
            Key::Job(id) => [&[JOB_KEY][..], &id.0.to_be_bytes()].concat(),
            Key::Task(TaskId {
                step: StepId { job, time, step },
                index,
            }) => [
                &[TASK_KEY][..],
                &job.0.to_be_bytes(),
                &time.to_be_bytes(),
                &step.to_be_bytes(),
                &index.to_be_bytes(),
            ]
            .concat(),
        }
    }

    /// The key that bytes hold.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Key> {
        let (&kind, rest) = bytes.split_first()?;
        let (job, rest) = rest.split_first_chunk::<8>()?;
        let job = JobId(u64::from_be_bytes(*job));
        if kind == JOB_KEY && rest.is_empty() {
            return Some(Key::Job(job));
        }
        let (time, rest) = rest.split_first_chunk::<4>()?;
        let (step, rest) = rest.split_first_chunk::<4>()?;
        let (index, rest) = rest.split_first_chunk::<4>()?;
        let step = StepId {
            job,
            time: u32::from_be_bytes(*time),
            step: u32::from_be_bytes(*step),
        };
        let task = TaskId {
            step,
            index: u32::from_be_bytes(*index),
        };
        (kind == TASK_KEY && rest.is_empty()).then_some(Key::Task(task))
    }
}
