//! The newest batches of a term, for replicas that missed them.

use sagetrail_protocol::control::{RecordBatch, RecordChange};
use std::collections::VecDeque;

/// The number of batches above which the oldest ones are dropped, unless an active replica lacks them.
const MAX_BATCHES: usize = 1024;
/// The size of the batches, in bytes of keys and values, above which the oldest ones are dropped, unless an active
/// replica lacks them.
const MAX_BYTES: usize = 2 << 20;
/// The number of batches that are retained while an active replica lacks them. The replica may be fetching a snapshot
/// that is as old as these batches.
const MAX_MISSED_BATCHES: usize = 8192;
/// The size, in bytes of keys and values, of the batches that are retained while an active replica lacks them.
const MAX_MISSED_BYTES: usize = 16 << 20;
/// The number of newest batches that are retained regardless of their size.
const MIN_BATCHES: usize = 2;

/// The newest batches of a term, in the order of their consecutive numbers.
#[derive(Debug, Default)]
pub(crate) struct BatchWindow {
    /// The retained batches, oldest first.
    batches: VecDeque<RecordBatch>,
    /// The size of the keys and values in `batches`, in bytes.
    bytes: usize,
}

impl BatchWindow {
    /// Adds the next batch and drops surplus ones. `first_missing` is the first batch that an active replica may lack.
    pub(crate) fn push(&mut self, batch: RecordBatch, first_missing: u64) {
        self.bytes += batch_bytes(&batch);
        self.batches.push_back(batch);
        while self.has_surplus(first_missing) {
            let Some(oldest) = self.batches.pop_front() else {
                break;
            };
            self.bytes = self.bytes.saturating_sub(batch_bytes(&oldest));
        }
    }

    /// Returns the number of the oldest retained batch.
    pub(crate) fn first(&self) -> Option<u64> {
        self.batches.front().map(|batch| batch.number)
    }

    /// Returns the batch with this number, or `None` if it has been dropped or does not exist yet.
    pub(crate) fn get(&self, number: u64) -> Option<&RecordBatch> {
        let index = number.checked_sub(self.first()?)?;
        self.batches.get(index as usize)
    }

    /// Returns whether the oldest batch has to be dropped.
    fn has_surplus(&self, first_missing: u64) -> bool {
        let exceeds = |batches: usize, bytes: usize| {
            self.batches.len() > batches || (self.bytes > bytes && self.batches.len() > MIN_BATCHES)
        };
        let is_missed = self.first().is_some_and(|first| first >= first_missing);
        exceeds(MAX_MISSED_BATCHES, MAX_MISSED_BYTES)
            || (!is_missed && exceeds(MAX_BATCHES, MAX_BYTES))
    }
}

fn batch_bytes(batch: &RecordBatch) -> usize {
    let change_bytes = |change: &RecordChange| match change {
        RecordChange::Put { key, value } => key.len() + value.len(),
        RecordChange::Delete { key } => key.len(),
    };
    batch.changes.iter().map(change_bytes).sum()
}
