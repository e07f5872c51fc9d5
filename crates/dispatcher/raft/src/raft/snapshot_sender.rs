//! A leader's part of the transfer of a snapshot.

use super::progress::{Progress, SerializedSnapshot};
use super::Raft;
use crate::log_position::LogPosition;
use crate::message::{MessageBody, SnapshotChunk};
use crate::snapshot::Snapshot;
use crate::voter::Voter;
use std::rc::Rc;

/// Bytes of one part.
const CHUNK_BYTES: usize = 32 << 10;

impl Raft {
    /// Sends the next part, unless an answer is awaited or nothing is left for catching up.
    pub(super) fn send_snapshot_chunk(&mut self, now: f64, member: u64) {
        let retry_s = self.retry_s();
        let Some(state) = self.leader_state() else {
            return;
        };
        let budget_left = state.catch_up_left > 0;
        let Some(progress) = state.followers.get_mut(&member) else {
            return;
        };
        if progress.awaits_reply(now, retry_s) || !budget_left || progress.disk == 0 {
            return;
        }
        progress.pending_since = Some(now);
        let offset = progress.snapshot_offset;
        if let Some(chunk) = self.snapshot_chunk(offset) {
            self.send(member, MessageBody::InstallSnapshot(chunk));
        }
    }

    fn snapshot_chunk(&mut self, offset: u64) -> Option<SnapshotChunk> {
        let SerializedSnapshot {
            position,
            bytes,
            checksum,
        } = self.serialized_snapshot()?;
        let size = bytes.len() as u64;
        let offset = offset.min(size);
        let rest = &bytes[offset as usize..];
        let chunk = rest[..rest.len().min(CHUNK_BYTES)].to_vec();
        let state = self.leader_state()?;
        state.catch_up_left = state.catch_up_left.saturating_sub(chunk.len());
        Some(SnapshotChunk {
            position,
            total_bytes: size,
            checksum,
            offset,
            data: chunk,
        })
    }

    /// The current snapshot, serialized once.
    fn serialized_snapshot(&mut self) -> Option<SerializedSnapshot> {
        let snapshot = self.log.snapshot.clone();
        let state = self.leader_state()?;
        if state
            .serialized
            .as_ref()
            .is_none_or(|serialized| serialized.position != snapshot.position)
        {
            let bytes = postcard::to_allocvec(&*snapshot).unwrap_or_default();
            let checksum = Snapshot::checksum(&bytes);
            state.serialized = Some(SerializedSnapshot {
                position: snapshot.position,
                bytes: Rc::new(bytes),
                checksum,
            });
        }
        state.serialized.clone()
    }

    /// A follower says how much of a snapshot it has.
    pub(super) fn receive_snapshot_reply(
        &mut self,
        now: f64,
        from: Voter,
        position: LogPosition,
        offset: u64,
    ) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let current = state
            .serialized
            .as_ref()
            .filter(|serialized| serialized.position == position);
        let size = current.map(|serialized| serialized.bytes.len() as u64);
        let progress = state.followers.get_mut(&from.member);
        let Some(progress) = progress.filter(|progress| progress.disk == from.disk) else {
            return;
        };
        let awaited = progress.record_reply(now);
        note_snapshot_progress(progress, position, offset, size);
        if awaited {
            self.send_more(now, from.member);
        }
    }
}

/// `size`: of the snapshot that is being sent, if it is this one still.
fn note_snapshot_progress(
    progress: &mut Progress,
    position: LogPosition,
    offset: u64,
    size: Option<u64>,
) {
    match size {
        Some(size) if offset >= size => {
            progress.snapshot_offset = 0;
            progress.match_index = progress.match_index.max(position.index);
            progress.next_index = progress.next_index.max(position.index + 1);
        }
        Some(_) => progress.snapshot_offset = offset,
        None => progress.snapshot_offset = 0,
    }
}
