//! Replicated records: batches from the leader, and snapshots for a lagging replica.
//!
//! The leader of a term sends each change as a [`RecordBatch`]; a replica answers with [`RecordsSynced`] once the
//! batch is on its disk. A replica that cannot continue from its own state fetches all records in chunks
//! ([`FetchSnapshot`], [`SnapshotChunk`]) from the process that [`Renew`](super::Renew) names as the source.

use deku::prelude::*;

use crate::collections::{Blob, List};
use crate::id::Term;

/// Identifies a state of the replicated records. Positions are ordered by term and then by batch, like log positions in
/// Raft (section 5.4.1).
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct RecordsPosition {
    /// The term whose leader wrote the batch.
    pub term: Term,
    /// The number of the batch within the term, counted from 1; 0 is the state from which the term started.
    pub number: u64,
}

/// A change to one record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RecordChange {
    /// Sets a record, whether or not it exists.
    #[deku(id = 0)]
    Put {
        /// The record's key.
        key: Blob,
        /// The record's new value.
        value: Blob,
    },
    /// Removes a record; it is no error if the record does not exist.
    #[deku(id = 1)]
    Delete {
        /// The record's key.
        key: Blob,
    },
}

/// Changes that are committed together. The leader sends the batch to each replica and repeats it until the replica
/// answers with [`RecordsSynced`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordBatch {
    /// The leader's term.
    pub term: Term,
    /// The number of the batch, which increases by one from 1 within a term. A replica applies batches in this order
    /// and without gaps.
    pub number: u64,
    /// The changes, applied in this order.
    pub changes: List<RecordChange>,
}

/// Reports that the sender has synced the records up to a position. Answers a [`RecordBatch`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordsSynced {
    /// The position of the newest state on the sender's disk.
    pub position: RecordsPosition,
}

/// Requests one chunk of a snapshot from the source, which answers with [`SnapshotChunk`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FetchSnapshot {
    /// The term that the sender follows.
    pub term: Term,
    /// The position of the snapshot from which the earlier chunks came. In the request for the first chunk, it is the
    /// oldest position that the sender can use.
    pub position: RecordsPosition,
    /// The index of the requested chunk, counted from 0.
    pub index: u32,
}

/// A record in a snapshot.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordEntry {
    /// The record's key; the keys increase from entry to entry.
    pub key: Blob,
    /// The record's value at the snapshot's position.
    pub value: Blob,
}

/// One chunk of a snapshot. Answers a [`FetchSnapshot`]. Every process divides a snapshot of the same state into the
/// same chunks, so that a transfer can continue from another source.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct SnapshotChunk {
    /// The term of the request.
    pub term: Term,
    /// The position of the state that the snapshot contains.
    pub position: RecordsPosition,
    /// The index of this chunk, counted from 0.
    pub index: u32,
    /// True if this is the last chunk of the snapshot.
    pub last: bool,
    /// The CRC-32 over position, index, `last` and all entries of the snapshot up to and including this chunk.
    pub checksum: u32,
    /// The records in this chunk.
    pub entries: List<RecordEntry>,
}
