//! What goes to the disk, and what has been committed.

use super::Raft;
use crate::entry::{Entry, Mark};
use crate::output::{Committed, Output};
use crate::record::{DiskRecord, DiskWritten};

impl Raft {
    pub(super) fn write(&mut self, record: DiskRecord) {
        self.write_unsaved_disks();
        self.output.records.push(record);
        self.records_written += 1;
    }

    /// What is known of others' disks goes along with what is written anyhow.
    fn write_unsaved_disks(&mut self) {
        if self.unsaved_written.is_empty() {
            return;
        }
        let unsaved = std::mem::take(&mut self.unsaved_written);
        let disks = unsaved
            .into_iter()
            .map(|(disk, written)| DiskWritten { disk, written })
            .collect();
        self.output.records.push(DiskRecord::Disks(disks));
        self.records_written += 1;
    }

    pub(super) fn write_term(&mut self) {
        self.write(DiskRecord::Term {
            term: self.term,
            vote: self.vote,
        });
    }

    /// All that the disk has to hold, in place of what it does.
    pub(super) fn rewrite(&mut self) {
        let mut records = vec![DiskRecord::Term {
            term: self.term,
            vote: self.vote,
        }];
        records.push(DiskRecord::Snapshot((*self.log.snapshot).clone()));
        records.extend(self.log.entries.iter().cloned().map(DiskRecord::Entry));
        let known = self.known_written.iter();
        let disks = known
            .map(|(&disk, &written)| DiskWritten { disk, written })
            .collect();
        records.push(DiskRecord::Disks(disks));
        self.unsaved_written.clear();
        self.records_written += records.len() as u64;
        self.output.rewrite = true;
        self.output.records = records;
    }

    /// Appends an entry to the log and to the disk.
    pub(super) fn push(&mut self, entry: Entry) {
        self.write(DiskRecord::Entry(entry.clone()));
        self.log.entries.push_back(entry);
    }

    /// What the last calls ask for. Messages go out when the records are synced.
    pub fn output(&mut self) -> Output {
        self.output.written = self.records_written;
        std::mem::take(&mut self.output)
    }

    /// The records of an `output` are synced; `mark`: the last entry among them.
    pub fn persisted(&mut self, now: f64, mark: Mark) {
        if self.log.mark(mark.index) == Some(mark) {
            self.persisted_index = self.persisted_index.max(mark.index);
        }
        self.advance_commit(now);
    }

    /// The next that has been committed, in order.
    pub fn next_committed(&mut self) -> Option<Committed> {
        if self.delivered >= self.commit {
            return None;
        }
        let base = self.log.base().index;
        if self.delivered < base {
            self.delivered = base;
            return Some(Committed::Snapshot(self.log.snapshot.clone()));
        }
        let entry = self.log.entry(self.delivered + 1)?.clone();
        self.delivered += 1;
        Some(Committed::Entry(entry))
    }

    /// Puts what the host made of all up to `index`, delivered already, in place of those entries.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.delivered && self.log.compact(index, state) {
            self.rewrite();
        }
    }
}
