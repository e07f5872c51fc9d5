//! The transfer of a snapshot to a replica that lacks the records. The replica requests the chunks in order, from one
//! source at a time.

use crate::effects::Effects;
use crate::records::Records;
use crate::snapshot_checksum::SnapshotChecksum;
use crate::timing::{RESEND_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{ControlMessage, FetchSnapshot, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{NodeId, Term, Time};

/// The maximum number of times that the interval between requests for a chunk doubles. On a slow link a chunk may take
/// longer than the first interval.
const MAX_DOUBLINGS: u32 = 2;

/// The complete records of a snapshot that was transferred.
#[derive(Debug)]
pub(crate) struct TransferredSnapshot {
    /// The position of the newest batch in the snapshot.
    pub position: RecordsPosition,
    /// All records of the snapshot.
    pub records: Records,
}

/// A transfer in progress, at the replica that fetches the snapshot.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    /// The term for which the snapshot is fetched.
    term: Term,
    /// The process from which chunks are requested.
    pub source: NodeId,
    /// The oldest position at which a snapshot is useful.
    oldest: RecordsPosition,
    /// The position of the snapshot that is being transferred, or the default before the first chunk.
    position: RecordsPosition,
    /// The index of the next chunk to request.
    index: u32,
    /// The entries of all chunks before `index`.
    records: Records,
    /// The checksum over these entries.
    checksum: SnapshotChecksum,
    /// When the next chunk was last requested.
    requested_at: Time,
    /// The number of times that the request for the next chunk was sent again.
    repeats: u32,
    /// When the last chunk arrived, or when the current source was first asked.
    progressed_at: Time,
}

impl SnapshotTransfer {
    /// Starts a transfer and requests the first chunk.
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

    /// Returns whether the source has sent no usable chunk for `SOURCE_SILENT_MS`.
    pub(crate) fn source_is_silent(&self, now: Time) -> bool {
        now >= self.progressed_at.plus_millis(SOURCE_SILENT_MS)
    }

    /// Requests the remaining chunks from another source. All processes divide the snapshot of a position into the same
    /// chunks.
    pub(crate) fn change_source(&mut self, now: Time, source: NodeId, effects: &mut Effects) {
        self.source = source;
        self.progressed_at = now;
        self.request_next(now, effects);
    }

    /// Returns when the request is sent again.
    pub(crate) fn next_wake(&self) -> Time {
        self.requested_at
            .plus_millis(RESEND_MS << self.repeats.min(MAX_DOUBLINGS))
    }

    /// Sends the request again if no chunk has arrived in time.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if now >= self.next_wake() {
            self.requested_at = now;
            self.repeats += 1;
            self.send_request(effects);
        }
    }

    /// Handles a chunk. Returns the complete snapshot after the last chunk.
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
                "snapshot chunk has a wrong checksum, the transfer starts again: source={from} chunk={} position={:?}",
                chunk.index,
                chunk.position
            );
            // The first chunk is requested again after the usual interval.
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

    /// Adds the chunk's entries to the checksum and returns whether the result equals the chunk's checksum.
    fn checksum_matches(&mut self, chunk: &SnapshotChunk) -> bool {
        self.checksum.update(&chunk.entries);
        let checksum = self
            .checksum
            .of_chunk(chunk.position, chunk.index, chunk.last);
        chunk.checksum == checksum
    }

    /// Discards the received chunks and expects the first chunk of the snapshot at `position`.
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
        effects.send_control(self.source, ControlMessage::FetchSnapshot(fetch));
    }
}
