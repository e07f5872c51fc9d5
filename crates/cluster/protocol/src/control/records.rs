//! Replicated records: batches from the leader, and snapshots for a replica that lags.
//!
//! The leader of a term sends each change as a [`RecordBatch`]; a replica answers with [`RecordsSynced`] once the
//! batch is on its disk. A replica that can't go on from its own state fetches all records in pieces
//! ([`FetchSnapshot`], [`SnapshotChunk`]) from the process that [`Renew`](super::Renew) names as the source.

use deku::prelude::*;

use crate::collections::{Blob, List};
use crate::id::Term;

/// Names a state of the replicated records. Ordered by term, then batch, as log positions in Raft (section 5.4.1).
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct RecordsPosition {
    /// The term whose leader wrote the batch.
    pub term: Term,
    /// The number of the batch within the term, from 1; 0 is the state on which the term builds.
    pub number: u64,
}

/// A change of one record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RecordChange {
    /// Sets a record, whether it was there or not.
    #[deku(id = 0)]
    Put {
        /// The record's key.
        key: Blob,
        /// Its new value.
        value: Blob,
    },
    /// Removes a record; no error where there is none.
    #[deku(id = 1)]
    Delete {
        /// The record's key.
        key: Blob,
    },
}

/// Changes that are committed together. Sent by the leader to each replica, and again until [`RecordsSynced`]
/// answers.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordBatch {
    /// The leader's term.
    pub term: Term,
    /// Rises by one from 1 within a term; a replica applies batches in this order, without a gap.
    pub number: u64,
    /// The changes, applied in this order.
    pub changes: List<RecordChange>,
}

/// The sender has synced the records up to this state. Answers [`RecordBatch`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordsSynced {
    /// The newest state on the sender's disk.
    pub position: RecordsPosition,
}

/// Asks the source for one piece of a snapshot. Answered by [`SnapshotChunk`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FetchSnapshot {
    /// The term that the sender follows.
    pub term: Term,
    /// The state that the earlier pieces had; with the first the oldest state that is of use to the sender.
    pub position: RecordsPosition,
    /// The piece that is wanted, from 0.
    pub index: u32,
}

/// A record in a snapshot.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordEntry {
    /// The record's key; rises from entry to entry.
    pub key: Blob,
    /// Its value at the snapshot's position.
    pub value: Blob,
}

/// A piece of a snapshot. Answers [`FetchSnapshot`]. Snapshots of one state are cut in the same way by each process,
/// so that a transfer can go on from another source.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct SnapshotChunk {
    /// As in the request.
    pub term: Term,
    /// The state that the snapshot holds.
    pub position: RecordsPosition,
    /// The number of this piece, from 0.
    pub index: u32,
    /// Whether this is the snapshot's last piece.
    pub last: bool,
    /// CRC-32 over position, index, `last` and all entries of the snapshot up to and including this piece.
    pub checksum: u32,
    /// The records in this piece.
    pub entries: List<RecordEntry>,
}
