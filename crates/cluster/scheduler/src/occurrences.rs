//! The occurrences of one job: which are due, which are in progress, and which are over.
//!
//! Only occurrences in progress have state. One that is not due yet, or that is over, takes no memory of its own, however
//! many there are.

use std::collections::BTreeMap;

use sagetrail_protocol::List;

use crate::records::OccurrenceRange;
use crate::spec::JobSpec;
use crate::step_run::StepRun;

/// The occurrences of one job, by index.
#[derive(Clone, Debug)]
pub(crate) struct Occurrences {
    /// The number of occurrences.
    total: u32,
    /// The number of tasks of each step, by step index.
    task_counts: Vec<u32>,
    /// The occurrences below this index are due.
    due_below: u32,
    /// The state of the steps, by step index, of each occurrence that is in progress.
    in_progress: BTreeMap<u32, Vec<StepRun>>,
    /// The occurrences that are over: the index after the last one of each range, by the index of its first one. No two
    /// ranges touch, so there is at most one more range than there are occurrences in progress.
    over: BTreeMap<u32, u32>,
}

impl Occurrences {
    /// Creates the occurrences of a job, none of which is due.
    pub(crate) fn new(spec: &JobSpec) -> Occurrences {
        Occurrences {
            total: spec.occurrences(),
            task_counts: spec.stages.iter().map(|stage| stage.count).collect(),
            due_below: 0,
            in_progress: BTreeMap::new(),
            over: BTreeMap::new(),
        }
    }

    /// Creates the occurrences of a job that has ended, of which nothing is kept.
    pub(crate) fn none() -> Occurrences {
        Occurrences {
            total: 0,
            task_counts: Vec::new(),
            due_below: 0,
            in_progress: BTreeMap::new(),
            over: BTreeMap::new(),
        }
    }

    /// Returns the number of occurrences.
    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    /// Returns the number of tasks of one occurrence.
    pub(crate) fn tasks_per_occurrence(&self) -> u64 {
        self.task_counts.iter().copied().map(u64::from).sum()
    }

    /// Returns the number of occurrences in progress.
    pub(crate) fn in_progress_count(&self) -> usize {
        self.in_progress.len()
    }

    /// Returns the indexes of the occurrences in progress.
    pub(crate) fn in_progress_indexes(&self) -> Vec<u32> {
        self.in_progress.keys().copied().collect()
    }

    /// Returns the state of the steps of an occurrence in progress.
    pub(crate) fn steps(&self, occurrence: u32) -> Option<&Vec<StepRun>> {
        self.in_progress.get(&occurrence)
    }

    /// Returns the state of the steps of an occurrence in progress for modification.
    pub(crate) fn steps_mut(&mut self, occurrence: u32) -> Option<&mut Vec<StepRun>> {
        self.in_progress.get_mut(&occurrence)
    }

    /// Returns true if the occurrence is due.
    pub(crate) fn is_due(&self, occurrence: u32) -> bool {
        occurrence < self.due_below
    }

    /// Returns the first occurrence that is neither due nor over.
    pub(crate) fn next(&self) -> Option<u32> {
        let range = self.over.range(..=self.due_below).next_back();
        let next = range.map_or(self.due_below, |(_, &end)| end.max(self.due_below));
        (next < self.total).then_some(next)
    }

    /// Makes an occurrence and all before it due.
    pub(crate) fn set_due(&mut self, occurrence: u32) {
        self.due_below = self.due_below.max(occurrence + 1);
    }

    /// Brings an occurrence into progress, in which no task has run. Returns false if it is in progress already, is over
    /// or does not exist.
    pub(crate) fn begin(&mut self, occurrence: u32) -> bool {
        let is_new = occurrence < self.total
            && !self.is_over(occurrence)
            && !self.in_progress.contains_key(&occurrence);
        if is_new {
            let steps = self.task_counts.iter().map(|&count| StepRun::new(count));
            self.in_progress.insert(occurrence, steps.collect());
        }
        is_new
    }

    /// Drops the state of an occurrence, which is over.
    pub(crate) fn end(&mut self, occurrence: u32) {
        self.in_progress.remove(&occurrence);
        self.add_over(occurrence, occurrence + 1);
    }

    /// Returns true if the occurrence is over.
    pub(crate) fn is_over(&self, occurrence: u32) -> bool {
        let range = self.over.range(..=occurrence).next_back();
        range.is_some_and(|(_, &end)| occurrence < end)
    }

    /// Returns the number of occurrences that are over.
    pub(crate) fn over_count(&self) -> u64 {
        let counts = self
            .over
            .iter()
            .map(|(&first, &end)| u64::from(end - first));
        counts.sum()
    }

    /// Returns the occurrences that are over in their stored form.
    pub(crate) fn over_ranges(&self) -> List<OccurrenceRange> {
        let ranges = self.over.iter();
        ranges
            .map(|(&first, &end)| OccurrenceRange { first, end })
            .collect()
    }

    /// Restores the occurrences that are over from their stored form. Ranges beyond the number of occurrences are cut.
    pub(crate) fn restore_over(&mut self, ranges: &[OccurrenceRange]) {
        for range in ranges {
            let end = range.end.min(self.total);
            if range.first < end {
                self.add_over(range.first, end);
            }
        }
    }

    /// Adds a range to those that are over and joins it with the ranges that it touches.
    fn add_over(&mut self, first: u32, end: u32) {
        let (mut first, mut end) = (first, end);
        while let Some((&touched_first, &touched_end)) = self.over.range(..=end).next_back() {
            if touched_end < first {
                break;
            }
            self.over.remove(&touched_first);
            first = first.min(touched_first);
            end = end.max(touched_end);
        }
        self.over.insert(first, end);
    }
}
