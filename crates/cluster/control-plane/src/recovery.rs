//! The recovery of a member whose disk was emptied: before it takes part again, it learns from the other members what
//! it may have promised.
//!
//! It first asks for their highest promises, and then has a quorum of the other members promise a higher proposal
//! number. After that, a reply of its former incarnation can no longer complete a round that the other members have not
//! seen.

use crate::effects::Effects;
use crate::persisted::AcceptorNumbers;
use crate::quorum::MemberList;
use crate::timing::{RESEND_MS, ROUND_MS};
use sagetrail_protocol::control::{
    ControlMessage, Prepare, Promise, ProposalNumber, Recover, RecoverReply, Rejected,
};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Term, Time};
use std::collections::BTreeSet;

/// The state that the other members know and with which the recovered member takes part again.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The proposal numbers with which the acceptor continues.
    pub proposals: AcceptorNumbers,
    /// The newest accepted value among the promises, encoded.
    pub value: Blob,
    /// The highest term that one of the other members has promised.
    pub term: Term,
    /// The version of the member list whose members were asked.
    pub members_version: u64,
}

/// The phase of a recovery.
#[derive(Debug)]
enum Phase {
    /// Asks the other members for their highest promises.
    CollectingPromises,
    /// Asks the other members to promise a proposal number that is higher than all reported ones.
    Preparing,
}

/// The recovery in progress at one process.
#[derive(Debug)]
pub(crate) struct Recovery {
    /// The address of this process.
    node: NodeId,
    /// The incarnation of this process, which is part of its proposal number.
    incarnation: Incarnation,
    /// Distinguishes replies to this recovery from replies to earlier ones.
    nonce: u64,
    /// The member list whose members are asked.
    list: MemberList,
    /// The members of `list` except this process.
    others: Vec<NodeId>,
    phase: Phase,
    /// The members that have replied in the current phase.
    replies: BTreeSet<NodeId>,
    /// The highest proposal number that a member has reported as promised to any process.
    highest_promised: ProposalNumber,
    /// The highest term that a member has reported as promised.
    term: Term,
    /// The proposal number of `value`.
    accepted: ProposalNumber,
    /// The newest accepted value among the promises, encoded; empty if there is none.
    value: Blob,
    /// When the recovery started.
    started: Time,
    /// When requests were last sent.
    sent_at: Time,
}

impl Recovery {
    /// Starts a recovery by asking all other members of `list` for their highest promises.
    pub(crate) fn start(
        node: NodeId,
        incarnation: Incarnation,
        list: &MemberList,
        now: Time,
        effects: &mut Effects,
    ) -> Recovery {
        let others: Vec<NodeId> = list
            .all()
            .into_iter()
            .filter(|member| *member != node)
            .collect();
        let recovery = Recovery {
            node,
            incarnation,
            nonce: incarnation.wrapping_add(now.0),
            list: list.clone(),
            others,
            phase: Phase::CollectingPromises,
            replies: BTreeSet::new(),
            highest_promised: ProposalNumber::default(),
            term: 0,
            accepted: ProposalNumber::default(),
            value: Blob::default(),
            started: now,
            sent_at: now,
        };
        recovery.send(effects);
        recovery
    }

    /// When requests are resent next.
    pub(crate) fn next_wake(&self) -> Time {
        self.sent_at.plus_millis(RESEND_MS)
    }

    /// Resends requests without a reply; returns whether the recovery has lasted for `ROUND_MS` and has to be
    /// restarted.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> bool {
        if now >= self.next_wake() {
            self.sent_at = now;
            self.send(effects);
        }
        now >= self.started.plus_millis(ROUND_MS)
    }

    /// Handles a member's report of its highest promises.
    pub(crate) fn on_reply(&mut self, from: NodeId, reply: &RecoverReply, effects: &mut Effects) {
        if reply.nonce != self.nonce
            || !self.others.contains(&from)
            || !matches!(self.phase, Phase::CollectingPromises)
        {
            return;
        }
        self.highest_promised = self.highest_promised.max(reply.promised);
        self.term = self.term.max(reply.term);
        self.replies.insert(from);
        if self.list.has_recovery_quorum(self.node, &self.replies) {
            self.phase = Phase::Preparing;
            self.replies.clear();
            self.send(effects);
        }
    }

    /// Handles a promise; returns the recovered state once a quorum has promised.
    pub(crate) fn on_promise(&mut self, from: NodeId, promise: Promise) -> Option<Recovered> {
        if !matches!(self.phase, Phase::Preparing) || promise.proposal != self.proposal() {
            return None;
        }
        self.replies.insert(from);
        if promise.accepted > self.accepted {
            self.accepted = promise.accepted;
            self.value = promise.value;
        }
        if !self.list.has_recovery_quorum(self.node, &self.replies) || self.value.is_empty() {
            return None;
        }
        let proposals = AcceptorNumbers {
            promised: self.proposal(),
            accepted: self.accepted,
        };
        let members_version = self.list.version;
        Some(Recovered {
            proposals,
            value: self.value.clone(),
            term: self.term,
            members_version,
        })
    }

    /// Handles the rejection by a member that has promised a higher proposal number to another process. The recovery
    /// continues with a proposal number above that one.
    pub(crate) fn on_rejected(&mut self, rejected: &Rejected) {
        if rejected.proposal == self.proposal() {
            self.highest_promised = self.highest_promised.max(rejected.promised);
            self.replies.clear();
        }
    }

    fn proposal(&self) -> ProposalNumber {
        ProposalNumber {
            counter: self.highest_promised.counter + 1,
            node: self.node,
            incarnation: self.incarnation,
        }
    }

    fn send(&self, effects: &mut Effects) {
        let message = match self.phase {
            Phase::CollectingPromises => ControlMessage::Recover(Recover { nonce: self.nonce }),
            Phase::Preparing => ControlMessage::Prepare(Prepare {
                proposal: self.proposal(),
                known: ProposalNumber::default(),
            }),
        };
        let unanswered = self
            .others
            .iter()
            .copied()
            .filter(|other| !self.replies.contains(other));
        effects.broadcast(unanswered, &message);
    }
}
