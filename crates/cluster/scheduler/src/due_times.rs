//! Occurrences of jobs that have not fallen due yet.

use std::collections::BTreeSet;

use crate::ids::JobId;

/// An occurrence of a job with the time of day at which it falls due. Sorts by that time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DueTime {
    /// In milliseconds since 1970.
    pub at_ms: i64,
    /// The job.
    pub job: JobId,
    /// Which of its occurrences, from 0.
    pub occurrence: u32,
}

/// The occurrences that have not fallen due yet, soonest first.
#[derive(Default)]
pub(crate) struct DueTimes(BTreeSet<DueTime>);

impl DueTimes {
    /// Adds an occurrence.
    pub(crate) fn insert(&mut self, due: DueTime) {
        self.0.insert(due);
    }

    /// Takes the soonest occurrence, if it is due at this time of day in milliseconds since 1970.
    pub(crate) fn take_due(&mut self, wall_ms: i64) -> Option<DueTime> {
        let first = self.0.first().filter(|due| due.at_ms <= wall_ms).copied()?;
        self.0.remove(&first);
        Some(first)
    }

    /// When the soonest falls due, in milliseconds since 1970.
    pub(crate) fn next_ms(&self) -> Option<i64> {
        self.0.first().map(|due| due.at_ms)
    }
}
