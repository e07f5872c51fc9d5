//! The agreed log's output: committed entries to the facts, records to the disk, messages to the links.

use super::frames::Body;
use super::{Batch, Node};
use crate::facts::{Facts, Proposal};
use crate::journal;
use rand::Rng;
use sagetrail_raft::{
    Committed, Entry, EntryPayload, LogPosition, OutboundMessage, Output, Raft, RaftConfig,
};

/// The log is put into a snapshot after so many entries: a restart reads less than that.
const COMPACT_ENTRIES: u64 = 256;

impl Node {
    /// Takes what the log asks for, and what it has committed.
    pub(super) fn process_log(&mut self) {
        self.apply_committed();
        let output = self.raft.output();
        if output.is_empty() || self.disk_failed {
            return;
        }
        let batch = self.batch(output);
        self.batches.push_back(batch);
    }

    fn apply_committed(&mut self) {
        while let Some(committed) = self.raft.next_committed() {
            self.changed = true;
            if std::mem::take(&mut self.facts_outdated) {
                self.facts = Facts::default();
            }
            match committed {
                Committed::Entry(entry) => self.apply_entry(&entry),
                Committed::Snapshot(snapshot) => {
                    self.at = snapshot.position.index;
                    self.facts = Facts::read(&snapshot.state).unwrap_or_default();
                }
            }
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        self.at = entry.position.index;
        if let EntryPayload::Command(command) = &entry.payload {
            if let Ok(proposal) = postcard::from_bytes::<Proposal>(command) {
                self.facts.take(self.at, proposal);
            }
        }
        if self.at.is_multiple_of(COMPACT_ENTRIES) {
            let state = self.facts.write();
            self.raft.compact(self.at, state);
        }
    }

    fn batch(&mut self, output: Output) -> Batch {
        let mut bytes = Vec::new();
        if output.rewrite {
            let written_before = output.records_written - output.records.len() as u64;
            bytes = journal::begin(self.fleet, self.me, self.disk, written_before);
        }
        for record in &output.records {
            bytes.extend(journal::record(record));
        }
        let mut frames = Vec::new();
        for OutboundMessage { to, message } in output.messages {
            frames.push((to, self.frame(&Body::Log(message))));
        }
        Batch {
            rewrite: output.rewrite,
            bytes,
            frames,
            position: self.raft.last_position(),
        }
    }

    /// The next to be written, synced, and only then sent: in order, one after the other.
    pub fn next_batch(&mut self) -> Option<Batch> {
        self.batches.pop_front()
    }

    /// A batch is synced.
    pub fn persisted(&mut self, now: f64, position: LogPosition) {
        self.raft.persisted(now, position);
        self.process_log();
    }

    /// The disk failed: nothing is promised any more by this process. What others agree on is still heard.
    pub fn disk_failed(&mut self) {
        self.disk_failed = true;
        self.batches.clear();
    }

    /// Goes on as a new member: its copy was put aside, and `disk` is another. What was agreed by then holds on until
    /// more is known.
    pub fn restart_blank(&mut self, now: f64, disk: u64) {
        let config = RaftConfig {
            id: self.me,
            disk,
            members: self.members.clone(),
            initial_voters: self.initial_voters.clone(),
            timing: self.timing,
            seed: self.random.random(),
        };
        self.raft = Raft::open(config, Vec::new(), 0, now);
        self.disk = disk;
        self.facts_outdated = true;
        self.batches.clear();
        self.process_log();
    }
}
