//! A member with an emptied disk learns from the others what it may have promised, before it takes part again.
//!
//! It first asks for the highest promises, then has a majority of the members promise a higher proposal number: an answer
//! that it gave in its former life can no longer complete a round that the others have not seen.

use crate::effects::Effects;
use crate::persisted::AcceptorNumbers;
use crate::quorum::MemberList;
use crate::timing::{RESEND_MS, ROUND_MS};
use sagetrail_protocol::control::{
    ControlMessage, Prepare, Promise, ProposalNumber, Recover, RecoverReply, Rejected,
};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Term, Time};
use std::collections::BTreeSet;

/// What the others know.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub proposals: AcceptorNumbers,
    pub value: Blob,
    pub term: Term,
    /// The version of the list whose members were asked.
    pub members_version: u64,
}

#[derive(Debug)]
enum Phase {
    Asking,
    Preparing,
}

/// The recovery of one process.
#[derive(Debug)]
pub(crate) struct Recovery {
    node: NodeId,
    incarnation: Incarnation,
    nonce: u64,
    list: MemberList,
    others: Vec<NodeId>,
    phase: Phase,
    replies: BTreeSet<NodeId>,
    highest: ProposalNumber,
    term: Term,
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
            phase: Phase::Asking,
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

    /// Repeats what had no answer; true where it should start anew.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> bool {
        if now >= self.next_wake() {
            self.sent_at = now;
            self.send(effects);
        }
        now >= self.started.plus_millis(ROUND_MS)
    }

    /// A member told its highest promises.
    pub(crate) fn reply(&mut self, from: NodeId, reply: &RecoverReply, effects: &mut Effects) {
        if reply.nonce != self.nonce
            || !self.others.contains(&from)
            || !matches!(self.phase, Phase::Asking)
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

    /// A member promised; the result once enough have.
    pub(crate) fn promised(&mut self, from: NodeId, promised: Promise) -> Option<Recovered> {
        if !matches!(self.phase, Phase::Preparing) || promised.proposal != self.proposal() {
            return None;
        }
        self.replies.insert(from);
        if promised.accepted > self.accepted {
            self.accepted = promised.accepted;
            self.value = promised.value;
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

    /// A higher proposal number is about: the next one goes above it.
    pub(crate) fn refused(&mut self, refused: &Rejected) {
        if refused.proposal == self.proposal() {
            self.highest = self.highest.max(refused.promised);
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
            Phase::Asking => ControlMessage::Recover(Recover { nonce: self.nonce }),
            Phase::Preparing => ControlMessage::Prepare(Prepare {
                proposal: self.proposal(),
                known: ProposalNumber::default(),
            }),
        };
        let silent = self
            .others
            .iter()
            .copied()
            .filter(|other| !self.replies.contains(other));
        effects.broadcast(silent, &message);
    }
}
