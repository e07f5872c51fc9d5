//! Cheap reads of the register: where a majority tells the same proposal number, its value is chosen.

use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::register_view::{Chosen, RegisterView};
use crate::timing::{RESEND_MS, ROUND_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{ControlMessage, ProposalNumber, Read, ReadReply};
use sagetrail_protocol::{Blob, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Debug)]
struct ReadRound {
    nonce: u64,
    list: MemberList,
    known: Option<Chosen>,
    started: Time,
    sent_at: Time,
    replies: BTreeMap<NodeId, ProposalNumber>,
    values: BTreeMap<ProposalNumber, Blob>,
}

/// What a read found.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// This value is chosen, and nothing newer was before the moment.
    Chosen { chosen: Chosen, as_of: Time },
    /// The answers differ; a round of the register must settle it.
    Unsettled,
}

/// The reads of one process, one at a time.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    nonce: u64,
    round: Option<ReadRound>,
}

impl Reader {
    /// Nonces begin at `seed`, so that two lives of a process differ.
    pub(crate) fn new(seed: u64) -> Reader {
        Reader {
            nonce: seed,
            round: None,
        }
    }

    /// Whether no read is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.round.is_none()
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.round
            .as_ref()
            .map(|round| round.sent_at.plus_millis(RESEND_MS))
    }

    /// Starts a read, in the place of one that is under way.
    pub(crate) fn start(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        self.nonce = self.nonce.wrapping_add(1);
        let round = ReadRound {
            nonce: self.nonce,
            list: register_view.list.clone(),
            known: register_view.chosen.clone(),
            started: now,
            sent_at: now,
            replies: BTreeMap::new(),
            values: BTreeMap::new(),
        };
        round.send(effects);
        self.round = Some(round);
    }

    /// Repeats what had no answer. A read whose answers differ is unsettled, one that lasts too long given up.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> Option<ReadOutcome> {
        let round = self.round.as_mut()?;
        if now < round.sent_at.plus_millis(RESEND_MS) {
            return None;
        }
        let differs = round
            .list
            .has_quorum(&round.replies.keys().copied().collect());
        if differs || now >= round.started.plus_millis(ROUND_MS) {
            self.round = None;
            return differs.then_some(ReadOutcome::Unsettled);
        }
        round.sent_at = now;
        round.send(effects);
        None
    }

    /// An answer came.
    pub(crate) fn reply(&mut self, from: NodeId, reply: ReadReply) -> Option<ReadOutcome> {
        let round = self
            .round
            .as_mut()
            .filter(|round| round.nonce == reply.nonce)?;
        if !round.list.contains(from) {
            return None;
        }
        round.replies.insert(from, reply.accepted);
        if !reply.value.is_empty() {
            round.values.insert(reply.accepted, reply.value);
        }
        if let Some(proposal) = round.agreed() {
            return self.round.take().map(|round| round.finish(proposal));
        }
        if round.replies.len() == round.list.all().len() {
            self.round = None;
            return Some(ReadOutcome::Unsettled);
        }
        None
    }
}

impl ReadRound {
    fn send(&self, effects: &mut Effects) {
        let have = self
            .known
            .as_ref()
            .map(|known| known.proposal)
            .unwrap_or_default();
        let read = ControlMessage::Read(Read {
            nonce: self.nonce,
            known: have,
        });
        let silent = self
            .list
            .all()
            .into_iter()
            .filter(|member| !self.replies.contains_key(member));
        effects.broadcast(silent, &read);
    }

    /// The proposal number that a majority tells.
    fn agreed(&self) -> Option<ProposalNumber> {
        self.replies
            .values()
            .find(|proposal| self.list.has_quorum(&self.tellers(proposal)))
            .copied()
    }

    fn tellers(&self, proposal: &ProposalNumber) -> BTreeSet<NodeId> {
        let tellers = self.replies.iter().filter(|(_, told)| *told == proposal);
        tellers.map(|(node, _)| *node).collect()
    }

    fn finish(self, proposal: ProposalNumber) -> ReadOutcome {
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
        let value = known.map(|known| known.value.clone()).or_else(sent);
        match value.filter(|value| value.members_version == self.list.version) {
            Some(value) => ReadOutcome::Chosen {
                chosen: Chosen { proposal, value },
                as_of: self.started,
            },
            None => ReadOutcome::Unsettled,
        }
    }
}
