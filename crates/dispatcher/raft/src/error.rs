//! Errors of the crate.

use thiserror::Error;

/// Why a message or command was rejected, or why a member cannot go on with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RaftError {
    /// A command was proposed to a member that is not the leader.
    #[error("this member is not the leader")]
    NotLeader,
    /// A message came from this member itself or from outside the members.
    #[error("sender {sender} is not another member")]
    UnknownSender {
        /// The sender that the message names.
        sender: u64,
    },
    /// The entries of a message do not form a chain: no leader can have sent them.
    #[error("entries after index {previous_index} do not follow one another")]
    BrokenChain {
        /// Index before the first entry of the message.
        previous_index: u64,
    },
    /// A chunk of a snapshot is out of bounds, or the complete snapshot does not match its checksum.
    #[error("invalid chunk of the snapshot at index {index}")]
    InvalidSnapshotChunk {
        /// Index of the snapshot.
        index: u64,
    },
    /// The log differs from the leader's at a committed entry, or at one of the same index and term. The member must
    /// start again with a blank disk.
    #[error("the log differs from the leader's at index {index}")]
    LogDiverged {
        /// Index of the entry.
        index: u64,
    },
    /// Another member knows of more records on this disk than it holds: the disk is an older copy of itself. The
    /// member must start again with a blank disk.
    #[error(
        "the disk was rolled back: it holds {records_here} records, {records_known} were written"
    )]
    DiskRolledBack {
        /// Records that this disk holds.
        records_here: u64,
        /// Records that another member knows of.
        records_known: u64,
    },
}
