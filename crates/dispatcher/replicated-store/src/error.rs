//! Errors of the crate.

use thiserror::Error;

/// The kind of damage of a record in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordDamage {
    /// The length and its complement do not match.
    #[error("the length does not match its complement")]
    Length,
    /// The end mark is missing.
    #[error("the end mark is missing")]
    EndMark,
    /// The checksum does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The content cannot be decoded as a record.
    #[error("the content cannot be decoded")]
    Content,
}

/// Reason for which stored data cannot be used or a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The header of the journal is damaged.
    #[error("the header of the journal is damaged")]
    DamagedHeader,
    /// A record inside the journal was altered after it was written.
    #[error("the journal is damaged at byte {offset}: {damage}")]
    DamagedRecord {
        /// Offset of the record in the journal, bytes.
        offset: usize,
        /// The kind of damage.
        damage: RecordDamage,
    },
    /// The journal belongs to another fleet.
    #[error("the journal belongs to another fleet")]
    OtherFleet,
    /// The journal belongs to another member of the fleet.
    #[error("the journal belongs to another member")]
    OtherMember,
    /// A saved copy of the merged state or the committed state cannot be decoded.
    #[error("the saved state cannot be decoded")]
    InvalidState,
    /// The queue of this member's uncommitted proposals is full.
    #[error("{limit} proposals wait already")]
    TooManyProposals {
        /// Largest number of queued proposals.
        limit: usize,
    },
}
