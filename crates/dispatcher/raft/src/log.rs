//! The log as one member holds it: a snapshot, and the entries behind it.

use crate::entry::{Entry, EntryPayload, Mark, Snapshot, Voter};
use std::collections::VecDeque;
use std::rc::Rc;

/// The entries of one message.
#[derive(Clone, Debug, Default)]
pub struct EntryBatch {
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// Their size; the first one that did not fit is counted too.
    pub bytes: usize,
}

/// A snapshot and the entries behind it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// All up to its place.
    pub snapshot: Rc<Snapshot>,
    /// What stands behind the snapshot, in order.
    pub entries: VecDeque<Entry>,
}

impl Log {
    /// The place of the snapshot.
    pub fn base(&self) -> Mark {
        self.snapshot.mark
    }

    /// The place of the last entry.
    pub fn last(&self) -> Mark {
        self.entries.back().map_or(self.base(), |entry| entry.mark)
    }

    /// The mark at an index that is held.
    pub fn mark(&self, index: u64) -> Option<Mark> {
        match index.checked_sub(self.base().index)? {
            0 => Some(self.base()),
            n => self.entries.get(n as usize - 1).map(|entry| entry.mark),
        }
    }

    /// The entry at an index, if it stands behind the snapshot.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let n = index.checked_sub(self.base().index + 1)?;
        self.entries.get(n as usize)
    }

    /// Entries from an index on, as many as fit `max_bytes`; with `at_least_one`, the first even if it does not.
    pub fn batch(&self, from: u64, max_bytes: usize, at_least_one: bool) -> EntryBatch {
        let mut batch = EntryBatch::default();
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            batch.bytes += entry.size();
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
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base().index + 1);
        self.entries.truncate(keep as usize);
    }

    /// The voters as of the end of the log, agreed or not yet, and the index where that was said.
    pub fn voters(&self) -> (&[Voter], u64) {
        self.voters_at(self.last().index)
    }

    /// The voters as of an index, and the index where that was said.
    fn voters_at(&self, index: u64) -> (&[Voter], u64) {
        let earlier = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.mark.index <= index);
        let mut changes = earlier.filter_map(|entry| match &entry.payload {
            EntryPayload::Voters(voters) => Some((voters.as_slice(), entry.mark.index)),
            _ => None,
        });
        changes
            .next()
            .unwrap_or((&self.snapshot.voters, self.base().index))
    }

    /// Puts a snapshot in place of all up to an index that is held.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) -> bool {
        let Some(mark) = self
            .mark(index)
            .filter(|mark| mark.index > self.base().index)
        else {
            return false;
        };
        let voters = self.voters_at(index).0.to_vec();
        self.drop_up_to(index);
        self.snapshot = Rc::new(Snapshot {
            mark,
            voters,
            state,
        });
        true
    }

    /// Takes a snapshot from elsewhere; keeps what stands behind it, if that is the same log.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.mark(snapshot.mark.index) == Some(snapshot.mark) {
            self.drop_up_to(snapshot.mark.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Rc::new(snapshot);
    }

    fn drop_up_to(&mut self, index: u64) {
        let count = (index - self.base().index) as usize;
        self.entries.drain(..count);
    }
}
