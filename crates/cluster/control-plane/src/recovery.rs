//! A member with an emptied disk learns from the others what it may have promised, before it takes part again.
//!
//! It first asks for the highest promises, then has a majority of the members promise a higher ballot: an answer
//! that it gave in its former life can no longer complete a round that the others have not seen.
use crate::effects::Effects;
use crate::persisted::AcceptorBallots;
use crate::quorum::MemberList;
use crate::timing::{RESEND_MS, ROUND_MS};
use sagetrail_protocol::control::{
    Ballot, ControlMessage, Prepare, Promised, Recover, RecoverReply, Refused,
};
use sagetrail_protocol::{Blob, Epoch, Incarnation, NodeId, Time};
use std::collections::BTreeSet;

/// What the others know.
#[derive(Debug)]
pub struct Recovered {
    pub ballots: AcceptorBallots,
    pub value: Blob,
    pub epoch: Epoch,
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
pub struct Recovery {
    node: NodeId,
    incarnation: Incarnation,
    nonce: u64,
    list: MemberList,
    others: Vec<NodeId>,
    phase: Phase,
    replies: BTreeSet<NodeId>,
    highest: Ballot,
    epoch: Epoch,
    accepted: Ballot,
    value: Blob,
    started: Time,
    sent_at: Time,
}

impl Recovery {
    /// Begins by asking all other members.
    pub fn start(
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
            highest: Ballot::default(),
            epoch: 0,
            accepted: Ballot::default(),
            value: Blob::default(),
            started: now,
            sent_at: now,
        };
        recovery.send(effects);
        recovery
    }

    /// When something is due.
    pub fn next_wake(&self) -> Time {
        self.sent_at.plus_millis(RESEND_MS)
    }

    /// Repeats what had no answer; true where it should start anew.
    pub fn tick(&mut self, now: Time, effects: &mut Effects) -> bool {
        if now >= self.next_wake() {
            self.sent_at = now;
            self.send(effects);
        }
        now >= self.started.plus_millis(ROUND_MS)
    }

    /// A member told its highest promises.
    pub fn reply(&mut self, from: NodeId, reply: &RecoverReply, effects: &mut Effects) {
        if reply.nonce != self.nonce
            || !self.others.contains(&from)
            || !matches!(self.phase, Phase::Asking)
        {
            return;
        }
        self.highest = self.highest.max(reply.promised);
        self.epoch = self.epoch.max(reply.epoch);
        self.replies.insert(from);
        if self.list.known_without(self.node, &self.replies) {
            self.phase = Phase::Preparing;
            self.replies.clear();
            self.send(effects);
        }
    }

    /// A member promised; the result once enough have.
    pub fn promised(&mut self, from: NodeId, promised: Promised) -> Option<Recovered> {
        if !matches!(self.phase, Phase::Preparing) || promised.ballot != self.ballot() {
            return None;
        }
        self.replies.insert(from);
        if promised.accepted > self.accepted {
            self.accepted = promised.accepted;
            self.value = promised.value;
        }
        if !self.list.known_without(self.node, &self.replies) || self.value.is_empty() {
            return None;
        }
        let ballots = AcceptorBallots {
            promised: self.ballot(),
            accepted: self.accepted,
        };
        let members_version = self.list.version;
        Some(Recovered {
            ballots,
            value: self.value.clone(),
            epoch: self.epoch,
            members_version,
        })
    }

    /// A higher ballot is about: the next one goes above it.
    pub fn refused(&mut self, refused: &Refused) {
        if refused.ballot == self.ballot() {
            self.highest = self.highest.max(refused.promised);
            self.replies.clear();
        }
    }

    fn ballot(&self) -> Ballot {
        Ballot {
            counter: self.highest.counter + 1,
            node: self.node,
            incarnation: self.incarnation,
        }
    }

    fn send(&self, effects: &mut Effects) {
        let message = match self.phase {
            Phase::Asking => ControlMessage::Recover(Recover { nonce: self.nonce }),
            Phase::Preparing => ControlMessage::Prepare(Prepare {
                ballot: self.ballot(),
                have: Ballot::default(),
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
