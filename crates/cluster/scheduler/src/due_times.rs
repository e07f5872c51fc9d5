//! The occurrences of jobs that are not due yet.

use std::collections::BTreeSet;

use crate::ids::JobId;

/// An occurrence of a job and the time at which it becomes due. Due times sort by this time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DueTime {
    /// The time at which the occurrence becomes due, in milliseconds since 1970.
    pub at_ms: i64,
    /// The ID of the job.
    pub job: JobId,
    /// The index of the occurrence, from 0.
    pub occurrence: u32,
}

/// The occurrences that are not due yet, soonest first.
#[derive(Default)]
pub(crate) struct DueTimes(BTreeSet<DueTime>);

impl DueTimes {
    /// Adds an occurrence.
    pub(crate) fn insert(&mut self, due: DueTime) {
        self.0.insert(due);
    }

    /// Takes the soonest occurrence if it is due at `wall_ms`, the time of day in milliseconds since 1970.
    pub(crate) fn take_due(&mut self, wall_ms: i64) -> Option<DueTime> {
        let first = self.0.first().filter(|due| due.at_ms <= wall_ms).copied()?;
        self.0.remove(&first);
        Some(first)
    }

    /// Returns when the soonest occurrence becomes due, in milliseconds since 1970.
    pub(crate) fn next_ms(&self) -> Option<i64> {
        self.0.first().map(|due| due.at_ms)
    }
}
