//! A leader's part of the transfer of a snapshot.

use super::progress::{PackedSnapshot, Progress};
use super::Raft;
use crate::entry::{Mark, Snapshot, Voter};
use crate::message::{MessageBody, SnapshotPart};
use std::rc::Rc;

/// Bytes of one part.
const PART_BYTES: usize = 32 << 10;

impl Raft {
    /// Sends the next part, unless an answer is awaited or nothing is left for catching up.
    pub(super) fn send_snapshot_part(&mut self, now: f64, who: u64) {
        let retry_s = self.retry_s();
        let Some(state) = self.leader_state() else {
            return;
        };
        let budget_left = state.catch_up_left > 0;
        let Some(progress) = state.followers.get_mut(&who) else {
            return;
        };
        if progress.awaits_reply(now, retry_s) || !budget_left || progress.disk == 0 {
            return;
        }
        progress.pending_since = Some(now);
        let offset = progress.snapshot_offset;
        if let Some(part) = self.snapshot_part(offset) {
            self.send(who, MessageBody::InstallSnapshot(part));
        }
    }

    fn snapshot_part(&mut self, offset: u64) -> Option<SnapshotPart> {
        let PackedSnapshot { mark, bytes, sum } = self.packed_snapshot()?;
        let size = bytes.len() as u64;
        let offset = offset.min(size);
        let rest = &bytes[offset as usize..];
        let part = rest[..rest.len().min(PART_BYTES)].to_vec();
        let state = self.leader_state()?;
        state.catch_up_left = state.catch_up_left.saturating_sub(part.len());
        Some(SnapshotPart {
            mark,
            size,
            sum,
            offset,
            bytes: part,
        })
    }

    /// The current snapshot, serialized once.
    fn packed_snapshot(&mut self) -> Option<PackedSnapshot> {
        let snapshot = self.log.snapshot.clone();
        let state = self.leader_state()?;
        if state
            .packed
            .as_ref()
            .is_none_or(|packed| packed.mark != snapshot.mark)
        {
            let bytes = postcard::to_allocvec(&*snapshot).unwrap_or_default();
            let sum = Snapshot::sum(&bytes);
            state.packed = Some(PackedSnapshot {
                mark: snapshot.mark,
                bytes: Rc::new(bytes),
                sum,
            });
        }
        state.packed.clone()
    }

    /// A follower says how much of a snapshot it has.
    pub(super) fn take_snapshot_reply(&mut self, now: f64, from: Voter, mark: Mark, offset: u64) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let current = state.packed.as_ref().filter(|packed| packed.mark == mark);
        let size = current.map(|packed| packed.bytes.len() as u64);
        let progress = state.followers.get_mut(&from.who);
        let Some(progress) = progress.filter(|progress| progress.disk == from.disk) else {
            return;
        };
        let awaited = progress.take_reply(now);
        note_snapshot_progress(progress, mark, offset, size);
        if awaited {
            self.send_more(now, from.who);
        }
    }
}

/// `size`: of the snapshot that is being sent, if it is this one still.
fn note_snapshot_progress(progress: &mut Progress, mark: Mark, offset: u64, size: Option<u64>) {
    match size {
        Some(size) if offset >= size => {
            progress.snapshot_offset = 0;
            progress.matched = progress.matched.max(mark.index);
            progress.next = progress.next.max(mark.index + 1);
        }
        Some(_) => progress.snapshot_offset = offset,
        None => progress.snapshot_offset = 0,
    }
}
