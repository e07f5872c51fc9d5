//! The errors for rejected jobs and for stored records that cannot be restored.

use thiserror::Error;

use crate::limits::{MAX_SPEC_BYTES, MAX_STAGES, MAX_TASKS};

/// All errors of this crate. The texts of those above `UnknownKey` reach clients in the body of a 400 response.
#[derive(Debug, Error)]
pub enum SchedulerError {
    /// The body is not JSON, or its JSON does not describe a job.
    #[error("unreadable: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The field `spec` is longer than `MAX_SPEC_BYTES`; the value is its length in bytes.
    #[error("spec: {0} bytes, at most {MAX_SPEC_BYTES}")]
    SpecTooLong(usize),
    /// The job has no steps.
    #[error("stages: none")]
    NoStages,
    /// The job has more than `MAX_STAGES` steps; the value is their number.
    #[error("stages: {0}, at most {MAX_STAGES}")]
    TooManyStages(usize),
    /// A step has no tasks; the value is the step's index.
    #[error("stages[{0}].count: must be above 0")]
    EmptyStage(usize),
    /// The job has more than `MAX_TASKS` tasks over all its steps and occurrences; the value is their number.
    #[error("{0} tasks, at most {MAX_TASKS}")]
    TooManyTasks(u64),
    /// A step depends on itself, on a later step or on a step that does not exist.
    #[error("stages[{stage}].depends_on: {dependency} is no earlier step")]
    BadDependency {
        /// The index of the dependent step.
        stage: usize,
        /// The index of the step that it depends on.
        dependency: u32,
    },
    /// The first due time or the interval between occurrences is not a number from 0 to `MAX_TIME_MS`.
    #[error("first_run_ms or interval_ms: out of range")]
    BadTime,

    /// A stored record has a key that is neither a job's nor a task's; the value is the key's length in bytes.
    #[error("expected the key of a job or of a task, got an unknown key of {0} bytes")]
    UnknownKey(usize),
    /// The value of a stored record cannot be decoded.
    #[error("stored record cannot be decoded: {0}")]
    UnreadableRecord(#[from] deku::DekuError),
}
