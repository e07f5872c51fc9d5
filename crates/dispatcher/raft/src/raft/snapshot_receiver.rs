//! The follower's side of a snapshot transfer (Raft, 7).

use super::Raft;
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::message::{MessageBody, SnapshotChunk};
use crate::output::SnapshotProgress;
use crate::snapshot::Snapshot;

/// Size of the largest snapshot that is accepted, bytes. A snapshot holds settings and operators' commands, but no
/// work items.
const MAX_SNAPSHOT_BYTES: u64 = 8 << 20;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    position: LogPosition,
    total_bytes: u64,
    checksum: u64,
    /// The received prefix of the serialized snapshot.
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

    fn includes(&self, chunk: &SnapshotChunk) -> bool {
        (self.position, self.total_bytes, self.checksum)
            == (chunk.position, chunk.total_bytes, chunk.checksum)
    }

    fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Number of bytes received and in total.
    pub(super) fn progress(&self) -> SnapshotProgress {
        SnapshotProgress {
            received_bytes: self.received_bytes(),
            total_bytes: self.total_bytes,
        }
    }

    /// Decodes the complete snapshot. `None` if it does not match its checksum or position.
    fn decode(&self) -> Option<Snapshot> {
        if Snapshot::checksum(&self.bytes) != self.checksum {
            return None;
        }
        let snapshot: Snapshot = postcard::from_bytes(&self.bytes).ok()?;
        (snapshot.position == self.position).then_some(snapshot)
    }
}

impl Raft {
    /// Takes a chunk, and installs the snapshot once it is complete.
    ///
    /// # Errors
    ///
    /// [`RaftError::InvalidSnapshotChunk`] for a chunk out of bounds, or when the complete snapshot does not match its
    /// checksum; the transfer then starts again.
    pub(super) fn install_snapshot_chunk(
        &mut self,
        from: u64,
        chunk: SnapshotChunk,
    ) -> Result<(), RaftError> {
        let position = chunk.position;
        let total_bytes = chunk.total_bytes;
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
        let incoming = self.extend_incoming(chunk);
        let received_bytes = incoming.received_bytes();
        if received_bytes < total_bytes {
            self.incoming_snapshot = Some(incoming);
            self.acknowledge_snapshot(from, position, received_bytes);
            return Ok(());
        }
        let Some(snapshot) = incoming.decode() else {
            self.acknowledge_snapshot(from, position, 0);
            return Err(invalid);
        };
        self.install_snapshot(snapshot);
        self.acknowledge_snapshot(from, position, total_bytes);
        Ok(())
    }

    /// Returns the received part extended by this chunk. If a new leader sends the same bytes, the transfer continues
    /// where the previous leader stopped.
    fn extend_incoming(&mut self, chunk: SnapshotChunk) -> IncomingSnapshot {
        let current = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.includes(&chunk));
        let mut incoming = current.unwrap_or_else(|| IncomingSnapshot::new(&chunk));
        if incoming.received_bytes() == chunk.offset {
            incoming.bytes.extend(chunk.data);
        }
        incoming
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        self.commit_index = snapshot.position.index;
        self.log.install(snapshot);
        self.persisted_index = self.persisted_index.min(self.log.last_position().index);
        self.rewrite();
    }

    fn acknowledge_snapshot(&mut self, to: u64, position: LogPosition, offset: u64) {
        self.send(to, MessageBody::InstallSnapshotReply { position, offset });
    }
}
