//! Records for the disk, and delivery of committed entries to the host.

use super::Raft;
use crate::disk_record::DiskRecord;
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::output::{Committed, Output};

impl Raft {
    /// Adds a record to the output.
    pub(super) fn write(&mut self, record: DiskRecord) {
        self.write_unsaved_watermarks();
        self.output.records.push(record);
        self.records_written += 1;
    }

    /// Watermarks of other disks are written only along with another record: they cost no sync of their own.
    fn write_unsaved_watermarks(&mut self) {
        let unsaved = self.watermarks.take_unsaved();
        if unsaved.is_empty() {
            return;
        }
        self.output.records.push(DiskRecord::Watermarks(unsaved));
        self.records_written += 1;
    }

    /// Writes the current term and vote.
    pub(super) fn write_term(&mut self) {
        self.write(self.term_record());
    }

    fn term_record(&self) -> DiskRecord {
        DiskRecord::Term {
            term: self.term,
            vote: self.vote,
        }
    }

    /// Replaces the records of the output by the complete state: everything that the disk has to hold.
    pub(super) fn rewrite(&mut self) {
        let mut records = vec![self.term_record()];
        records.push(DiskRecord::Snapshot((*self.log.snapshot).clone()));
        records.extend(self.log.entries.iter().cloned().map(DiskRecord::Entry));
        records.push(DiskRecord::Watermarks(self.watermarks.filter(|_| true)));
        self.watermarks.mark_saved();
        self.records_written += records.len() as u64;
        self.output.rewrite = true;
        self.output.records = records;
    }

    /// Appends an entry to the log and to the disk.
    pub(super) fn append(&mut self, entry: Entry) {
        self.write(DiskRecord::Entry(entry.clone()));
        self.log.entries.push_back(entry);
    }

    /// Takes what has to be written and sent since the last call. The host writes and syncs the records, calls
    /// [`persisted`](Raft::persisted), and only then sends the messages; those of later outputs wait behind them.
    #[must_use]
    pub fn output(&mut self) -> Output {
        self.output.records_written = self.records_written;
        std::mem::take(&mut self.output)
    }

    /// The records of an output are synced; `position` is what [`last_position`](Raft::last_position) returned when
    /// the output was taken.
    pub fn persisted(&mut self, now: f64, position: LogPosition) {
        if self.log.position_at(position.index) == Some(position) {
            self.persisted_index = self.persisted_index.max(position.index);
        }
        self.advance_commit(now);
    }

    /// The next committed entry or snapshot, in order; each is returned once. `None` if there is none now.
    pub fn next_committed(&mut self) -> Option<Committed> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let snapshot_index = self.log.snapshot_position().index;
        if self.applied_index < snapshot_index {
            self.applied_index = snapshot_index;
            return Some(Committed::Snapshot(self.log.snapshot.clone()));
        }
        let entry = self.log.entry(self.applied_index + 1)?.clone();
        self.applied_index += 1;
        Some(Committed::Entry(entry))
    }

    /// Replaces the entries up to `index` by a snapshot of the host's state after them (Raft, 7). No effect unless
    /// `next_committed` has returned the entry at `index`, and it is not in a snapshot already.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.applied_index && self.log.compact(index, state) {
            self.rewrite();
        }
    }
}
