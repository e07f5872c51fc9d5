//! Quorum reads of the register, without a round: where a majority has accepted the value of the same proposal number,
//! that value is chosen. What a quorum read leaves undecided, a round with the identity function decides (CASPaxos, Rystsov,
//! 2018, section 2.2).
//!
//! The replies hold numbers only. A chosen value that the reader does not hold itself is fetched from one of those that
//! have accepted it.

use crate::effects::Effects;
use crate::local_values::LocalValues;
use crate::quorum::MemberList;
use crate::register_view::Chosen;
use crate::timing::{RESEND_MS, ROUND_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::control::{ControlMessage, ProposalNumber, Read, ReadReply};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A read under way.
#[derive(Debug)]
struct PendingRead {
    /// Tells replies to this read from those to earlier ones.
    nonce: u64,
    /// The members that are asked.
    list: MemberList,
    started: Time,
    sent_at: Time,
    /// By acceptor, the proposal number of the value that it has accepted.
    accepted: BTreeMap<NodeId, ProposalNumber>,
    /// The fetch of the chosen value, where the reader does not hold it.
    fetch: Option<Fetch>,
}

/// The fetch of a chosen value from one acceptor after the other.
#[derive(Debug)]
struct Fetch {
    /// The number of the chosen value.
    proposal: ProposalNumber,
    /// The acceptor that was asked last.
    asked: Option<NodeId>,
    /// Those that have accepted it and were not asked yet.
    sources: Vec<NodeId>,
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
    pub(crate) fn start(&mut self, now: Time, list: &MemberList, effects: &mut Effects) {
        self.nonce = self.nonce.wrapping_add(1);
        let read = PendingRead {
            nonce: self.nonce,
            list: list.clone(),
            started: now,
            sent_at: now,
            accepted: BTreeMap::new(),
            fetch: None,
        };
        read.send_to_unanswered(effects);
        self.pending = Some(read);
    }

    /// Sends again what had no reply. A read to which a majority has replied differently is undecided, one that lasts
    /// too long is given up.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> Option<ReadOutcome> {
        let read = self.pending.as_mut()?;
        if now < read.sent_at.plus_millis(RESEND_MS) {
            return None;
        }
        read.sent_at = now;
        let differs = read.fetch.is_none() && read.list.has_quorum(&read.answered());
        if differs || now >= read.started.plus_millis(ROUND_MS) {
            let undecided = read.undecided();
            self.pending = None;
            return differs.then_some(undecided);
        }
        match &mut read.fetch {
            Some(fetch) => fetch.send(read.nonce, effects),
            None => read.send_to_unanswered(effects),
        }
        None
    }

    /// A member has replied; the outcome where that is known now.
    pub(crate) fn on_reply(
        &mut self,
        now: Time,
        from: NodeId,
        reply: ReadReply,
        local: &LocalValues,
        effects: &mut Effects,
    ) -> Option<ReadOutcome> {
        let read = self
            .pending
            .as_mut()
            .filter(|read| read.nonce == reply.nonce)?;
        if !read.list.contains(from) {
            return None;
        }
        if read.fetch.is_some() {
            return self.on_fetched(from, &reply, effects);
        }
        read.accepted.insert(from, reply.accepted);
        if let Some(proposal) = read.chosen_proposal() {
            let Some(value) = local.value(proposal) else {
                read.begin_fetch(now, proposal, effects);
                return None;
            };
            return self.finish(proposal, value);
        }
        if read.answered().len() == read.list.all().len() {
            let undecided = read.undecided();
            self.pending = None;
            return Some(undecided);
        }
        None
    }

    /// A reply during a fetch. An acceptor that has accepted another value since sends none: the next one is asked.
    fn on_fetched(
        &mut self,
        from: NodeId,
        reply: &ReadReply,
        effects: &mut Effects,
    ) -> Option<ReadOutcome> {
        let read = self.pending.as_mut()?;
        let fetch = read.fetch.as_mut()?;
        let wanted = fetch.proposal;
        let value = (reply.accepted == wanted && !reply.value.is_empty())
            .then(|| RegisterValue::decode(&reply.value).ok())
            .flatten();
        if let Some(value) = value {
            return self.finish(wanted, Arc::new(value));
        }
        if fetch.asked == Some(from) && reply.accepted != wanted {
            fetch.send(read.nonce, effects);
        }
        None
    }

    fn finish(
        &mut self,
        proposal: ProposalNumber,
        value: Arc<RegisterValue>,
    ) -> Option<ReadOutcome> {
        let read = self.pending.take()?;
        if value.members_version != read.list.version {
            return Some(read.undecided());
        }
        Some(ReadOutcome::Chosen {
            chosen: Chosen { proposal, value },
            as_of: read.started,
        })
    }
}

impl PendingRead {
    fn send_to_unanswered(&self, effects: &mut Effects) {
        let read = ControlMessage::Read(Read {
            nonce: self.nonce,
            wanted: ProposalNumber::default(),
        });
        let members = self.list.all().into_iter();
        let unanswered = members.filter(|member| !self.accepted.contains_key(member));
        effects.broadcast(unanswered, &read);
    }

    fn begin_fetch(&mut self, now: Time, proposal: ProposalNumber, effects: &mut Effects) {
        let sources = self.acceptors_of(&proposal).into_iter().collect();
        let mut fetch = Fetch {
            proposal,
            asked: None,
            sources,
        };
        fetch.send(self.nonce, effects);
        self.sent_at = now;
        self.fetch = Some(fetch);
    }

    fn answered(&self) -> BTreeSet<NodeId> {
        self.accepted.keys().copied().collect()
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
}

impl Fetch {
    /// Asks the next acceptor. Once all were asked, the read waits for its end.
    fn send(&mut self, nonce: u64, effects: &mut Effects) {
        self.asked = self.sources.pop();
        let Some(source) = self.asked else {
            return;
        };
        let read = ControlMessage::Read(Read {
            nonce,
            wanted: self.proposal,
        });
        effects.control(source, read);
    }
}
