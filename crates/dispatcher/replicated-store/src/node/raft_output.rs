//! Processes the output of the replicated log: applies committed entries to the state machine, and prepares records for
//! the disk and messages for the links.

use rand::Rng;

use sagetrail_raft::{
    Committed, Entry, EntryPayload, LogPosition, OutboundMessage, Output, Raft, RaftConfig,
};

use super::frames::FrameBody;
use super::{Batch, Node, OutboundFrame};
use crate::committed_state::{CommittedState, Proposal};
use crate::journal::{encode_header, encode_record};

/// Number of entries after which the log is compacted into a snapshot, which bounds the entries that a restart replays.
const COMPACT_ENTRIES: u64 = 256;

impl Node {
    /// Applies the entries that the log has committed, and queues the records and messages that it has produced.
    pub(super) fn process_log(&mut self) {
        self.apply_committed();
        let output = self.raft.output();
        if output.is_empty() || self.is_disk_failed {
            return;
        }
        let batch = self.batch(output);
        self.batches.push_back(batch);
    }

    fn apply_committed(&mut self) {
        while let Some(committed) = self.raft.next_committed() {
            self.changed = true;
            if std::mem::take(&mut self.is_state_outdated) {
                self.committed = CommittedState::default();
            }
            match committed {
                Committed::Entry(entry) => self.apply_entry(&entry),
                Committed::Snapshot(snapshot) => {
                    self.applied_index = snapshot.position.index;
                    self.committed = CommittedState::decode(&snapshot.state).unwrap_or_default();
                }
            }
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        self.applied_index = entry.position.index;
        if let EntryPayload::Command(command) = &entry.payload {
            if let Ok(proposal) = postcard::from_bytes::<Proposal>(command) {
                self.committed.apply(self.applied_index, proposal);
            }
        }
        if self.applied_index.is_multiple_of(COMPACT_ENTRIES) {
            let state = self.committed.encode();
            self.raft.compact(self.applied_index, state);
        }
    }

    fn batch(&mut self, output: Output) -> Batch {
        let mut bytes = Vec::new();
        if output.rewrite {
            let written_before = output.records_written - output.records.len() as u64;
            bytes = encode_header(self.fleet_checksum, self.member, self.disk, written_before);
        }
        for record in &output.records {
            bytes.extend(encode_record(record));
        }
        let mut frames = Vec::new();
        for OutboundMessage { to, message } in output.messages {
            let bytes = self.encode_frame(&FrameBody::Log(message));
            frames.push(OutboundFrame { to, bytes });
        }
        Batch {
            rewrite: output.rewrite,
            bytes,
            frames,
            position: self.raft.last_position(),
        }
    }

    /// Returns the next batch for the disk. The host writes and syncs the batches in order, calls
    /// [`persisted`](Node::persisted) for each, and only then sends its frames.
    pub fn next_batch(&mut self) -> Option<Batch> {
        self.batches.pop_front()
    }

    /// Reports that a batch is synced. `position` is the position in that batch.
    pub fn persisted(&mut self, now_s: f64, position: LogPosition) {
        self.raft.persisted(now_s, position);
        self.process_log();
    }

    /// Reports that the disk failed. This process then acknowledges nothing in the log, but continues to apply the
    /// entries that the other members commit.
    pub fn fail_disk(&mut self) {
        self.is_disk_failed = true;
        self.batches.clear();
    }

    /// Restarts the log after a fault, with a blank disk that has a new identifier. The committed state stays in use
    /// until the new log delivers its first entry or snapshot.
    pub fn restart_blank(&mut self, now_s: f64, disk: u64) {
        let config = RaftConfig {
            id: self.member,
            disk,
            members: self.members.clone(),
            initial_voters: self.initial_voters.clone(),
            timing: self.timing,
            seed: self.random.random(),
        };
        self.raft = Raft::open(config, Vec::new(), 0, now_s);
        self.disk = disk;
        self.is_state_outdated = true;
        self.batches.clear();
        self.process_log();
    }
}
