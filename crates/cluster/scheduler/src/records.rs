//! The stored form of jobs and tasks: the replicated records and their keys.
//!
//! Records are on disk, so the order and types of fields, the numbers of variants and the layout of keys must not
//! change.

use deku::prelude::*;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::{Blob, List, NodeId, Text};

use crate::error::SchedulerError;
use crate::ids::{JobId, StepId, TaskId};

/// How a job ended, or `Active` if it has not ended.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub(crate) enum Outcome {
    /// The job has tasks that are running or have yet to run.
    #[deku(id = 0)]
    Active,
    /// All tasks of the job are done.
    #[deku(id = 1)]
    Completed,
    /// A task or a gang of the job failed as many times as the job's queue allows.
    #[deku(id = 2)]
    Failed,
    /// The client cancelled the job.
    #[deku(id = 3)]
    Cancelled,
}

/// The stored record of a job.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Debug)]
pub(crate) struct JobRecord {
    /// How the job ended; `Active` until it has ended.
    pub outcome: Outcome,
    /// The name of the job's queue, which is also the name of the queue's route in the configuration.
    pub queue: Text,
    /// The name of the service that ran the queue's jobs when this job was accepted.
    pub service: Text,
    /// The number of failed runs of one task, or of one gang, with which the job fails.
    pub max_attempts: u32,
    /// The job's priority; 0 is the most urgent.
    pub priority: u32,
    /// The job's position in the order of acceptance; each accepted job gets a higher number.
    pub order: u64,
    /// The time at which the job was accepted, in milliseconds since 1970.
    pub accepted_ms: i64,
    /// The body as submitted; empty once the job has ended.
    pub body: Blob,
}

/// The assignment of a run to a runner. The run may be active until its end is known.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct AssignmentRecord {
    /// The address of the runner's agent.
    pub agent: NodeId,
    /// The instance ID of the runner.
    pub instance: Text,
    /// The resources that the run uses.
    pub resources: Resources,
}

/// The stored record of a task. A task that has never been assigned has no record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub(crate) struct TaskRecord {
    /// 1 if the task is done, which means that a run of it has succeeded; otherwise 0.
    pub done: u8,
    /// The highest attempt number used; 0 before the first run.
    pub attempt: u64,
    /// The number of the task's runs that have ended as `failed`.
    pub failures: u32,
    /// The newest attempt of a gang whose failure was counted at this member; 0 for a task that is not in a gang.
    pub failed_attempt: u64,
    /// The newest known checkpoint; empty if there is none.
    pub checkpoint: Text,
    /// 1 if the run of `assignment` may still be active; otherwise 0.
    pub assigned: u8,
    /// The newest assignment; empty if `assigned` is 0.
    pub assignment: AssignmentRecord,
}

/// A range of occurrences of a job.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct OccurrenceRange {
    /// The index of the first occurrence.
    pub first: u32,
    /// The index after the last occurrence.
    pub end: u32,
}

/// The stored record of the occurrences of a job that are over. It replaces the records of their tasks.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub(crate) struct OccurrencesRecord {
    /// The occurrences that are over, in ascending order.
    pub over: List<OccurrenceRange>,
}

/// The key of a record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Key {
    /// The key of a job's record.
    Job(JobId),
    /// The key of the record of a job's occurrences that are over.
    Occurrences(JobId),
    /// The key of a task's record.
    Task(TaskId),
}

/// The first byte of a job's key.
const JOB_KEY: u8 = b'j';
/// The first byte of the key of a job's occurrences that are over.
const OCCURRENCES_KEY: u8 = b'o';
/// The first byte of a task's key.
const TASK_KEY: u8 = b't';

impl Key {
    /// Returns the key's bytes: the kind, then job, occurrence, step and index. Numbers are big-endian, so keys sort in
    /// this order: first all jobs, then all their occurrences that are over, then all tasks.
    pub(crate) fn to_bytes(self) -> Vec<u8> {
        match self {
            Key::Job(id) => [&[JOB_KEY][..], &id.0.to_be_bytes()].concat(),
            Key::Occurrences(id) => [&[OCCURRENCES_KEY][..], &id.0.to_be_bytes()].concat(),
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

    /// Parses a key from its bytes.
    ///
    /// # Errors
    ///
    /// Returns `UnknownKey` if the bytes are not a key known to this version.
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
        if kind == OCCURRENCES_KEY && rest.is_empty() {
            return Some(Key::Occurrences(job));
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
