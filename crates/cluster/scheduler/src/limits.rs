//! The limits of a submitted job.

/// The longest `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;
/// The most steps a job may have.
pub const MAX_STAGES: usize = 256;
/// The most tasks a job may have, over all its steps and occurrences.
pub const MAX_TASKS: u64 = 20_000;
/// The latest time of day accepted, in milliseconds since 1970.
pub(crate) const MAX_TIME_MS: f64 = 1e14;
