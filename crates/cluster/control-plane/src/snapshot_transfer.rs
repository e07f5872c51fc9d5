//! The whole records on their way to a process that lacks them: pieces of an image, in order, from one source.

use crate::checksum::ImageChecksum;
use crate::effects::Effects;
use crate::records::Records;
use crate::timing::{RESEND_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{ControlMessage, FetchSnapshot, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{NodeId, Term, Time};

/// The pause between requests doubles so many times: a piece may take longer than the first one on a slow link.
const MAX_DOUBLINGS: u32 = 2;

/// Pieces collected so far.
#[derive(Debug)]
pub(crate) struct Collection {
    term: Term,
    pub source: NodeId,
    /// An image of an older state is of no use.
    oldest: RecordsPosition,
    position: RecordsPosition,
    index: u32,
    records: Records,
    checksum: ImageChecksum,
    asked_at: Time,
    /// How often the next piece was asked for again.
    repeats: u32,
    /// When the last piece was taken, or the source first asked.
    progressed_at: Time,
}

impl Collection {
    /// Asks for the first piece.
    pub(crate) fn start(
        now: Time,
        term: Term,
        source: NodeId,
        oldest: RecordsPosition,
        effects: &mut Effects,
    ) -> Collection {
        let collection = Collection {
            term,
            source,
            oldest,
            position: RecordsPosition::default(),
            index: 0,
            records: Records::default(),
            checksum: ImageChecksum::default(),
            asked_at: now,
            repeats: 0,
            progressed_at: now,
        };
        collection.send(effects);
        collection
    }

    /// Whether the source has given nothing for long.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        now >= self.progressed_at.plus_millis(SOURCE_SILENT_MS)
    }

    /// Asks another source for the rest. Images of one state are cut in the same way everywhere.
    pub(crate) fn turn_to(&mut self, now: Time, source: NodeId, effects: &mut Effects) {
        self.source = source;
        self.progressed_at = now;
        self.ask(now, effects);
    }

    /// When the request is repeated.
    pub(crate) fn next_wake(&self) -> Time {
        self.asked_at
            .plus_millis(RESEND_MS << self.repeats.min(MAX_DOUBLINGS))
    }

    /// Repeats the request where no piece came.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) {
        if now >= self.next_wake() {
            self.asked_at = now;
            self.repeats += 1;
            self.send(effects);
        }
    }

    /// Takes a piece; everything and its state once it was the last.
    pub(crate) fn take(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) -> Option<(RecordsPosition, Records)> {
        if from != self.source || chunk.term != self.term || chunk.position < self.oldest {
            return None;
        }
        if chunk.index == 0 && chunk.position > self.position {
            self.begin(chunk.position);
        }
        if chunk.position != self.position || chunk.index != self.index {
            return None;
        }
        self.checksum.update(&chunk.entries);
        if chunk.checksum
            != self
                .checksum
                .of_piece(chunk.position, chunk.index, chunk.last)
        {
            log::warn!(
                "piece {} of {:?} from {from} is torn; the transfer begins again",
                chunk.index,
                chunk.position
            );
            // The first piece is asked for after the usual pause.
            self.begin(RecordsPosition::default());
            return None;
        }
        self.records.insert_all(chunk.entries);
        self.index += 1;
        self.progressed_at = now;
        if chunk.last {
            return Some((self.position, std::mem::take(&mut self.records)));
        }
        self.ask(now, effects);
        None
    }

    fn begin(&mut self, position: RecordsPosition) {
        self.position = position;
        self.index = 0;
        self.records = Records::default();
        self.checksum = ImageChecksum::default();
    }

    fn ask(&mut self, now: Time, effects: &mut Effects) {
        self.asked_at = now;
        self.repeats = 0;
        self.send(effects);
    }

    fn send(&self, effects: &mut Effects) {
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
