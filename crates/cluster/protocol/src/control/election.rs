//! Elections of the leader and the renewal of its lease.

use super::{ProposalNumber, RecordsPosition};
use crate::id::{Incarnation, NodeId, Term};
use deku::prelude::*;

/// Asks for the promise of a term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteRequest {
    pub term: Term,
    pub incarnation: Incarnation,
    /// The member list by which the candidate counts.
    pub members_version: u64,
    /// True: only asks whether it would be promised.
    pub pre_vote: bool,
    /// The candidate's steady clock in microseconds; comes back in the answer.
    pub sent_at: u64,
}

/// Answers `VoteRequest`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteReply {
    pub term: Term,
    /// The candidate's own, as in the request.
    pub incarnation: Incarnation,
    pub pre_vote: bool,
    pub granted: bool,
    pub sent_at: u64,
    /// The highest term promised by the answering process.
    pub promised: Term,
    pub members_version: u64,
    /// The state of its records.
    pub position: RecordsPosition,
}

/// The leader of a term renews its lease and says where its records stand.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Renew {
    pub term: Term,
    pub sent_at: u64,
    /// The state on which the term builds; equals batch 0 of the term.
    pub base: RecordsPosition,
    /// Who has the records whole.
    pub source: NodeId,
    /// The newest batch of the term.
    pub number: u64,
    /// The newest value of the register known to the leader.
    pub learned: ProposalNumber,
}

/// Grants the lease, or tells of a higher term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RenewAck {
    pub term: Term,
    pub sent_at: u64,
    pub promised: Term,
    /// The newest synced state of the records.
    pub position: RecordsPosition,
    /// The sender was asked to end; its place may go to a learner.
    pub leaving: bool,
    /// The sender knows the register's newest chosen value and the accepted changes before it.
    pub caught_up: bool,
}

/// The leader has given its lease up.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Resign {
    pub term: Term,
}
