//! The whole records on their way to a process that lacks them: pieces of an image, in order, from one source.
use crate::checksum::ImageChecksum;
use crate::effects::Effects;
use crate::records::Records;
use crate::timing::{RESEND_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{ControlMessage, FetchSnapshot, RecordsTag, SnapshotChunk};
use sagetrail_protocol::{Epoch, NodeId, Time};

/// The pause between requests doubles so many times: a piece may take longer than the first one on a slow link.
const MAX_DOUBLINGS: u32 = 2;

/// Pieces collected so far.
#[derive(Debug)]
pub struct Collection {
    epoch: Epoch,
    pub source: NodeId,
    /// An image of an older state is of no use.
    oldest: RecordsTag,
    tag: RecordsTag,
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
    pub fn start(
        now: Time,
        epoch: Epoch,
        source: NodeId,
        oldest: RecordsTag,
        effects: &mut Effects,
    ) -> Collection {
        let collection = Collection {
            epoch,
            source,
            oldest,
            tag: RecordsTag::default(),
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
    pub fn is_silent(&self, now: Time) -> bool {
        now >= self.progressed_at.plus_millis(SOURCE_SILENT_MS)
    }

    /// Asks another source for the rest. Images of one state are cut in the same way everywhere.
    pub fn turn_to(&mut self, now: Time, source: NodeId, effects: &mut Effects) {
        self.source = source;
        self.progressed_at = now;
        self.ask(now, effects);
    }

    /// When the request is repeated.
    pub fn next_wake(&self) -> Time {
        self.asked_at
            .plus_millis(RESEND_MS << self.repeats.min(MAX_DOUBLINGS))
    }

    /// Repeats the request where no piece came.
    pub fn tick(&mut self, now: Time, effects: &mut Effects) {
        if now >= self.next_wake() {
            self.asked_at = now;
            self.repeats += 1;
            self.send(effects);
        }
    }

    /// Takes a piece; everything and its state once it was the last.
    pub fn take(
        &mut self,
        now: Time,
        from: NodeId,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) -> Option<(RecordsTag, Records)> {
        if from != self.source || chunk.epoch != self.epoch || chunk.tag < self.oldest {
            return None;
        }
        if chunk.index == 0 && chunk.tag > self.tag {
            self.begin(chunk.tag);
        }
        if chunk.tag != self.tag || chunk.index != self.index {
            return None;
        }
        self.checksum.update(&chunk.entries);
        if chunk.checksum != self.checksum.of_piece(chunk.tag, chunk.index, chunk.last) {
            log::warn!(
                "piece {} of {:?} from {from} is torn; the transfer begins again",
                chunk.index,
                chunk.tag
            );
            // The first piece is asked for after the usual pause.
            self.begin(RecordsTag::default());
            return None;
        }
        self.records.insert_all(chunk.entries);
        self.index += 1;
        self.progressed_at = now;
        if chunk.last {
            return Some((self.tag, std::mem::take(&mut self.records)));
        }
        self.ask(now, effects);
        None
    }

    fn begin(&mut self, tag: RecordsTag) {
        self.tag = tag;
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
        let tag = if self.index == 0 {
            self.oldest
        } else {
            self.tag
        };
        let fetch = FetchSnapshot {
            epoch: self.epoch,
            tag,
            index: self.index,
        };
        effects.control(self.source, ControlMessage::FetchSnapshot(fetch));
    }
}
