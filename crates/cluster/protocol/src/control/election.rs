//! Elections of the leader and the renewal of its lease.
//!
//! Terms and votes follow Raft (Ongaro and Ousterhout, 2014, section 5.2) with a pre-vote (Ongaro's thesis, 2014,
//! section 9.6). A vote and an acknowledged renewal grant a lease (Gray and Cheriton, 1989) that the leader counts
//! from the instant at which it sent the request, on its own steady clock; hence `sent_at` comes back in each answer.

use deku::prelude::*;

use super::{ProposalNumber, RecordsPosition};
use crate::id::{Incarnation, NodeId, Term};

/// Asks for the promise of a term. Sent by a candidate to all members; answered by [`VoteReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteRequest {
    /// The term for which the candidate stands.
    pub term: Term,
    /// The candidate's own.
    pub incarnation: Incarnation,
    /// The version of the member list by which the candidate counts votes.
    pub members_version: u64,
    /// Whether this is a pre-vote: it asks only if the term would be promised, and nothing is.
    pub pre_vote: bool,
    /// The candidate's steady clock at the sending, in microseconds; comes back in the answer.
    pub sent_at: u64,
}

/// Answers [`VoteRequest`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteReply {
    /// As in the request.
    pub term: Term,
    /// The candidate's own, as in the request.
    pub incarnation: Incarnation,
    /// As in the request.
    pub pre_vote: bool,
    /// Whether the term is promised, or would be for a pre-vote.
    pub granted: bool,
    /// As in the request.
    pub sent_at: u64,
    /// The highest term promised by the answering process.
    pub promised: Term,
    /// The version of the answering process's member list.
    pub members_version: u64,
    /// The state of the answering process's records: the new term builds on the newest of a quorum.
    pub position: RecordsPosition,
}

/// The leader of a term renews its lease and announces the position of its records. Sent to all members at a
/// regular interval; answered by [`RenewAck`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Renew {
    /// The leader's term.
    pub term: Term,
    /// The leader's steady clock at the sending, in microseconds; comes back in the answer.
    pub sent_at: u64,
    /// The state on which the term builds; equals batch 0 of the term.
    pub base: RecordsPosition,
    /// A process whose records are complete, from which a replica that lags fetches a snapshot.
    pub source: NodeId,
    /// The newest batch of the term.
    pub number: u64,
    /// The newest value of the register known to the leader.
    pub learned: ProposalNumber,
}

/// Grants the lease, or reports a higher term. Answers [`Renew`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RenewAck {
    /// As in the renewal.
    pub term: Term,
    /// As in the renewal.
    pub sent_at: u64,
    /// The highest term promised by the sender; the lease is granted where it is not above `term`.
    pub promised: Term,
    /// The newest synced state of the records.
    pub position: RecordsPosition,
    /// Whether the sender shuts down; its place may go to a learner.
    pub leaving: bool,
    /// Whether the sender knows the register's newest chosen value and the accepted changes before it.
    pub caught_up: bool,
}

/// The leader has given up its lease. Sent to all members by a leader that steps down, so that they needn't wait
/// for the lease's end; no answer.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Resign {
    /// The term that is over.
    pub term: Term,
}
