//! The checksum of an image's pieces: CRC-32 over all entries so far, the image's state and the piece's place.

use sagetrail_protocol::control::{RecordEntry, RecordsPosition};

/// The checksum over the entries of an image, up to a piece. That of the last piece covers the whole image.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImageChecksum {
    entries: crc32fast::Hasher,
}

impl ImageChecksum {
    /// Takes the entries of the next piece.
    pub(crate) fn update(&mut self, entries: &[RecordEntry]) {
        for entry in entries {
            for bytes in [&entry.key, &entry.value] {
                self.entries.update(&(bytes.len() as u32).to_be_bytes());
                self.entries.update(bytes);
            }
        }
    }

    /// The checksum of the piece whose entries were taken last.
    pub(crate) fn of_piece(&self, position: RecordsPosition, index: u32, last: bool) -> u32 {
        let mut hasher = self.entries.clone();
        hasher.update(&position.term.to_be_bytes());
        hasher.update(&position.number.to_be_bytes());
        hasher.update(&index.to_be_bytes());
        hasher.update(&[u8::from(last)]);
        hasher.finalize()
    }
}
