//! Processor time of this thread, and what a machine has used by it.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// Processor time that this thread has used.
pub(super) fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}

/// What a machine has used.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    pub cpu: Duration,
    pub events: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub syncs: u64,
    pub written_bytes: u64,
}
