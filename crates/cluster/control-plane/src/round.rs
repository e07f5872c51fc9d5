//! One round of the register: the prepare and the accept phase of one proposal number (CASPaxos, Rystsov, 2018,
//! section 2.2).

use crate::accept_change;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::register_view::Chosen;
use crate::value::RegisterValue;
use sagetrail_protocol::control::{
    Accept, AcceptChange, ControlMessage, Prepare, Promise, ProposalNumber,
};
use sagetrail_protocol::{Blob, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The prepare phase: promises, and the newest value that their senders have accepted.
#[derive(Debug)]
pub(crate) struct PreparePhase {
    /// By acceptor, the proposal number of the value that it has accepted.
    pub accepted: BTreeMap<NodeId, ProposalNumber>,
    /// The highest of them.
    pub newest: ProposalNumber,
    /// The value accepted in `newest`.
    pub value: Option<Arc<RegisterValue>>,
}

/// The accept phase: a value, and the acceptors that have it on disk.
#[derive(Debug)]
pub(crate) struct AcceptPhase {
    /// The value that is to be accepted.
    pub value: Arc<RegisterValue>,
    /// `value`, encoded.
    bytes: Blob,
    /// Sent in the place of the value, but to the members in `need_value`.
    change: Option<AcceptChange>,
    /// Members that cannot make the value from the change.
    need_value: BTreeSet<NodeId>,
    /// A majority of each is needed: also of the list that the value itself names.
    quorums: Vec<MemberList>,
    accepted_by: BTreeSet<NodeId>,
    /// What becomes of the change function once the value is chosen.
    pub outcome: ChangeOutcome,
}

/// Where a round stands.
#[derive(Debug)]
pub(crate) enum Phase {
    Prepare(PreparePhase),
    Accept(Box<AcceptPhase>),
}

/// A round under way.
#[derive(Debug)]
pub(crate) struct Round {
    /// The number under which the round runs.
    pub proposal: ProposalNumber,
    /// The members that prepare.
    pub list: MemberList,
    /// The newest value held at the start: acceptors that hold the same one don't send it.
    known: Option<Chosen>,
    /// When the prepare phase began.
    pub started: Time,
    /// When the phase's message was last sent.
    pub sent_at: Time,
    /// Where the round stands.
    pub phase: Phase,
}

impl Round {
    /// A round that begins now with its prepare phase; nothing is sent yet.
    pub(crate) fn new(
        now: Time,
        proposal: ProposalNumber,
        list: MemberList,
        known: Option<Chosen>,
    ) -> Round {
        let prepare = PreparePhase {
            accepted: BTreeMap::new(),
            newest: ProposalNumber::default(),
            value: None,
        };
        Round {
            proposal,
            list,
            known,
            started: now,
            sent_at: now,
            phase: Phase::Prepare(prepare),
        }
    }

    /// Sends the phase's message to each member that has not answered.
    pub(crate) fn send(&self, effects: &mut Effects) {
        match &self.phase {
            Phase::Prepare(prepare) => self.send_prepare(prepare, effects),
            Phase::Accept(accept) => accept.send(self.proposal, effects),
        }
    }

    /// Sends again what had no answer, now with the value in the place of the change.
    pub(crate) fn resend(&mut self, now: Time, effects: &mut Effects) {
        self.sent_at = now;
        if let Phase::Accept(accept) = &mut self.phase {
            accept.change = None;
        }
        self.send(effects);
    }

    fn send_prepare(&self, phase: &PreparePhase, effects: &mut Effects) {
        let known = self
            .known
            .as_ref()
            .map(|known| known.proposal)
            .unwrap_or_default();
        let prepare = ControlMessage::Prepare(Prepare {
            proposal: self.proposal,
            known,
        });
        let members = self.list.all().into_iter();
        let unanswered = members.filter(|member| !phase.accepted.contains_key(member));
        effects.broadcast(unanswered, &prepare);
    }

    /// Counts a promise; true once a majority has promised.
    pub(crate) fn on_promise(&mut self, from: NodeId, promise: Promise) -> bool {
        let Phase::Prepare(prepare) = &mut self.phase else {
            return false;
        };
        prepare.accepted.insert(from, promise.accepted);
        if promise.accepted > prepare.newest {
            let known = self
                .known
                .as_ref()
                .filter(|known| known.proposal == promise.accepted);
            let sent = || RegisterValue::decode(&promise.value).ok().map(Arc::new);
            let value = known.map(|known| known.value.clone()).or_else(sent);
            if value.is_none() {
                prepare.accepted.remove(&from);
                return false;
            }
            prepare.newest = promise.accepted;
            prepare.value = value;
        }
        self.list
            .has_quorum(&prepare.accepted.keys().copied().collect())
    }

    /// Begins the accept phase with `value`. `node`: this process. `function`: what made the value of the one that
    /// was read; `None` where that value itself is proposed again.
    pub(crate) fn begin_accept(
        &mut self,
        node: NodeId,
        value: Arc<RegisterValue>,
        outcome: ChangeOutcome,
        function: Option<&ChangeFunction>,
        effects: &mut Effects,
    ) {
        let Phase::Prepare(prepare) = &self.phase else {
            return;
        };
        let mut quorums = vec![self.list.clone()];
        if value.members_version != self.list.version {
            quorums.push(value.member_list());
        }
        let bytes = Blob(value.encode());
        let change = function.and_then(|function| {
            accept_change::compose(function, self.proposal, prepare.newest, &bytes)
        });
        let accept = AcceptPhase {
            value,
            bytes,
            change,
            need_value: prepare.members_without_newest(node),
            quorums,
            accepted_by: BTreeSet::new(),
            outcome,
        };
        self.phase = Phase::Accept(Box::new(accept));
        self.send(effects);
    }
}

impl PreparePhase {
    /// Whether everyone who has promised has accepted the newest value: then it is chosen.
    pub(crate) fn is_unanimous(&self) -> bool {
        self.accepted
            .values()
            .all(|proposal| *proposal == self.newest)
    }

    /// Members that accepted another value than the one read, and `node` itself, to which nothing travels.
    fn members_without_newest(&self, node: NodeId) -> BTreeSet<NodeId> {
        let differs = self
            .accepted
            .iter()
            .filter(|(_, accepted)| **accepted != self.newest);
        differs.map(|(member, _)| *member).chain([node]).collect()
    }
}

impl AcceptPhase {
    /// Counts an acceptor; true once the value is chosen.
    pub(crate) fn on_accepted(&mut self, from: NodeId) -> bool {
        self.accepted_by.insert(from);
        self.quorums
            .iter()
            .all(|list| list.has_quorum(&self.accepted_by))
    }

    /// A member cannot make the value from the change: it is sent the value, once.
    pub(crate) fn on_value_needed(
        &mut self,
        from: NodeId,
        proposal: ProposalNumber,
        effects: &mut Effects,
    ) {
        if self.need_value.insert(from) {
            effects.control(from, self.message(proposal, from));
        }
    }

    fn send(&self, proposal: ProposalNumber, effects: &mut Effects) {
        let members: BTreeSet<NodeId> = self.quorums.iter().flat_map(MemberList::all).collect();
        for member in members.difference(&self.accepted_by) {
            effects.control(*member, self.message(proposal, *member));
        }
    }

    /// The change alone for a member that may hold the value before it, else the full value.
    fn message(&self, proposal: ProposalNumber, member: NodeId) -> ControlMessage {
        match &self.change {
            Some(change) if !self.need_value.contains(&member) => {
                ControlMessage::AcceptChange(change.clone())
            }
            _ => ControlMessage::Accept(Accept {
                proposal,
                value: self.bytes.clone(),
            }),
        }
    }
}
