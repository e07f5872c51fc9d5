//! What goes to the disk, and what has been committed.

use super::Raft;
use crate::disk_record::{DiskRecord, DiskWatermark};
use crate::entry::Entry;
use crate::log_position::LogPosition;
use crate::output::{Committed, Output};

impl Raft {
    pub(super) fn write(&mut self, record: DiskRecord) {
        self.write_unsaved_watermarks();
        self.output.records.push(record);
        self.records_written += 1;
    }

    /// What is known of others' disks goes along with what is written anyhow.
    fn write_unsaved_watermarks(&mut self) {
        if self.unsaved_watermarks.is_empty() {
            return;
        }
        let unsaved = std::mem::take(&mut self.unsaved_watermarks);
        let disks = unsaved
            .into_iter()
            .map(|(disk, records_written)| DiskWatermark {
                disk,
                records_written,
            })
            .collect();
        self.output.records.push(DiskRecord::Watermarks(disks));
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
        let known = self.known_watermarks.iter();
        let disks = known
            .map(|(&disk, &records_written)| DiskWatermark {
                disk,
                records_written,
            })
            .collect();
        records.push(DiskRecord::Watermarks(disks));
        self.unsaved_watermarks.clear();
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
        self.output.records_written = self.records_written;
        std::mem::take(&mut self.output)
    }

    /// The records of an `output` are synced; `mark`: the last entry among them.
    pub fn persisted(&mut self, now: f64, position: LogPosition) {
        if self.log.position_at(position.index) == Some(position) {
            self.persisted_index = self.persisted_index.max(position.index);
        }
        self.advance_commit(now);
    }

    /// The next that has been committed, in order.
    pub fn next_committed(&mut self) -> Option<Committed> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let base = self.log.snapshot_position().index;
        if self.applied_index < base {
            self.applied_index = base;
            return Some(Committed::Snapshot(self.log.snapshot.clone()));
        }
        let entry = self.log.entry(self.applied_index + 1)?.clone();
        self.applied_index += 1;
        Some(Committed::Entry(entry))
    }

    /// Puts what the host made of all up to `index`, delivered already, in place of those entries.
    pub fn compact(&mut self, index: u64, state: Vec<u8>) {
        if index <= self.applied_index && self.log.compact(index, state) {
            self.rewrite();
        }
    }
}
