//! Errors of the crate.

use thiserror::Error;

/// Reason for which a message or command was rejected, or for which a member cannot continue with its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RaftError {
    /// A command was proposed to a member that is not the leader.
    #[error("this member is not the leader")]
    NotLeader,
    /// A message names this member itself, or none of the members, as its sender.
    #[error("sender {sender} is not another member")]
    UnknownSender {
        /// Identifier of the sender.
        sender: u64,
    },
    /// The entries of a message do not form a chain, so no leader can have sent them unaltered.
    #[error("entries after index {previous_index} do not follow one another")]
    BrokenChain {
        /// Index of the entry before the first one of the message.
        previous_index: u64,
    },
    /// A chunk of a snapshot exceeds the snapshot's size or the largest accepted size, or the complete snapshot does
    /// not match its checksum or its position.
    #[error("invalid chunk of the snapshot at index {index}")]
    InvalidSnapshotChunk {
        /// Index of the snapshot.
        index: u64,
    },
    /// The log differs from the leader's at a committed entry, or at an entry of the same index and term. The member
    /// must restart with a blank disk.
    #[error("the log differs from the leader's at index {index}")]
    LogDiverged {
        /// Index of the entry.
        index: u64,
    },
    /// Another member knows that more records were written to this disk than it holds, so the disk is an older copy of
    /// itself. The member must restart with a blank disk.
    #[error(
        "the disk was rolled back: it holds {records_here} records, {records_known} were written"
    )]
    DiskRolledBack {
        /// Number of records that were written to this disk by its own count.
        records_here: u64,
        /// Number of records that were written to this disk by another member's count.
        records_known: u64,
    },
}
