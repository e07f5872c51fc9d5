//! The leader's side of a snapshot transfer (Raft, 7).

use std::rc::Rc;

use super::progress::Progress;
use super::Raft;
use crate::log_position::LogPosition;
use crate::message::{MessageBody, SnapshotChunk};
use crate::snapshot::Snapshot;
use crate::voter::Voter;

/// Largest size of the data in one chunk, bytes.
const CHUNK_BYTES: usize = 32 << 10;

/// A serialized snapshot. It is serialized once and sent to all followers that need it.
#[derive(Clone, Debug)]
pub(super) struct SerializedSnapshot {
    position: LogPosition,
    bytes: Rc<Vec<u8>>,
    checksum: u64,
}

impl SerializedSnapshot {
    fn new(snapshot: &Snapshot) -> SerializedSnapshot {
        // Serializing to a vector fails only for sequences of unknown length, and a snapshot contains none.
        let bytes = postcard::to_allocvec(snapshot).unwrap_or_default();
        SerializedSnapshot {
            position: snapshot.position,
            checksum: Snapshot::checksum(&bytes),
            bytes: Rc::new(bytes),
        }
    }

    fn total_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    fn chunk(&self, offset: u64) -> SnapshotChunk {
        let offset = offset.min(self.total_bytes());
        let rest = &self.bytes[offset as usize..];
        SnapshotChunk {
            position: self.position,
            total_bytes: self.total_bytes(),
            checksum: self.checksum,
            offset,
            data: rest[..rest.len().min(CHUNK_BYTES)].to_vec(),
        }
    }
}

impl Raft {
    /// Sends a follower its next chunk, unless a reply is outstanding, the catch-up budget is used up, or the follower
    /// has not replied yet in this term.
    pub(super) fn send_snapshot_chunk(&mut self, now_s: f64, member: u64) {
        let retry_s = self.retry_s();
        let Some(state) = self.leader_state() else {
            return;
        };
        let has_budget = state.catch_up_bytes_left > 0;
        let Some(progress) = state.followers.get_mut(&member) else {
            return;
        };
        let has_answered = progress.disk != 0;
        if progress.awaits_reply(now_s, retry_s) || !has_budget || !has_answered {
            return;
        }
        progress.pending_since_s = Some(now_s);
        let offset = progress.snapshot_offset_bytes;
        if let Some(chunk) = self.next_chunk(offset) {
            self.send(member, MessageBody::InstallSnapshot(chunk));
        }
    }

    fn next_chunk(&mut self, offset: u64) -> Option<SnapshotChunk> {
        let chunk = self.serialized_snapshot()?.chunk(offset);
        let state = self.leader_state()?;
        state.catch_up_bytes_left = state.catch_up_bytes_left.saturating_sub(chunk.data.len());
        Some(chunk)
    }

    /// The current snapshot in its serialized form. It is serialized when it is first sent.
    fn serialized_snapshot(&mut self) -> Option<SerializedSnapshot> {
        let snapshot = self.log.snapshot.clone();
        let state = self.leader_state()?;
        let is_current = state
            .serialized_snapshot
            .as_ref()
            .is_some_and(|serialized| serialized.position == snapshot.position);
        if !is_current {
            state.serialized_snapshot = Some(SerializedSnapshot::new(&snapshot));
        }
        state.serialized_snapshot.clone()
    }

    /// Processes a follower's acknowledgement of a chunk.
    pub(super) fn receive_snapshot_reply(
        &mut self,
        now_s: f64,
        from: Voter,
        position: LogPosition,
        offset: u64,
    ) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let current = state
            .serialized_snapshot
            .as_ref()
            .filter(|serialized| serialized.position == position);
        let total_bytes = current.map(SerializedSnapshot::total_bytes);
        let progress = state.followers.get_mut(&from.member);
        let Some(progress) = progress.filter(|progress| progress.disk == from.disk) else {
            return;
        };
        let was_reply_pending = progress.record_reply(now_s);
        record_offset(progress, position, offset, total_bytes);
        if was_reply_pending {
            self.continue_catch_up(now_s, from.member);
        }
    }
}

/// Records the number of bytes of a snapshot that the follower has. `total_bytes` is the size of the snapshot, or
/// `None` if another snapshot is now being sent; the follower then restarts with the current snapshot.
fn record_offset(
    progress: &mut Progress,
    position: LogPosition,
    offset: u64,
    total_bytes: Option<u64>,
) {
    match total_bytes {
        Some(total_bytes) if offset >= total_bytes => {
            progress.snapshot_offset_bytes = 0;
            progress.match_index = progress.match_index.max(position.index);
            progress.next_index = progress.next_index.max(position.index + 1);
        }
        Some(_) => progress.snapshot_offset_bytes = offset,
        None => progress.snapshot_offset_bytes = 0,
    }
}
