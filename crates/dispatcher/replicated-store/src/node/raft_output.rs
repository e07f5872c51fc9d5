//! The output of the replicated log: committed entries to the state machine, records to the disk, messages to the
//! links.

use rand::Rng;

use sagetrail_raft::{
    Committed, Entry, EntryPayload, LogPosition, OutboundMessage, Output, Raft, RaftConfig,
};

use super::frames::FrameBody;
use super::{Batch, Node, OutboundFrame};
use crate::committed_state::{CommittedState, Proposal};
use crate::journal::{encode_header, encode_record};

/// The log is compacted into a snapshot after this many entries: a restart replays fewer.
const COMPACT_ENTRIES: u64 = 256;

impl Node {
    /// Applies what the log has committed, and takes what it has to write and send.
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

    /// The next batch for the disk. The host writes and syncs the batches in order, calls [`persisted`](Node::persisted)
    /// for each, and sends its frames only then.
    pub fn next_batch(&mut self) -> Option<Batch> {
        self.batches.pop_front()
    }

    /// A batch is synced; `position` is the batch's.
    pub fn persisted(&mut self, now: f64, position: LogPosition) {
        self.raft.persisted(now, position);
        self.process_log();
    }

    /// The disk failed: this process acknowledges nothing any more. It goes on applying what others commit.
    pub fn fail_disk(&mut self) {
        self.disk_failed = true;
        self.batches.clear();
    }

    /// Starts the log again with a blank disk of another identity, after a fault. The committed state stays in use
    /// until the first entry or snapshot of the new log.
    pub fn restart_blank(&mut self, now: f64, disk: u64) {
        let config = RaftConfig {
            id: self.member,
            disk,
            members: self.members.clone(),
            initial_voters: self.initial_voters.clone(),
            timing: self.timing,
            seed: self.random.random(),
        };
        self.raft = Raft::open(config, Vec::new(), 0, now);
        self.disk = disk;
        self.is_state_outdated = true;
        self.batches.clear();
        self.process_log();
    }
}
