//! The log as one member holds it: a snapshot, and the entries behind it.

use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::snapshot::Snapshot;
use crate::voter::Voter;
use std::collections::VecDeque;
use std::rc::Rc;

/// The entries of one message.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryBatch {
    /// The entries, in order.
    pub(crate) entries: Vec<Entry>,
    /// Their size; the first one that did not fit is counted too.
    pub(crate) bytes: usize,
}

/// A snapshot and the entries behind it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaftLog {
    /// All up to its place.
    pub(crate) snapshot: Rc<Snapshot>,
    /// What stands behind the snapshot, in order.
    pub(crate) entries: VecDeque<Entry>,
}

impl RaftLog {
    /// The place of the snapshot.
    pub(crate) fn snapshot_position(&self) -> LogPosition {
        self.snapshot.position
    }

    /// The place of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.snapshot_position(), |entry| entry.position)
    }

    /// The mark at an index that is held.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        match index.checked_sub(self.snapshot_position().index)? {
            0 => Some(self.snapshot_position()),
            n => self.entries.get(n as usize - 1).map(|entry| entry.position),
        }
    }

    /// The entry at an index, if it stands behind the snapshot.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let n = index.checked_sub(self.snapshot_position().index + 1)?;
        self.entries.get(n as usize)
    }

    /// Entries from an index on, as many as fit `max_bytes`; with `at_least_one`, the first even if it does not.
    pub(crate) fn batch(&self, from: u64, max_bytes: usize, at_least_one: bool) -> EntryBatch {
        let mut batch = EntryBatch::default();
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            batch.bytes += entry.size_bytes();
            let forced = at_least_one && batch.entries.is_empty();
            if batch.bytes > max_bytes && !forced {
                break;
            }
            batch.entries.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Drops everything from this index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot_position().index + 1);
        self.entries.truncate(keep as usize);
    }

    /// The voters as of the end of the log, agreed or not yet, and the index where that was said.
    pub(crate) fn voters(&self) -> (&[Voter], u64) {
        self.voters_at(self.last_position().index)
    }

    /// The voters as of an index, and the index where that was said.
    fn voters_at(&self, index: u64) -> (&[Voter], u64) {
        let earlier = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.position.index <= index);
        let mut changes = earlier.filter_map(|entry| match &entry.payload {
            EntryPayload::Voters(voters) => Some((voters.as_slice(), entry.position.index)),
            _ => None,
        });
        changes
            .next()
            .unwrap_or((&self.snapshot.voters, self.snapshot_position().index))
    }

    /// Puts a snapshot in place of all up to an index that is held.
    pub(crate) fn compact(&mut self, index: u64, state: Vec<u8>) -> bool {
        let Some(position) = self
            .position_at(index)
            .filter(|position| position.index > self.snapshot_position().index)
        else {
            return false;
        };
        let voters = self.voters_at(index).0.to_vec();
        self.drop_up_to(index);
        self.snapshot = Rc::new(Snapshot {
            position,
            voters,
            state,
        });
        true
    }

    /// Takes a snapshot from elsewhere; keeps what stands behind it, if that is the same log.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.position_at(snapshot.position.index) == Some(snapshot.position) {
            self.drop_up_to(snapshot.position.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Rc::new(snapshot);
    }

    fn drop_up_to(&mut self, index: u64) {
        let count = (index - self.snapshot_position().index) as usize;
        self.entries.drain(..count);
    }
}
