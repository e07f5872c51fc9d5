//! The transfer of a snapshot to a replica that lacks the records: chunks, in order, from one source.

use crate::effects::Effects;
use crate::records::Records;
use crate::snapshot_checksum::SnapshotChecksum;
use crate::timing::{RESEND_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{ControlMessage, FetchSnapshot, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{NodeId, Term, Time};

/// The interval between requests doubles so many times: a chunk may take longer than the first one on a slow link.
const MAX_DOUBLINGS: u32 = 2;

/// The complete records of a snapshot that was transferred.
#[derive(Debug)]
pub(crate) struct TransferredSnapshot {
    /// The newest batch in it.
    pub position: RecordsPosition,
    /// All records.
    pub records: Records,
}

/// A transfer under way, at the replica that fetches.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    term: Term,
    /// The process that is asked for chunks.
    pub source: NodeId,
    /// A snapshot of an older position is of no use.
    oldest: RecordsPosition,
    /// The position of the snapshot whose chunks arrive; the default before the first chunk.
    position: RecordsPosition,
    /// The index of the next chunk.
    index: u32,
    /// The entries of all chunks before `index`.
    records: Records,
    /// Over these entries.
    checksum: SnapshotChecksum,
    requested_at: Time,
    /// How often the request for the next chunk was sent again.
    repeats: u32,
    /// When the last chunk arrived, or the source was first asked.
    progressed_at: Time,
}

impl SnapshotTransfer {
    /// Requests the first chunk.
    pub(crate) fn start(
        now: Time,
        term: Term,
        source: NodeId,
        oldest: RecordsPosition,
        effects: &mut Effects,
    ) -> SnapshotTransfer {
        let transfer = SnapshotTransfer {
            term,
            source,
            oldest,
            position: RecordsPosition::default(),
            index: 0,
            records: Records::default(),
            checksum: SnapshotChecksum::default(),
            requested_at: now,
            repeats: 0,
            progressed_at: now,
        };
        transfer.send_request(effects);
        transfer
    }

    /// Whether the source has sent nothing for `SOURCE_SILENT_MS`.
    pub(crate) fn source_is_silent(&self, now: Time) -> bool {
        now >= self.progressed_at.plus_millis(SOURCE_SILENT_MS)
    }

    /// Requests the rest from another source. Snapshots of one position are cut in the same way everywhere.
    pub(crate) fn change_source(&mut self, now: Time, source: NodeId, effects: &mut Effects) {
        self.source = source;
        self.progressed_at = now;
        self.request_next(now, effects);
    }

    /// When the request is sent again.
    pub(crate) fn next_wake(&self) -> Time {
        self.requested_at
            .plus_millis(RESEND_MS << self.repeats.min(MAX_DOUBLINGS))
    }

    /// Sends the request again where no chunk came.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if now >= self.next_wake() {
            self.requested_at = now;
            self.repeats += 1;
            self.send_request(effects);
        }
    }

    /// A chunk has arrived; gives the complete snapshot after the last one.
    pub(crate) fn on_chunk(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) -> Option<TransferredSnapshot> {
        if from != self.source || chunk.term != self.term || chunk.position < self.oldest {
            return None;
        }
        if chunk.index == 0 && chunk.position > self.position {
            self.restart_at(chunk.position);
        }
        if chunk.position != self.position || chunk.index != self.index {
            return None;
        }
        if !self.checksum_matches(&chunk) {
            log::warn!(
                "snapshot chunk {} of {:?} from {from}: checksum differs; the transfer starts again",
                chunk.index,
                chunk.position
            );
            // The first chunk is requested after the usual interval.
            self.restart_at(RecordsPosition::default());
            return None;
        }
        self.records.insert_all(chunk.entries);
        self.index += 1;
        self.progressed_at = now;
        if chunk.last {
            return Some(TransferredSnapshot {
                position: self.position,
                records: std::mem::take(&mut self.records),
            });
        }
        self.request_next(now, effects);
        None
    }

    /// Adds the chunk's entries to the checksum and compares it with the chunk's.
    fn checksum_matches(&mut self, chunk: &SnapshotChunk) -> bool {
        self.checksum.update(&chunk.entries);
        let checksum = self
            .checksum
            .of_chunk(chunk.position, chunk.index, chunk.last);
        chunk.checksum == checksum
    }

    fn restart_at(&mut self, position: RecordsPosition) {
        self.position = position;
        self.index = 0;
        self.records = Records::default();
        self.checksum = SnapshotChecksum::default();
    }

    fn request_next(&mut self, now: Time, effects: &mut Effects) {
        self.requested_at = now;
        self.repeats = 0;
        self.send_request(effects);
    }

    fn send_request(&self, effects: &mut Effects) {
        let position = if self.index == 0 {
            self.oldest
        } else {
            self.position
        };
        let fetch = FetchSnapshot {
            term: self.term,
            position,
            index: self.index,
        };
        effects.control(self.source, ControlMessage::FetchSnapshot(fetch));
    }
}
