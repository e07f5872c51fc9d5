//! One round of the register: the prepare phase and the accept phase of one proposal number (CASPaxos, Rystsov, 2018,
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

/// The state of the prepare phase: the promises received, and the newest value that their senders have accepted.
#[derive(Debug)]
pub(crate) struct PreparePhase {
    /// The acceptors that have promised, each with the proposal number of the value that it has accepted.
    pub accepted: BTreeMap<NodeId, ProposalNumber>,
    /// The highest proposal number in `accepted`.
    pub newest: ProposalNumber,
    /// The value accepted under `newest`; `None` if no value was accepted.
    pub value: Option<Arc<RegisterValue>>,
}

/// The state of the accept phase: the value, and the acceptors that have synced it to disk.
#[derive(Debug)]
pub(crate) struct AcceptPhase {
    /// The value that is to be accepted.
    pub value: Arc<RegisterValue>,
    /// `value`, encoded.
    bytes: Blob,
    /// The change that is sent instead of the value, except to the members in `need_value`; `None` if the value is sent
    /// to all.
    change: Option<AcceptChange>,
    /// The members that cannot compute the value from the change.
    need_value: BTreeSet<NodeId>,
    /// The member lists of which a majority each has to accept: the list of the round, and the list in the value if
    /// that is another one.
    quorums: Vec<MemberList>,
    /// The acceptors that have accepted the value.
    accepted_by: BTreeSet<NodeId>,
    /// The outcome of the change function once the value is chosen.
    pub outcome: ChangeOutcome,
}

/// The phase of a round.
#[derive(Debug)]
pub(crate) enum Phase {
    Prepare(PreparePhase),
    Accept(Box<AcceptPhase>),
}

/// A round that is running.
#[derive(Debug)]
pub(crate) struct Round {
    /// The proposal number of the round.
    pub proposal: ProposalNumber,
    /// The member list whose members are sent the prepare message.
    pub list: MemberList,
    /// The newest value that this process held at the start. Acceptors that hold the same one do not send it.
    known: Option<Chosen>,
    /// When the prepare phase began.
    pub started: Time,
    /// When the message of the current phase was last sent.
    pub sent_at: Time,
    /// The current phase.
    pub phase: Phase,
}

impl Round {
    /// Creates a round that begins at `now` with its prepare phase, without sending anything.
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

    /// Sends the message of the current phase to each member that has not replied.
    pub(crate) fn send(&self, effects: &mut Effects) {
        match &self.phase {
            Phase::Prepare(prepare) => self.send_prepare(prepare, effects),
            Phase::Accept(accept) => accept.send(self.proposal, effects),
        }
    }

    /// Resends the message of the current phase to each member that has not replied. In the accept phase the full value
    /// is sent instead of the change.
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

    /// Counts a promise; returns whether a majority has promised.
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

    /// Begins the accept phase with `value`. `node` is this process. `function` is the change function that produced
    /// `value` from the value that was read; it is `None` if the value that was read is proposed again.
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
            accept_change::build(function, self.proposal, prepare.newest, &bytes)
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
    /// Whether all acceptors that have promised have accepted the newest value. They are a majority, so that value is
    /// chosen.
    pub(crate) fn is_unanimous(&self) -> bool {
        self.accepted
            .values()
            .all(|proposal| *proposal == self.newest)
    }

    /// The members that have accepted another value than the newest one, and `node` itself, to which the full value can
    /// be given without sending it over the network.
    fn members_without_newest(&self, node: NodeId) -> BTreeSet<NodeId> {
        let differs = self
            .accepted
            .iter()
            .filter(|(_, accepted)| **accepted != self.newest);
        differs.map(|(member, _)| *member).chain([node]).collect()
    }
}

impl AcceptPhase {
    /// Counts an acceptor; returns whether the value is chosen.
    pub(crate) fn on_accepted(&mut self, from: NodeId) -> bool {
        self.accepted_by.insert(from);
        self.quorums
            .iter()
            .all(|list| list.has_quorum(&self.accepted_by))
    }

    /// Sends the full value, once, to a member that cannot compute it from the change.
    pub(crate) fn on_value_needed(
        &mut self,
        from: NodeId,
        proposal: ProposalNumber,
        effects: &mut Effects,
    ) {
        if self.need_value.insert(from) {
            effects.send_control(from, self.message(proposal, from));
        }
    }

    fn send(&self, proposal: ProposalNumber, effects: &mut Effects) {
        let members: BTreeSet<NodeId> = self.quorums.iter().flat_map(MemberList::all).collect();
        for member in members.difference(&self.accepted_by) {
            effects.send_control(*member, self.message(proposal, *member));
        }
    }

    /// The accept message for a member: the change if the member may hold the value to which it applies, the full value
    /// otherwise.
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
