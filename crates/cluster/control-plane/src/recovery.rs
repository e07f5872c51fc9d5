//! Recovery of a member whose disk was emptied: before it takes part again, it learns from the others what it may have
//! promised.
//!
//! It first asks for the highest promises, then has a quorum of the others promise a higher proposal number: an answer
//! of its former incarnation can no longer complete a round that the others have not seen.

use crate::effects::Effects;
use crate::persisted::AcceptorNumbers;
use crate::quorum::MemberList;
use crate::timing::{RESEND_MS, ROUND_MS};
use sagetrail_protocol::control::{
    ControlMessage, Prepare, Promise, ProposalNumber, Recover, RecoverReply, Rejected,
};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Term, Time};
use std::collections::BTreeSet;

/// What the others know: the state with which the member takes part again.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The numbers that the acceptor goes on with.
    pub proposals: AcceptorNumbers,
    /// The newest accepted value among the replies, encoded.
    pub value: Blob,
    /// The highest term that one of them has promised.
    pub term: Term,
    /// The version of the list whose members were asked.
    pub members_version: u64,
}

#[derive(Debug)]
enum Phase {
    /// Asks for the highest promises.
    CollectingPromises,
    /// Has a proposal number promised that is higher than all of them.
    Preparing,
}

/// The recovery of one process.
#[derive(Debug)]
pub(crate) struct Recovery {
    node: NodeId,
    incarnation: Incarnation,
    /// Tells replies to this recovery from those to earlier ones.
    nonce: u64,
    list: MemberList,
    others: Vec<NodeId>,
    phase: Phase,
    /// Members that have answered in this phase.
    replies: BTreeSet<NodeId>,
    /// The highest proposal number that was promised to anybody.
    highest: ProposalNumber,
    term: Term,
    /// The newest accepted value among the promises, and its proposal number.
    accepted: ProposalNumber,
    value: Blob,
    started: Time,
    sent_at: Time,
}

impl Recovery {
    /// Begins by asking all other members.
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
            highest: ProposalNumber::default(),
            term: 0,
            accepted: ProposalNumber::default(),
            value: Blob::default(),
            started: now,
            sent_at: now,
        };
        recovery.send(effects);
        recovery
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Time {
        self.sent_at.plus_millis(RESEND_MS)
    }

    /// Sends again what had no answer; true where the recovery lasts too long and should start anew.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> bool {
        if now >= self.next_wake() {
            self.sent_at = now;
            self.send(effects);
        }
        now >= self.started.plus_millis(ROUND_MS)
    }

    /// A member has reported its highest promises.
    pub(crate) fn on_reply(&mut self, from: NodeId, reply: &RecoverReply, effects: &mut Effects) {
        if reply.nonce != self.nonce
            || !self.others.contains(&from)
            || !matches!(self.phase, Phase::CollectingPromises)
        {
            return;
        }
        self.highest = self.highest.max(reply.promised);
        self.term = self.term.max(reply.term);
        self.replies.insert(from);
        if self.list.has_recovery_quorum(self.node, &self.replies) {
            self.phase = Phase::Preparing;
            self.replies.clear();
            self.send(effects);
        }
    }

    /// A member has promised; the result once a quorum has.
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

    /// A member has promised a higher proposal number to another process: the next one goes above it.
    pub(crate) fn on_rejected(&mut self, rejected: &Rejected) {
        if rejected.proposal == self.proposal() {
            self.highest = self.highest.max(rejected.promised);
            self.replies.clear();
        }
    }

    fn proposal(&self) -> ProposalNumber {
        ProposalNumber {
            counter: self.highest.counter + 1,
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
