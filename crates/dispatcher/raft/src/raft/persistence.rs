//! Writes records to the disk, and delivers committed entries to the host.

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

    /// Adds the unsaved watermarks to the output. They are written only together with another record, so that they need
    /// no additional sync.
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

    /// Replaces the records of the output by the complete state that the disk has to hold.
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

    /// Takes the records and messages that were produced since the last call. The host writes and syncs the records,
    /// calls [`persisted`](Raft::persisted), and only then sends the messages; messages of later outputs are sent after
    /// them.
    #[must_use]
    pub fn output(&mut self) -> Output {
        self.output.records_written = self.records_written;
        std::mem::take(&mut self.output)
    }

    /// Reports that the records of an output are synced. `position` is the value that
    /// [`last_position`](Raft::last_position) returned when the output was taken.
    pub fn persisted(&mut self, now_s: f64, position: LogPosition) {
        if self.log.position_at(position.index) == Some(position) {
            self.persisted_index = self.persisted_index.max(position.index);
        }
        self.advance_commit(now_s);
    }

    /// Returns the next committed entry or snapshot, in order and each once. `None` if there is none at present.
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

    /// Compacts the log: replaces the entries up to `index` by `state`, a snapshot of the host's state after them
    /// (Raft, 7). Has no effect unless `next_committed` has returned the entry at `index`, or if a snapshot covers it
    /// already.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.applied_index && self.log.compact(index, state) {
            self.rewrite();
        }
    }
}
