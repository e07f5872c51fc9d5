//! The newest batches of a term, kept for replicas that missed them.

use sagetrail_protocol::control::{RecordBatch, RecordChange};
use std::collections::VecDeque;

/// So many batches are kept in any case.
const MAX_BATCHES: usize = 1024;
/// And so many bytes of them.
const MAX_BYTES: usize = 2 << 20;
/// So many are kept while a member that is there misses them: it may be fetching an image that is as old as they.
const MAX_MISSED_BATCHES: usize = 8192;
/// And so many bytes of them.
const MAX_MISSED_BYTES: usize = 16 << 20;
/// The newest batches are kept whatever their size.
const FEWEST_BATCHES: usize = 2;

/// The newest batches, without gaps.
#[derive(Debug, Default)]
pub(crate) struct Window {
    batches: VecDeque<RecordBatch>,
    bytes: usize,
}

impl Window {
    /// Keeps a batch. `missed`: the first batch that a member that is there may miss.
    pub(crate) fn push(&mut self, batch: RecordBatch, missed: u64) {
        self.bytes += batch_bytes(&batch);
        self.batches.push_back(batch);
        while self.is_surplus(missed) {
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

    /// The batch of this number, where it is kept.
    pub(crate) fn get(&self, number: u64) -> Option<&RecordBatch> {
        let place = number.checked_sub(self.first()?)?;
        self.batches.get(place as usize)
    }

    fn is_surplus(&self, missed: u64) -> bool {
        let exceeds = |batches: usize, bytes: usize| {
            self.batches.len() > batches
                || (self.bytes > bytes && self.batches.len() > FEWEST_BATCHES)
        };
        let is_missed = self.first().is_some_and(|first| first >= missed);
        exceeds(MAX_MISSED_BATCHES, MAX_MISSED_BYTES)
            || (!is_missed && exceeds(MAX_BATCHES, MAX_BYTES))
    }
}

fn batch_bytes(batch: &RecordBatch) -> usize {
    let bytes = |change: &RecordChange| match change {
        RecordChange::Put { key, value } => key.len() + value.len(),
        RecordChange::Delete { key } => key.len(),
    };
    batch.changes.iter().map(bytes).sum()
}
