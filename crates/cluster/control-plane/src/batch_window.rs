//! The newest batches of a term, for replicas that missed them.

use sagetrail_protocol::control::{RecordBatch, RecordChange};
use std::collections::VecDeque;

/// So many batches stay in any case.
const MAX_BATCHES: usize = 1024;
/// And so many bytes of them.
const MAX_BYTES: usize = 2 << 20;
/// So many stay while an active replica lacks them: it may be fetching a snapshot that is as old as they are.
const MAX_MISSED_BATCHES: usize = 8192;
/// And so many bytes of them.
const MAX_MISSED_BYTES: usize = 16 << 20;
/// The newest batches stay whatever their size.
const MIN_BATCHES: usize = 2;

/// The newest batches, with consecutive numbers.
#[derive(Debug, Default)]
pub(crate) struct BatchWindow {
    batches: VecDeque<RecordBatch>,
    /// Bytes of keys and values in `batches`.
    bytes: usize,
}

impl BatchWindow {
    /// Adds the next batch. `first_missing`: the first batch that an active replica may lack.
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

    /// The number of the oldest batch.
    pub(crate) fn first(&self) -> Option<u64> {
        self.batches.front().map(|batch| batch.number)
    }

    /// The batch of this number, unless it has been dropped or is yet to come.
    pub(crate) fn get(&self, number: u64) -> Option<&RecordBatch> {
        let index = number.checked_sub(self.first()?)?;
        self.batches.get(index as usize)
    }

    /// Whether the oldest batch is to be dropped.
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
