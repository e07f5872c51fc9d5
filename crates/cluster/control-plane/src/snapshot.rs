//! Snapshots of the records, divided into chunks, for replicas that fetch them.

use crate::records::Records;
use crate::snapshot_checksum::SnapshotChecksum;
use crate::timing::{SNAPSHOT_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{FetchSnapshot, RecordEntry, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{Blob, List, NodeId, Time};
use std::collections::BTreeMap;

/// The maximum size of the entries of a chunk, in bytes. Only a single entry that is larger exceeds it.
const CHUNK_BYTES: usize = 256 << 10;
/// The maximum age at which a snapshot is reused for a replica that begins a transfer, provided that the position of
/// the snapshot is recent enough for that replica.
const MAX_REUSE_AGE_MS: u64 = 300;
/// The maximum number of snapshots.
const MAX_SNAPSHOTS: usize = 3;
/// The total size of the snapshots, in bytes of keys and values, at which no further snapshot is created.
const MAX_SNAPSHOT_BYTES: usize = 32 << 20;

/// A part of a snapshot that is sent in one message.
#[derive(Debug)]
struct Chunk {
    /// The records in this chunk.
    entries: List<RecordEntry>,
    /// The checksum over all entries of the snapshot up to the end of this chunk.
    checksum: u32,
}

/// The records at one position.
#[derive(Debug)]
struct Snapshot {
    /// The position of the records.
    position: RecordsPosition,
    /// When the snapshot was created.
    created_at: Time,
    /// When a chunk was last requested, or the snapshot was created.
    last_used_at: Time,
    /// The size of all keys and values, in bytes.
    bytes: usize,
    /// The chunks, of which there is at least one even if there are no records.
    chunks: Vec<Chunk>,
    /// The replicas that fetch the snapshot, each with the time of its last request for a chunk.
    fetchers: BTreeMap<NodeId, Time>,
}

/// The snapshots of one process. A snapshot that a replica is fetching is retained, so that requests of other replicas
/// do not force that replica to start its transfer again.
#[derive(Debug, Default)]
pub(crate) struct SnapshotStore {
    /// The snapshots, oldest first.
    snapshots: Vec<Snapshot>,
}

impl SnapshotStore {
    /// Returns the requested chunk, or the first chunk of another snapshot if `from` has chunks of a snapshot that was
    /// dropped. Returns `None` if `from` has to ask again later. `position` and `records` are the newest state of this
    /// replica.
    pub(crate) fn requested_chunk(
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
        if self.in_transfer(fetch).is_none()
            && self.reusable(now, fetch, position).is_none()
            && self.free_capacity(now)
        {
            self.snapshots.push(Snapshot::new(now, position, records));
        }
        let index = self.in_transfer(fetch).or_else(|| self.newest(fetch))?;
        self.snapshots[index].requested_chunk(now, from, fetch)
    }

    /// Drops the snapshots of which no chunk was requested within `SNAPSHOT_MS`.
    pub(crate) fn tick(&mut self, now: Time) {
        self.snapshots
            .retain(|snapshot| now < snapshot.expires_at());
    }

    /// Returns when the next snapshot expires.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.snapshots.iter().map(Snapshot::expires_at).min()
    }

    /// Returns the index of the snapshot of which the requesting replica already has chunks.
    fn in_transfer(&self, fetch: &FetchSnapshot) -> Option<usize> {
        self.snapshots
            .iter()
            .position(|snapshot| fetch.index > 0 && snapshot.position == fetch.position)
    }

    /// Returns the index of a snapshot that is recent enough for a new transfer.
    fn reusable(
        &self,
        now: Time,
        fetch: &FetchSnapshot,
        position: RecordsPosition,
    ) -> Option<usize> {
        let index = self.newest(fetch)?;
        let snapshot = &self.snapshots[index];
        (snapshot.position == position || now < snapshot.created_at.plus_millis(MAX_REUSE_AGE_MS))
            .then_some(index)
    }

    /// Returns the index of the newest snapshot, unless it is older than the requested position.
    fn newest(&self, fetch: &FetchSnapshot) -> Option<usize> {
        let (index, snapshot) = self
            .snapshots
            .iter()
            .enumerate()
            .max_by_key(|(_, snapshot)| snapshot.position)?;
        (snapshot.position >= fetch.position).then_some(index)
    }

    /// Drops the oldest snapshots that no replica fetches until there is capacity for one more. Returns false if there
    /// is no such capacity.
    fn free_capacity(&mut self, now: Time) -> bool {
        while !self.has_capacity() {
            let Some(index) = self
                .snapshots
                .iter()
                .position(|snapshot| !snapshot.is_fetched(now))
            else {
                return false;
            };
            self.snapshots.remove(index);
        }
        true
    }

    fn has_capacity(&self) -> bool {
        let bytes: usize = self.snapshots.iter().map(|snapshot| snapshot.bytes).sum();
        self.snapshots.len() < MAX_SNAPSHOTS && bytes < MAX_SNAPSHOT_BYTES
    }
}

impl Snapshot {
    fn new(now: Time, position: RecordsPosition, records: &Records) -> Snapshot {
        let bytes = records
            .0
            .iter()
            .map(|(key, value)| key.len() + value.len())
            .sum();
        let mut checksum = SnapshotChecksum::default();
        let chunk_entries = split_into_chunks(records);
        let last = chunk_entries.len() - 1;
        let chunk = |(index, entries): (usize, Vec<RecordEntry>)| {
            checksum.update(&entries);
            let checksum = checksum.of_chunk(position, index as u32, index == last);
            Chunk {
                entries: List(entries),
                checksum,
            }
        };
        let chunks = chunk_entries.into_iter().enumerate().map(chunk).collect();
        Snapshot {
            position,
            created_at: now,
            last_used_at: now,
            bytes,
            chunks,
            fetchers: BTreeMap::new(),
        }
    }

    fn expires_at(&self) -> Time {
        self.last_used_at.plus_millis(SNAPSHOT_MS)
    }

    fn is_fetched(&self, now: Time) -> bool {
        self.fetchers
            .values()
            .any(|requested_at| now < requested_at.plus_millis(SOURCE_SILENT_MS))
    }

    fn requested_chunk(
        &mut self,
        now: Time,
        from: NodeId,
        fetch: &FetchSnapshot,
    ) -> Option<SnapshotChunk> {
        let index = if fetch.position == self.position {
            fetch.index
        } else {
            0
        };
        let Chunk { entries, checksum } = self.chunks.get(index as usize)?;
        let (entries, checksum) = (entries.clone(), *checksum);
        let last = index as usize + 1 == self.chunks.len();
        self.last_used_at = now;
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

/// Divides the records into the entries of at least one chunk. Equal records are always divided in the same way, so
/// that a transfer can continue from another source.
fn split_into_chunks(records: &Records) -> Vec<Vec<RecordEntry>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for (key, value) in &records.0 {
        let entry_bytes = key.len() + value.len();
        if bytes > 0 && bytes + entry_bytes > CHUNK_BYTES {
            chunks.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
        bytes += entry_bytes;
        chunk.push(RecordEntry {
            key: Blob(key.clone()),
            value: Blob(value.clone()),
        });
    }
    chunks.push(chunk);
    chunks
}
