//! Snapshots of the records, cut into chunks, for replicas that fetch them.

use crate::records::Records;
use crate::snapshot_checksum::SnapshotChecksum;
use crate::timing::{SNAPSHOT_MS, SOURCE_SILENT_MS};
use sagetrail_protocol::control::{FetchSnapshot, RecordEntry, RecordsPosition, SnapshotChunk};
use sagetrail_protocol::{Blob, List, NodeId, Time};
use std::collections::BTreeMap;

/// At most about so many bytes go into a chunk.
const CHUNK_BYTES: usize = 256 << 10;
/// A replica that begins to fetch is given a snapshot of at most this age, if the snapshot is recent enough for it.
const MAX_REUSE_AGE_MS: u64 = 300;
/// So many snapshots exist at once.
const MAX_SNAPSHOTS: usize = 3;
/// No further snapshot is made while the others hold so many bytes.
const MAX_SNAPSHOT_BYTES: usize = 32 << 20;

/// A part of a snapshot that travels in one message.
#[derive(Debug)]
struct Chunk {
    entries: List<RecordEntry>,
    /// Over all entries up to the end of this chunk.
    checksum: u32,
}

/// The records as they were at one position.
#[derive(Debug)]
struct Snapshot {
    position: RecordsPosition,
    created_at: Time,
    last_used_at: Time,
    /// Bytes of all keys and values.
    bytes: usize,
    /// At least one, also without records.
    chunks: Vec<Chunk>,
    /// Replicas that fetch it, and when each last requested a chunk.
    fetchers: BTreeMap<NodeId, Time>,
}

/// The snapshots of one process. One that a replica fetches stays, so that no other replica makes it begin again.
#[derive(Debug, Default)]
pub(crate) struct SnapshotStore {
    snapshots: Vec<Snapshot>,
}

impl SnapshotStore {
    /// The requested chunk; the first one where `from` holds chunks of a snapshot that was dropped. `None` where `from`
    /// has to ask again later. `position` and `records`: the newest state.
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

    /// Drops the snapshots of which no chunk was requested lately.
    pub(crate) fn tick(&mut self, now: Time) {
        self.snapshots
            .retain(|snapshot| now < snapshot.expires_at());
    }

    /// When the next snapshot expires.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.snapshots.iter().map(Snapshot::expires_at).min()
    }

    /// The snapshot of which the requesting replica holds chunks.
    fn in_transfer(&self, fetch: &FetchSnapshot) -> Option<usize> {
        self.snapshots
            .iter()
            .position(|snapshot| fetch.index > 0 && snapshot.position == fetch.position)
    }

    /// A snapshot that is recent enough for a transfer that begins.
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

    /// The newest snapshot, unless it is older than what was requested.
    fn newest(&self, fetch: &FetchSnapshot) -> Option<usize> {
        let (index, snapshot) = self
            .snapshots
            .iter()
            .enumerate()
            .max_by_key(|(_, snapshot)| snapshot.position)?;
        (snapshot.position >= fetch.position).then_some(index)
    }

    /// Drops the oldest snapshots that no replica fetches, as far as needed; false where there is no capacity for one more.
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
        let chunk_entries = cut_into_chunks(records);
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

/// The entries of each chunk, of which there is at least one. Equal records are cut alike.
fn cut_into_chunks(records: &Records) -> Vec<Vec<RecordEntry>> {
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
