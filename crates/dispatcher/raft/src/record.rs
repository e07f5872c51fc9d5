//! What a member writes to its disk.

use crate::entry::{Entry, Snapshot};
use serde::{Deserialize, Serialize};

/// A record of the journal. The order of the variants is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// The term, and whom this member gave its vote in it.
    Term {
        /// The current term.
        term: u64,
        /// The candidate voted for, if any.
        vote: Option<u64>,
    },
    /// An entry at the log's end.
    Entry(Entry),
    /// Everything from this index on is gone.
    Truncate {
        /// The first index that is gone.
        from: u64,
    },
    /// The log begins behind this.
    Snapshot(Snapshot),
    /// How much other disks had written when they were last heard of: who comes with less is an old copy.
    Disks(Vec<DiskWritten>),
}

/// How many records a disk was heard to have written, ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskWritten {
    /// The disk.
    pub disk: u64,
    /// Its records.
    pub written: u64,
}
