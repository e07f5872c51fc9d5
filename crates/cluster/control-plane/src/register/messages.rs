//! The messages of the register: requests to the acceptor, replies to the proposer and the reader, notices to the learner.

use sagetrail_protocol::control::{
    Accept, AcceptChange, Accepted, ChangesReply, ChangesRequest, ControlMessage, Learn, Learned,
    Prepare, Promise, ProposalNumber, Read, ReadReply, Rejected, ValueNeeded,
};
use sagetrail_protocol::{List, NodeId, Time};

use super::{CompletedChange, LearnWaiter, Register, RegisterProgress, ViewUpdate};
use super::{MAX_CHANGES_IN_REPLY, MAX_LEARN_WAITERS};
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::effects::Effects;
use crate::local_values::LocalValues;
use crate::proposer::Decision;

/// Messages to the acceptor. Only a process that knows what it has promised may answer them.
impl Register {
    /// A proposer's prepare phase.
    pub(crate) fn on_prepare(&mut self, from: NodeId, prepare: &Prepare, effects: &mut Effects) {
        self.proposer.observe_proposal(prepare.proposal);
        self.acceptor.on_prepare(from, prepare, effects);
    }

    /// A proposer's accept phase.
    pub(crate) fn on_accept(&mut self, from: NodeId, accept: Accept, effects: &mut Effects) {
        self.acceptor.on_accept(self.node, from, accept, effects);
    }

    /// A proposer's accept phase with the change alone.
    pub(crate) fn on_accept_change(
        &mut self,
        from: NodeId,
        accept: &AcceptChange,
        effects: &mut Effects,
    ) {
        self.acceptor
            .on_accept_change(self.node, from, accept, effects);
    }

    /// A read of what is accepted.
    pub(crate) fn on_read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        self.acceptor.on_read(from, read, effects);
    }
}

/// Replies to the proposer and to the reader.
impl Register {
    /// A member promised.
    pub(crate) fn on_promise(
        &mut self,
        now: Time,
        from: NodeId,
        promise: Promise,
        effects: &mut Effects,
    ) -> RegisterProgress {
        let changes = &self.accepted_changes;
        let decision = self
            .proposer
            .on_promise(now, from, promise, changes, effects);
        self.round_finished(now, decision, effects)
    }

    /// A member accepted.
    pub(crate) fn on_accepted(
        &mut self,
        now: Time,
        from: NodeId,
        accepted: &Accepted,
        effects: &mut Effects,
    ) -> RegisterProgress {
        let decision = self.proposer.on_accepted(from, accepted);
        self.round_finished(now, decision, effects)
    }

    /// A member has promised a higher proposal number.
    pub(crate) fn on_rejected(&mut self, now: Time, rejected: &Rejected) {
        self.proposer.on_rejected(now, rejected);
    }

    /// A member cannot make the value from the change.
    pub(crate) fn on_value_needed(
        &mut self,
        from: NodeId,
        needed: &ValueNeeded,
        effects: &mut Effects,
    ) {
        self.proposer.on_value_needed(from, needed, effects);
    }

    /// A member reported what it has accepted.
    pub(crate) fn on_read_reply(
        &mut self,
        now: Time,
        from: NodeId,
        reply: ReadReply,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        let local = LocalValues {
            acceptor: &self.acceptor,
            view: &self.view,
        };
        let outcome = self.reader.on_reply(now, from, reply, &local, effects)?;
        self.read_finished(now, outcome, effects)
    }

    fn round_finished(
        &mut self,
        now: Time,
        decision: Option<Decision>,
        effects: &mut Effects,
    ) -> RegisterProgress {
        let Some(decision) = decision else {
            return RegisterProgress::default();
        };
        let proposal = decision.chosen.proposal;
        // Former members are notified as well.
        let mut learners = self.view.list.all();
        let update = self.learn(decision.chosen, effects);
        self.freshen(now, decision.as_of);
        if decision.outcome == ChangeOutcome::Applied {
            learners.extend(self.view.list.all());
            let learn = ControlMessage::Learn(Learn { proposal });
            effects.broadcast(learners, &learn);
        }
        let completed = match decision.function {
            ChangeFunction::Config { number, .. } => Some(CompletedChange {
                number,
                outcome: decision.outcome,
                proposal,
            }),
            ChangeFunction::Identity | ChangeFunction::Members { .. } => None,
        };
        RegisterProgress { update, completed }
    }
}

/// Messages to the learner, and about accepted changes.
impl Register {
    /// A proposer's value was chosen; the proposer is notified once it is learned here.
    pub(crate) fn on_learn(
        &mut self,
        now: Time,
        from: NodeId,
        proposal: ProposalNumber,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        let update = self.newer_value_hint(now, proposal, effects);
        let known = self.view.proposal();
        if known >= proposal {
            let learned = ControlMessage::Learned(Learned { proposal: known });
            effects.control(from, learned);
        } else if self.learn_waiters.len() < MAX_LEARN_WAITERS {
            self.learn_waiters.push(LearnWaiter {
                node: from,
                proposal,
            });
        }
        update
    }

    /// Another process reports that the value of this proposal number is chosen.
    pub(crate) fn newer_value_hint(
        &mut self,
        now: Time,
        proposal: ProposalNumber,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        if proposal <= self.view.proposal() {
            return None;
        }
        if self.acceptor.proposals.accepted == proposal {
            if let Some(chosen) = self.accepted_value() {
                return self.learn(chosen, effects);
            }
        }
        if proposal > self.view.hinted {
            self.view.hinted = proposal;
            self.newer_value_hint_at = Some(now);
        }
        None
    }

    /// Another core process misses accepted changes. They are facts: reporting them needs no promise.
    pub(crate) fn on_changes_request(
        &self,
        from: NodeId,
        request: &ChangesRequest,
        effects: &mut Effects,
    ) {
        let (changes, more) = self
            .accepted_changes
            .from_base(request.after, MAX_CHANGES_IN_REPLY);
        let reply = ChangesReply {
            after: request.after,
            changes: List(changes),
            more,
        };
        effects.control(from, ControlMessage::ChangesReply(reply));
    }

    /// A member reported accepted changes.
    pub(crate) fn on_changes_reply(&mut self, from: NodeId, reply: &ChangesReply) {
        self.changes_fetch
            .on_reply(from, reply, &mut self.accepted_changes);
    }
}
