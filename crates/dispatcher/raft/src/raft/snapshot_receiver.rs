//! A follower's part of the transfer of a snapshot.

use super::Raft;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{MessageBody, SnapshotChunk};
use crate::output::SnapshotProgress;
use crate::snapshot::Snapshot;

/// A larger snapshot is refused: it holds settings and operators' words, not work.
const MAX_SNAPSHOT_BYTES: u64 = 8 << 20;

/// A snapshot on its way here.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    position: LogPosition,
    total_bytes: u64,
    checksum: u64,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(chunk: &SnapshotChunk) -> IncomingSnapshot {
        IncomingSnapshot {
            position: chunk.position,
            total_bytes: chunk.total_bytes,
            checksum: chunk.checksum,
            bytes: Vec::new(),
        }
    }

    fn is_of(&self, chunk: &SnapshotChunk) -> bool {
        (self.position, self.total_bytes, self.checksum)
            == (chunk.position, chunk.total_bytes, chunk.checksum)
    }

    fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// How much has come, and of how much.
    pub(super) fn progress(&self) -> SnapshotProgress {
        SnapshotProgress {
            received_bytes: self.received(),
            total_bytes: self.total_bytes,
        }
    }

    /// The whole, if it arrived unaltered.
    fn decode(&self) -> Option<Snapshot> {
        if Snapshot::checksum(&self.bytes) != self.checksum {
            return None;
        }
        let snapshot: Snapshot = postcard::from_bytes(&self.bytes).ok()?;
        (snapshot.position == self.position).then_some(snapshot)
    }
}

impl Raft {
    /// Takes a part of a leader's snapshot. False for one that no leader can have sent.
    pub(super) fn install_snapshot_chunk(
        &mut self,
        from: u64,
        chunk: SnapshotChunk,
    ) -> Result<(), RaftError> {
        let SnapshotChunk {
            position,
            total_bytes,
            ..
        } = chunk;
        let invalid = RaftError::InvalidSnapshotChunk {
            index: position.index,
        };
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        if total_bytes > MAX_SNAPSHOT_BYTES || end > total_bytes {
            return Err(invalid);
        }
        if position.index <= self.commit_index {
            self.incoming_snapshot = None;
            self.acknowledge_snapshot(from, position, total_bytes);
            return Ok(());
        }
        let incoming_snapshot = self.extend_incoming(chunk);
        let received = incoming_snapshot.received();
        if received < total_bytes {
            self.incoming_snapshot = Some(incoming_snapshot);
            self.acknowledge_snapshot(from, position, received);
            return Ok(());
        }
        let Some(snapshot) = incoming_snapshot.decode() else {
            // Altered on the way: from the start.
            self.acknowledge_snapshot(from, position, 0);
            return Err(invalid);
        };
        self.install(snapshot);
        self.acknowledge_snapshot(from, position, total_bytes);
        Ok(())
    }

    /// The same bytes from another sender go on where the last one stopped.
    fn extend_incoming(&mut self, chunk: SnapshotChunk) -> IncomingSnapshot {
        let current = self
            .incoming_snapshot
            .take()
            .filter(|incoming_snapshot| incoming_snapshot.is_of(&chunk));
        let mut incoming_snapshot = current.unwrap_or_else(|| IncomingSnapshot::new(&chunk));
        if incoming_snapshot.received() == chunk.offset {
            incoming_snapshot.bytes.extend(chunk.data);
        }
        incoming_snapshot
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit_index = snapshot.position.index;
        self.log.install(snapshot);
        self.persisted_index = self.persisted_index.min(self.log.last_position().index);
        self.rewrite();
    }

    fn acknowledge_snapshot(&mut self, to: u64, position: LogPosition, offset: u64) {
        self.send(to, MessageBody::InstallSnapshotReply { position, offset });
    }
}
