//! Quorum reads of the register, which need no round: if a majority has accepted the value of the same proposal number,
//! that value is chosen. If a quorum read cannot tell whether a value is chosen, a round with the identity function
//! decides (CASPaxos, Rystsov, 2018, section 2.2).
//!
//! The replies contain proposal numbers only. A chosen value that the reader does not hold is fetched from one of the
//! acceptors that have accepted it.

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

/// A quorum read in progress.
#[derive(Debug)]
struct PendingRead {
    /// Distinguishes replies to this read from replies to earlier ones.
    nonce: u64,
    /// The member list whose members are asked.
    list: MemberList,
    /// When the read started; the result of the read is complete up to this moment.
    started: Time,
    /// When requests were last sent.
    sent_at: Time,
    /// The acceptors that have replied, each with the proposal number of the value that it has accepted.
    accepted: BTreeMap<NodeId, ProposalNumber>,
    /// The fetch of the chosen value; `None` until a value is found chosen that the reader does not hold.
    fetch: Option<Fetch>,
}

/// The fetch of a chosen value, which asks one acceptor at a time.
#[derive(Debug)]
struct Fetch {
    /// The proposal number of the chosen value.
    proposal: ProposalNumber,
    /// The acceptor that was asked last; `None` once no further acceptor can be asked.
    asked: Option<NodeId>,
    /// The acceptors that have accepted the value and have not been asked yet.
    sources: Vec<NodeId>,
}

/// The result of a quorum read.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// `chosen` is a chosen value, and no newer value was chosen before `as_of`.
    Chosen { chosen: Chosen, as_of: Time },
    /// The replies do not show whether a value is chosen. `newest` is the highest proposal number in them.
    Undecided { newest: ProposalNumber },
}

/// The quorum reader of one process, which runs one read at a time.
#[derive(Debug, Default)]
pub(crate) struct QuorumReader {
    /// The nonce of the latest read.
    nonce: u64,
    /// The read in progress.
    pending: Option<PendingRead>,
}

impl QuorumReader {
    /// Creates a reader without a read in progress. Its nonces begin at `seed`, so that two incarnations of a process
    /// use different ones.
    pub(crate) fn new(seed: u64) -> QuorumReader {
        QuorumReader {
            nonce: seed,
            pending: None,
        }
    }

    /// Whether no read is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none()
    }

    /// When the requests of the current read are resent or the read ends.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending
            .as_ref()
            .map(|read| read.sent_at.plus_millis(RESEND_MS))
    }

    /// Starts a read. A read that is in progress is dropped.
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

    /// Resends requests without a reply. Ends the read as undecided if a majority has replied without showing a chosen
    /// value, and without a result if it has lasted for `ROUND_MS`.
    pub(crate) fn tick(&mut self, now: Time, effects: &mut Effects) -> Option<ReadOutcome> {
        let read = self.pending.as_mut()?;
        if now < read.sent_at.plus_millis(RESEND_MS) {
            return None;
        }
        read.sent_at = now;
        let is_undecided = read.fetch.is_none() && read.list.has_quorum(&read.answered());
        if is_undecided || now >= read.started.plus_millis(ROUND_MS) {
            let undecided = read.undecided();
            self.pending = None;
            return is_undecided.then_some(undecided);
        }
        match &mut read.fetch {
            Some(fetch) => fetch.send(read.nonce, effects),
            None => read.send_to_unanswered(effects),
        }
        None
    }

    /// Handles a reply; returns the outcome of the read if it is known now.
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

    /// Handles a reply during a fetch. An acceptor that has accepted another value since then does not send the wanted
    /// one, so the next acceptor is asked.
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

    /// The proposal number whose value a majority has accepted, if there is one.
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
    /// Asks the next acceptor. If all have been asked, nothing is sent and the read lasts until its time limit.
    fn send(&mut self, nonce: u64, effects: &mut Effects) {
        self.asked = self.sources.pop();
        let Some(source) = self.asked else {
            return;
        };
        let read = ControlMessage::Read(Read {
            nonce,
            wanted: self.proposal,
        });
        effects.send_control(source, read);
    }
}
