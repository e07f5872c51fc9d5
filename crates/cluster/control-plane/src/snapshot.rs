//! Images of the whole records, cut into pieces, for those who fetch them.

use crate::checksum::ImageChecksum;
use crate::records::Records;
use crate::timing::{SNAPSHOT_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{FetchSnapshot, RecordEntry, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{Blob, List, NodeId, Time};
use std::collections::BTreeMap;

/// At most about so many bytes go into a piece.
const CHUNK_BYTES: usize = 256 << 10;
/// Who begins to fetch is given an image that is at most so old, in milliseconds, where it is new enough for it.
const REUSE_MS: u64 = 300;
/// So many images are kept at once.
const MAX_IMAGES: usize = 3;
/// No further image is made while the others hold so many bytes.
const MAX_BYTES: usize = 32 << 20;

/// A piece of an image.
#[derive(Debug)]
struct Piece {
    entries: List<RecordEntry>,
    checksum: u32,
}

/// The records as they were at one state.
#[derive(Debug)]
struct Image {
    position: RecordsPosition,
    made: Time,
    used: Time,
    bytes: usize,
    pieces: Vec<Piece>,
    /// Who fetches it, and when it last asked.
    fetchers: BTreeMap<NodeId, Time>,
}

/// The images of one process. One that somebody fetches is kept, so that nobody makes another begin again.
#[derive(Debug, Default)]
pub(crate) struct Images {
    images: Vec<Image>,
}

impl Images {
    /// The piece asked for; the first one where the asker holds pieces of an image that is gone. `None` where the
    /// asker has to wait. `position` and `records`: the newest state.
    pub(crate) fn chunk(
        &mut self,
        now: Time,
        from: NodeId,
        fetch: &FetchSnapshot,
        position: RecordsPosition,
        records: &Records,
    ) -> Option<SnapshotChunk> {
        if position < fetch.position {
            return None;
        }
        if self.begun(fetch).is_none()
            && self.recent(now, fetch, position).is_none()
            && self.make_room(now)
        {
            self.images.push(Image::new(now, position, records));
        }
        let place = self.begun(fetch).or_else(|| self.newest(fetch))?;
        self.images[place].chunk(now, from, fetch)
    }

    /// Drops what nobody asked for lately.
    pub(crate) fn tick(&mut self, now: Time) {
        self.images.retain(|image| now < image.expires());
    }

    /// When something is dropped.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.images.iter().map(Image::expires).min()
    }

    /// The image of which the asker holds pieces.
    fn begun(&self, fetch: &FetchSnapshot) -> Option<usize> {
        self.images
            .iter()
            .position(|image| fetch.index > 0 && image.position == fetch.position)
    }

    /// An image that is worth being given to one more.
    fn recent(&self, now: Time, fetch: &FetchSnapshot, position: RecordsPosition) -> Option<usize> {
        let place = self.newest(fetch)?;
        let image = &self.images[place];
        (image.position == position || now < image.made.plus_millis(REUSE_MS)).then_some(place)
    }

    /// The newest image, where it is new enough for the asker.
    fn newest(&self, fetch: &FetchSnapshot) -> Option<usize> {
        let (place, image) = self
            .images
            .iter()
            .enumerate()
            .max_by_key(|(_, image)| image.position)?;
        (image.position >= fetch.position).then_some(place)
    }

    /// Drops the oldest images that nobody fetches, as far as needed; false where there is no room.
    fn make_room(&mut self, now: Time) -> bool {
        while !self.has_room() {
            let Some(place) = self.images.iter().position(|image| !image.is_fetched(now)) else {
                return false;
            };
            self.images.remove(place);
        }
        true
    }

    fn has_room(&self) -> bool {
        let bytes: usize = self.images.iter().map(|image| image.bytes).sum();
        self.images.len() < MAX_IMAGES && bytes < MAX_BYTES
    }
}

impl Image {
    fn new(now: Time, position: RecordsPosition, records: &Records) -> Image {
        let bytes = records
            .0
            .iter()
            .map(|(key, value)| key.len() + value.len())
            .sum();
        let mut checksum = ImageChecksum::default();
        let cut = cut(records);
        let last = cut.len() - 1;
        let piece = |(index, entries): (usize, Vec<RecordEntry>)| {
            checksum.update(&entries);
            let checksum = checksum.of_piece(position, index as u32, index == last);
            Piece {
                entries: List(entries),
                checksum,
            }
        };
        let pieces = cut.into_iter().enumerate().map(piece).collect();
        Image {
            position,
            made: now,
            used: now,
            bytes,
            pieces,
            fetchers: BTreeMap::new(),
        }
    }

    fn expires(&self) -> Time {
        self.used.plus_millis(SNAPSHOT_MS)
    }

    fn is_fetched(&self, now: Time) -> bool {
        self.fetchers
            .values()
            .any(|parse_request| now < parse_request.plus_millis(SOURCE_SILENT_MS))
    }

    fn chunk(&mut self, now: Time, from: NodeId, fetch: &FetchSnapshot) -> Option<SnapshotChunk> {
        let index = if fetch.position == self.position {
            fetch.index
        } else {
            0
        };
        let Piece { entries, checksum } = self.pieces.get(index as usize)?;
        let (entries, checksum) = (entries.clone(), *checksum);
        let last = index as usize + 1 == self.pieces.len();
        self.used = now;
        self.fetchers.insert(from, now);
        if last {
            self.fetchers.remove(&from);
        }
        Some(SnapshotChunk {
            term: fetch.term,
            position: self.position,
            index,
            last,
            checksum,
            entries,
        })
    }
}

/// The records in pieces, of which there is at least one. Equal records are cut alike.
fn cut(records: &Records) -> Vec<Vec<RecordEntry>> {
    let mut pieces = Vec::new();
    let mut piece = Vec::new();
    let mut bytes = 0;
    for (key, value) in &records.0 {
        let entry_bytes = key.len() + value.len();
        if bytes > 0 && bytes + entry_bytes > CHUNK_BYTES {
            pieces.push(std::mem::take(&mut piece));
            bytes = 0;
        }
        bytes += entry_bytes;
        piece.push(RecordEntry {
            key: Blob(key.clone()),
            value: Blob(value.clone()),
        });
    }
    pieces.push(piece);
    pieces
}
