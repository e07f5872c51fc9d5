//! Quorum reads of the register, without a round: where a majority has accepted the value of the same proposal number,
//! that value is chosen. What a quorum read leaves undecided, a round with the identity function decides (CASPaxos, Rystsov,
//! 2018, section 2.2).

use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::register_view::{Chosen, RegisterView};
use crate::timing::{RESEND_MS, ROUND_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{ControlMessage, ProposalNumber, Read, ReadReply};
use sagetrail_protocol::{Blob, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A read under way.
#[derive(Debug)]
struct PendingRead {
    /// Tells replies to this read from those to earlier ones.
    nonce: u64,
    /// The members that are asked.
    list: MemberList,
    /// The chosen value known at the start: acceptors that hold the same one don't send it.
    known: Option<Chosen>,
    started: Time,
    sent_at: Time,
    /// By acceptor, the proposal number of the value that it has accepted.
    accepted: BTreeMap<NodeId, ProposalNumber>,
    /// Values that were sent, encoded.
    values: BTreeMap<ProposalNumber, Blob>,
}

/// The result of a read.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// This value is chosen, and nothing newer was before `as_of`.
    Chosen { chosen: Chosen, as_of: Time },
    /// The replies differ: a value may be chosen or not. `newest`: the highest proposal number in them.
    Undecided { newest: ProposalNumber },
}

/// The quorum reads of one process, one at a time.
#[derive(Debug, Default)]
pub(crate) struct QuorumReader {
    nonce: u64,
    pending: Option<PendingRead>,
}

impl QuorumReader {
    /// Nonces begin at `seed`, so that two incarnations of a process differ.
    pub(crate) fn new(seed: u64) -> QuorumReader {
        QuorumReader {
            nonce: seed,
            pending: None,
        }
    }

    /// Whether no read is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending
            .as_ref()
            .map(|read| read.sent_at.plus_millis(RESEND_MS))
    }

    /// Starts a read, in the place of one that is under way.
    pub(crate) fn start(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        self.nonce = self.nonce.wrapping_add(1);
        let read = PendingRead {
            nonce: self.nonce,
            list: register_view.list.clone(),
            known: register_view.chosen.clone(),
            started: now,
            sent_at: now,
            accepted: BTreeMap::new(),
            values: BTreeMap::new(),
        };
        read.send(effects);
        self.pending = Some(read);
    }

    /// Sends again what had no reply. A read to which a majority has replied differently is undecided, one that lasts
    /// too long is given up.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> Option<ReadOutcome> {
        let read = self.pending.as_mut()?;
        if now < read.sent_at.plus_millis(RESEND_MS) {
            return None;
        }
        let differs = read
            .list
            .has_quorum(&read.accepted.keys().copied().collect());
        if differs || now >= read.started.plus_millis(ROUND_MS) {
            let undecided = read.undecided();
            self.pending = None;
            return differs.then_some(undecided);
        }
        read.sent_at = now;
        read.send(effects);
        None
    }

    /// A member has replied; the outcome where that is known now.
    pub(crate) fn on_reply(&mut self, from: NodeId, reply: ReadReply) -> Option<ReadOutcome> {
        let read = self
            .pending
            .as_mut()
            .filter(|read| read.nonce == reply.nonce)?;
        if !read.list.contains(from) {
            return None;
        }
        read.accepted.insert(from, reply.accepted);
        if !reply.value.is_empty() {
            read.values.insert(reply.accepted, reply.value);
        }
        if let Some(proposal) = read.chosen_proposal() {
            return self.pending.take().map(|read| read.into_outcome(proposal));
        }
        if read.accepted.len() == read.list.all().len() {
            let undecided = read.undecided();
            self.pending = None;
            return Some(undecided);
        }
        None
    }
}

impl PendingRead {
    fn send(&self, effects: &mut Effects) {
        let known = self
            .known
            .as_ref()
            .map(|known| known.proposal)
            .unwrap_or_default();
        let read = ControlMessage::Read(Read {
            nonce: self.nonce,
            known,
        });
        let unanswered = self
            .list
            .all()
            .into_iter()
            .filter(|member| !self.accepted.contains_key(member));
        effects.broadcast(unanswered, &read);
    }

    fn undecided(&self) -> ReadOutcome {
        let newest = self.accepted.values().max().copied().unwrap_or_default();
        ReadOutcome::Undecided { newest }
    }

    /// The proposal number whose value a majority has accepted.
    fn chosen_proposal(&self) -> Option<ProposalNumber> {
        self.accepted
            .values()
            .find(|proposal| self.list.has_quorum(&self.acceptors_of(proposal)))
            .copied()
    }

    fn acceptors_of(&self, proposal: &ProposalNumber) -> BTreeSet<NodeId> {
        self.accepted
            .iter()
            .filter(|(_, accepted)| *accepted == proposal)
            .map(|(node, _)| *node)
            .collect()
    }

    /// `proposal`: the one whose value is chosen.
    fn into_outcome(self, proposal: ProposalNumber) -> ReadOutcome {
        let known = self
            .known
            .as_ref()
            .filter(|known| known.proposal == proposal);
        let sent = || {
            self.values
                .get(&proposal)
                .and_then(|bytes| RegisterValue::decode(bytes).ok())
                .map(Arc::new)
        };
        let undecided = self.undecided();
        let value = known.map(|known| known.value.clone()).or_else(sent);
        match value.filter(|value| value.members_version == self.list.version) {
            Some(value) => ReadOutcome::Chosen {
                chosen: Chosen { proposal, value },
                as_of: self.started,
            },
            None => undecided,
        }
    }
}
