//! A follower's part of the transfer of a snapshot.

use super::Raft;
use crate::entry::{Mark, Snapshot};
use crate::message::{MessageBody, SnapshotPart};

/// A larger snapshot is refused: it holds settings and operators' words, not work.
const MAX_SNAPSHOT_BYTES: u64 = 8 << 20;

/// A snapshot on its way here.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    mark: Mark,
    size: u64,
    sum: u64,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(part: &SnapshotPart) -> IncomingSnapshot {
        IncomingSnapshot {
            mark: part.mark,
            size: part.size,
            sum: part.sum,
            bytes: Vec::new(),
        }
    }

    fn is_of(&self, part: &SnapshotPart) -> bool {
        (self.mark, self.size, self.sum) == (part.mark, part.size, part.sum)
    }

    fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// How much has come, and of how much.
    pub(super) fn progress(&self) -> (u64, u64) {
        (self.received(), self.size)
    }

    /// The whole, if it arrived unaltered.
    fn decode(&self) -> Option<Snapshot> {
        if Snapshot::sum(&self.bytes) != self.sum {
            return None;
        }
        let snapshot: Snapshot = postcard::from_bytes(&self.bytes).ok()?;
        (snapshot.mark == self.mark).then_some(snapshot)
    }
}

impl Raft {
    /// Takes a part of a leader's snapshot. False for one that no leader can have sent.
    pub(super) fn take_snapshot_part(&mut self, from: u64, part: SnapshotPart) -> bool {
        let SnapshotPart { mark, size, .. } = part;
        let end = part.offset.saturating_add(part.bytes.len() as u64);
        if size > MAX_SNAPSHOT_BYTES || end > size {
            return false;
        }
        if mark.index <= self.commit {
            self.incoming = None;
            self.acknowledge_snapshot(from, mark, size);
            return true;
        }
        let incoming = self.extend_incoming(part);
        let received = incoming.received();
        if received < size {
            self.incoming = Some(incoming);
            self.acknowledge_snapshot(from, mark, received);
            return true;
        }
        let Some(snapshot) = incoming.decode() else {
            // Altered on the way: from the start.
            self.acknowledge_snapshot(from, mark, 0);
            return false;
        };
        self.install(snapshot);
        self.acknowledge_snapshot(from, mark, size);
        true
    }

    /// The same bytes from another sender go on where the last one stopped.
    fn extend_incoming(&mut self, part: SnapshotPart) -> IncomingSnapshot {
        let current = self
            .incoming
            .take()
            .filter(|incoming| incoming.is_of(&part));
        let mut incoming = current.unwrap_or_else(|| IncomingSnapshot::new(&part));
        if incoming.received() == part.offset {
            incoming.bytes.extend(part.bytes);
        }
        incoming
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.mark.index;
        self.log.install(snapshot);
        self.persisted_index = self.persisted_index.min(self.log.last().index);
        self.rewrite();
    }

    fn acknowledge_snapshot(&mut self, to: u64, mark: Mark, offset: u64) {
        self.send(to, MessageBody::InstallSnapshotReply { mark, offset });
    }
}
