//! The limits that a submitted job must keep.

/// The maximum length of a job's `spec` text, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The maximum number of steps (`stages`) of a job.
pub const MAX_STAGES: usize = 256;
/// The maximum number of tasks of a job, over all its steps and occurrences.
pub const MAX_TASKS: u64 = 20_000;
/// The latest time accepted as the first due time of a job, in milliseconds since 1970, and the longest interval
/// accepted between its occurrences, in milliseconds.
pub(crate) const MAX_TIME_MS: f64 = 1e14;
