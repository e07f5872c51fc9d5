//! Records that a member writes to its disk.

use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::snapshot::Snapshot;

/// A record of the write-ahead log on disk. The order of the variants is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskRecord {
    /// The current term and this member's vote in it (`currentTerm` and `votedFor` in Raft, figure 2).
    Term {
        /// The current term.
        term: u64,
        /// The candidate that received this member's vote in the term, if any.
        vote: Option<u64>,
    },
    /// An entry appended to the log.
    Entry(Entry),
    /// All entries from an index to the end of the log were removed.
    Truncate {
        /// The first index that was removed.
        from: u64,
    },
    /// The snapshot that the log begins with; the entries after it follow.
    Snapshot(Snapshot),
    /// The highest known watermarks of other members' disks.
    Watermarks(Vec<DiskWatermark>),
}

/// The highest number of records that a disk is known to have held since it was blank.
///
/// A disk that later holds fewer records is an older copy of itself: it has lost acknowledged votes and entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskWatermark {
    /// Identifier of the disk.
    pub disk: u64,
    /// Number of records written to the disk since it was blank.
    pub records_written: u64,
}
