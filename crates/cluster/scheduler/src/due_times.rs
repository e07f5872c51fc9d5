//! The next occurrence of each job that has not started yet.

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

/// The next occurrence of each job that has occurrences left to start.
#[derive(Default)]
pub(crate) struct DueTimes {
    /// The occurrences that start when they are due, soonest first.
    waiting: BTreeSet<DueTime>,
    /// The occurrences that are due but cannot start yet.
    delayed: Vec<DueTime>,
}

impl DueTimes {
    /// Adds an occurrence.
    pub(crate) fn insert(&mut self, due: DueTime) {
        self.waiting.insert(due);
    }

    /// Takes the soonest occurrence if it is due at `wall_ms`, the time of day in milliseconds since 1970.
    pub(crate) fn take_due(&mut self, wall_ms: i64) -> Option<DueTime> {
        let first = self.waiting.first().filter(|due| due.at_ms <= wall_ms);
        let first = first.copied()?;
        self.waiting.remove(&first);
        Some(first)
    }

    /// Sets an occurrence that is due aside until `retry_delayed`.
    pub(crate) fn delay(&mut self, due: DueTime) {
        self.delayed.push(due);
    }

    /// Adds the occurrences that were set aside again.
    pub(crate) fn retry_delayed(&mut self) {
        self.waiting.extend(self.delayed.drain(..));
    }

    /// Removes an occurrence.
    pub(crate) fn remove(&mut self, due: DueTime) {
        self.waiting.remove(&due);
        self.delayed.retain(|delayed| *delayed != due);
    }

    /// Returns when the soonest occurrence that was not set aside becomes due, in milliseconds since 1970.
    pub(crate) fn next_ms(&self) -> Option<i64> {
        self.waiting.first().map(|due| due.at_ms)
    }
}
