//! Replicated records: batches from the leader, and snapshots for a replica that lags.

use crate::collections::{Blob, List};
use crate::id::Term;
use deku::prelude::*;

/// Names a state of the replicated records: the term and the batch within it.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct RecordsPosition {
    pub term: Term,
    pub number: u64,
}

/// What becomes of a record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RecordChange {
    #[deku(id = 0)]
    Put { key: Blob, value: Blob },
    #[deku(id = 1)]
    Delete { key: Blob },
}

/// A batch of changes of the records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordBatch {
    pub term: Term,
    pub number: u64,
    pub changes: List<RecordChange>,
}

/// The sender has synced the records up to this state.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordsSynced {
    pub position: RecordsPosition,
}

/// Asks for a piece of the whole records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FetchSnapshot {
    pub term: Term,
    /// The state that the earlier pieces had; with the first the oldest state that is of use to the sender.
    pub position: RecordsPosition,
    pub index: u32,
}

/// A record, whole.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordEntry {
    pub key: Blob,
    pub value: Blob,
}

/// A piece of the whole records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct SnapshotChunk {
    pub term: Term,
    pub position: RecordsPosition,
    pub index: u32,
    pub last: bool,
    /// CRC-32 over tag, index, `last` and all entries of the image up to and including this piece.
    pub checksum: u32,
    pub entries: List<RecordEntry>,
}
