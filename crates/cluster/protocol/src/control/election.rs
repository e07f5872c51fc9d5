//! Elections of the leader and the renewal of its lease.
//!
//! Terms and votes follow Raft (Ongaro and Ousterhout, 2014, section 5.2) with a pre-vote (Ongaro's thesis, 2014,
//! section 9.6). A vote and an acknowledged renewal grant a lease (Gray and Cheriton, 1989). The leader measures the
//! lease on its own steady clock, from the time at which it sent the request; therefore each answer returns `sent_at`.

use deku::prelude::*;

use super::{ProposalNumber, RecordsPosition};
use crate::id::{Incarnation, NodeId, Term};

/// Requests the promise of a term. A candidate sends it to all members, which answer with [`VoteReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteRequest {
    /// The term for which the candidate requests votes.
    pub term: Term,
    /// The incarnation of the candidate.
    pub incarnation: Incarnation,
    /// The version of the member list by which the candidate counts votes.
    pub members_version: u64,
    /// True for a pre-vote, which only asks whether the term would be promised; no promise is made.
    pub pre_vote: bool,
    /// The candidate's steady clock when it sent the request, in microseconds; the answer returns it.
    pub sent_at: u64,
}

/// The answer to a [`VoteRequest`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteReply {
    /// The term of the request.
    pub term: Term,
    /// The incarnation of the candidate, as in the request.
    pub incarnation: Incarnation,
    /// True if the request was a pre-vote.
    pub pre_vote: bool,
    /// True if the term is promised, or would be promised in the case of a pre-vote.
    pub granted: bool,
    /// The `sent_at` of the request, in microseconds of the candidate's steady clock.
    pub sent_at: u64,
    /// The highest term that the answering process has promised.
    pub promised: Term,
    /// The version of the answering process's member list.
    pub members_version: u64,
    /// The position of the answering process's records. The new term starts from the newest position in a quorum.
    pub position: RecordsPosition,
}

/// Renews the lease of the leader of a term and announces the position of its records. The leader sends it to all
/// members at a regular interval; they answer with [`RenewAck`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Renew {
    /// The leader's term.
    pub term: Term,
    /// The leader's steady clock when it sent the renewal, in microseconds; the answer returns it.
    pub sent_at: u64,
    /// The position of the records from which the term started; it equals batch 0 of the term.
    pub base: RecordsPosition,
    /// A process whose records are complete, from which a lagging replica fetches a snapshot.
    pub source: NodeId,
    /// The number of the newest batch of the term.
    pub number: u64,
    /// The proposal number of the newest value of the register known to the leader.
    pub learned: ProposalNumber,
}

/// Grants the lease or reports a higher term. Answers a [`Renew`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RenewAck {
    /// The term of the renewal.
    pub term: Term,
    /// The `sent_at` of the renewal, in microseconds of the leader's steady clock.
    pub sent_at: u64,
    /// The highest term that the sender has promised; the lease is granted if it is not above `term`.
    pub promised: Term,
    /// The newest position of the records that the sender has synced to disk.
    pub position: RecordsPosition,
    /// True if the sender is shutting down; a learner may replace it as a member.
    pub leaving: bool,
    /// True if the sender knows the register's newest chosen value and the accepted changes before it.
    pub caught_up: bool,
}

/// Announces that the leader has released its lease. A leader that steps down sends it to all members, so that they do
/// not have to wait for the lease to expire. It is not answered.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Resign {
    /// The term that the leader has ended.
    pub term: Term,
}
