//! The checksum of a snapshot's chunks: CRC-32 over all entries up to the end of the chunk, the snapshot's position,
//! the chunk's index, and whether the chunk is the last one.

use sagetrail_protocol::control::{RecordEntry, RecordsPosition};

/// The checksum over the entries of a snapshot up to the end of a chunk. The checksum of the last chunk covers the
/// complete snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotChecksum {
    /// The checksum state over the entries that were added so far.
    entries: crc32fast::Hasher,
}

impl SnapshotChecksum {
    /// Adds the entries of the next chunk.
    pub(crate) fn update(&mut self, entries: &[RecordEntry]) {
        for entry in entries {
            for bytes in [&entry.key, &entry.value] {
                self.entries.update(&(bytes.len() as u32).to_be_bytes());
                self.entries.update(bytes);
            }
        }
    }

    /// Returns the checksum of the chunk whose entries were added last.
    pub(crate) fn of_chunk(&self, position: RecordsPosition, index: u32, last: bool) -> u32 {
        let mut hasher = self.entries.clone();
        hasher.update(&position.term.to_be_bytes());
        hasher.update(&position.number.to_be_bytes());
        hasher.update(&index.to_be_bytes());
        hasher.update(&[u8::from(last)]);
        hasher.finalize()
    }
}
