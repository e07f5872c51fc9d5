//! Errors of the crate.

use thiserror::Error;

/// What is wrong with a record of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordDamage {
    /// The length and its complement do not match.
    #[error("the length does not match its complement")]
    Length,
    /// The end mark is missing.
    #[error("no end mark")]
    EndMark,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The content is not a record.
    #[error("the content cannot be decoded")]
    Content,
}

/// Why stored data cannot be used, or a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The header of the journal is damaged.
    #[error("the header of the journal is damaged")]
    DamagedHeader,
    /// A record inside the journal was altered after it was written.
    #[error("the journal is damaged at byte {offset}: {damage}")]
    DamagedRecord {
        /// Where the record begins, bytes.
        offset: usize,
        /// What is wrong with it.
        damage: RecordDamage,
    },
    /// The journal belongs to another fleet.
    #[error("the journal belongs to another fleet")]
    OtherFleet,
    /// The journal belongs to another member of the fleet.
    #[error("the journal belongs to another member")]
    OtherMember,
    /// A saved copy of the merged or committed state cannot be decoded.
    #[error("the saved state cannot be decoded")]
    InvalidState,
    /// Too many proposals of this member wait for the log.
    #[error("{limit} proposals wait already")]
    TooManyProposals {
        /// The limit.
        limit: usize,
    },
}
