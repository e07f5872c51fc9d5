//! Why a job is rejected, or a stored record cannot be restored.

use thiserror::Error;

use crate::limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS};

/// All errors of this crate. The texts of the first group reach clients in the body of a 400.
#[derive(Debug, Error)]
pub enum SchedulerError {
    /// The body is not JSON of the right shape.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// `spec` has so many bytes, more than `MAX_SPEC_BYTES`.
    #[error("spec: {0} bytes, at most {MAX_SPEC_BYTES}")]
    SpecTooLong(usize),
    /// The job has no steps.
    #[error("stages: none")]
    NoStages,
    /// The job has so many steps, more than `MAX_STAGES`.
    #[error("stages: {0}, at most {MAX_STAGES}")]
    TooManyStages(usize),
    /// The step at this index has no tasks.
    #[error("stages[{0}].count: must be above 0")]
    EmptyStage(usize),
    /// The job has so many tasks over all steps and occurrences, more than `MAX_TASKS`.
    #[error("{0} tasks, at most {MAX_TASKS}")]
    TooManyTasks(u64),
    /// A step depends on itself, on a later one or on one that does not exist.
    #[error("stages[{stage}].depends_on: {on} is no earlier step")]
    BadDependency {
        /// The index of the dependent step.
        stage: usize,
        /// The index it names.
        on: u32,
    },
    /// The first due time or the interval is not a number within range.
    #[error("first_run_ms or interval_ms: out of range")]
    BadTime,

    /// A stored record has a key of so many bytes that names neither a job nor a task.
    #[error("unknown key of {0} bytes")]
    UnknownKey(usize),
    /// A stored record's value does not decode.
    #[error("record does not decode: {0}")]
    UnreadableRecord(#[from] deku::DekuError),
}
