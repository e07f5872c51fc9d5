//! The log of one member: a snapshot and the entries after it.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::snapshot::Snapshot;
use crate::voter::Voter;

/// A batch of entries for one message.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryBatch {
    /// The entries, in order.
    pub(crate) entries: Vec<Entry>,
    /// Size of the entries, bytes, including the first entry that no longer fitted.
    pub(crate) bytes: usize,
}

/// The voters as of an index.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentVoters<'a> {
    /// The voters.
    pub(crate) voters: &'a [Voter],
    /// The index of the entry or snapshot that set them.
    pub(crate) since_index: u64,
}

/// A snapshot and the entries after it.
///
/// Invariant: the entries follow the snapshot and one another without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaftLog {
    /// The snapshot, which covers all entries up to its position.
    pub(crate) snapshot: Rc<Snapshot>,
    /// The entries after the snapshot, in order.
    pub(crate) entries: VecDeque<Entry>,
}

impl RaftLog {
    /// The position of the last entry that the snapshot covers.
    pub(crate) fn snapshot_position(&self) -> LogPosition {
        self.snapshot.position
    }

    /// The position of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries
            .back()
            .map_or(self.snapshot_position(), |entry| entry.position)
    }

    /// The position at an index. `None` if the index is after the end of the log or before the snapshot's position.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        match index.checked_sub(self.snapshot_position().index)? {
            0 => Some(self.snapshot_position()),
            offset => self
                .entries
                .get(offset as usize - 1)
                .map(|entry| entry.position),
        }
    }

    /// The entry at an index. `None` if the snapshot covers the index or the log ends before it.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_position().index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns as many entries from the index `from` as fit in `max_bytes`; with `at_least_one`, the first entry is
    /// included even if it does not fit.
    pub(crate) fn batch(&self, from: u64, max_bytes: usize, at_least_one: bool) -> EntryBatch {
        let mut batch = EntryBatch::default();
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            batch.bytes += entry.size_bytes();
            let is_forced = at_least_one && batch.entries.is_empty();
            if batch.bytes > max_bytes && !is_forced {
                break;
            }
            batch.entries.push(entry.clone());
            index += 1;
        }
        batch
    }

    /// Removes all entries from the index `from` to the end of the log.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot_position().index + 1);
        self.entries.truncate(keep as usize);
    }

    /// The voters as of the end of the log. A change takes effect when its entry is appended, before it is committed
    /// (Raft, 6).
    pub(crate) fn voters(&self) -> CurrentVoters<'_> {
        self.voters_at(self.last_position().index)
    }

    fn voters_at(&self, index: u64) -> CurrentVoters<'_> {
        let earlier = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.position.index <= index);
        let mut changes = earlier.filter_map(|entry| match &entry.payload {
            EntryPayload::Voters(voters) => Some(CurrentVoters {
                voters,
                since_index: entry.position.index,
            }),
            _ => None,
        });
        changes.next().unwrap_or(CurrentVoters {
            voters: &self.snapshot.voters,
            since_index: self.snapshot_position().index,
        })
    }

    /// Compacts the log: replaces all entries up to an index by a snapshot. Returns false if the index is not in the
    /// log, or the snapshot covers it already.
    pub(crate) fn compact(&mut self, index: u64, state: Vec<u8>) -> bool {
        let Some(position) = self
            .position_at(index)
            .filter(|position| position.index > self.snapshot_position().index)
        else {
            return false;
        };
        let voters = self.voters_at(index).voters.to_vec();
        self.remove_up_to(index);
        self.snapshot = Rc::new(Snapshot {
            position,
            voters,
            state,
        });
        true
    }

    /// Installs a leader's snapshot. The entries after it are kept if this log has the snapshot's position (Raft,
    /// figure 13, step 6).
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.position_at(snapshot.position.index) == Some(snapshot.position) {
            self.remove_up_to(snapshot.position.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Rc::new(snapshot);
    }

    fn remove_up_to(&mut self, index: u64) {
        let count = (index - self.snapshot_position().index) as usize;
        self.entries.drain(..count);
    }
}
