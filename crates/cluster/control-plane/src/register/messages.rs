//! The handlers for the register's messages: requests to the acceptor, replies to the proposer and to the reader, and
//! notifications about chosen values and accepted changes.

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

/// Messages to the acceptor. Only a process that knows its promises may answer them.
impl Register {
    /// Handles the prepare phase of a proposer.
    pub(crate) fn on_prepare(&mut self, from: NodeId, prepare: &Prepare, effects: &mut Effects) {
        self.proposer.observe_proposal(prepare.proposal);
        self.acceptor.on_prepare(from, prepare, effects);
    }

    /// Handles the accept phase of a proposer.
    pub(crate) fn on_accept(&mut self, from: NodeId, accept: Accept, effects: &mut Effects) {
        self.acceptor.on_accept(self.node, from, accept, effects);
    }

    /// Handles the accept phase of a proposer that sends the change instead of the value.
    pub(crate) fn on_accept_change(
        &mut self,
        from: NodeId,
        accept: &AcceptChange,
        effects: &mut Effects,
    ) {
        self.acceptor
            .on_accept_change(self.node, from, accept, effects);
    }

    /// Handles a quorum read of the accepted value.
    pub(crate) fn on_read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        self.acceptor.on_read(from, read, effects);
    }
}

/// Replies to the proposer and to the reader.
impl Register {
    /// Handles a member's promise.
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
        self.on_round_finished(now, decision, effects)
    }

    /// Handles a member's acceptance.
    pub(crate) fn on_accepted(
        &mut self,
        now: Time,
        from: NodeId,
        accepted: &Accepted,
        effects: &mut Effects,
    ) -> RegisterProgress {
        let decision = self.proposer.on_accepted(from, accepted);
        self.on_round_finished(now, decision, effects)
    }

    /// Handles the rejection by a member that has promised a higher proposal number.
    pub(crate) fn on_rejected(&mut self, now: Time, rejected: &Rejected) {
        self.proposer.on_rejected(now, rejected);
    }

    /// Handles the reply of a member that cannot compute the value from the change.
    pub(crate) fn on_value_needed(
        &mut self,
        from: NodeId,
        needed: &ValueNeeded,
        effects: &mut Effects,
    ) {
        self.proposer.on_value_needed(from, needed, effects);
    }

    /// Handles a member's reply to a quorum read.
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
        self.on_read_finished(now, outcome, effects)
    }

    fn on_round_finished(
        &mut self,
        now: Time,
        decision: Option<Decision>,
        effects: &mut Effects,
    ) -> RegisterProgress {
        let Some(decision) = decision else {
            return RegisterProgress::default();
        };
        let proposal = decision.chosen.proposal;
        // Members that the new value removes are notified as well.
        let mut learners = self.view.list.all();
        let update = self.learn(decision.chosen, effects);
        self.mark_fresh(now, decision.as_of);
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

/// Notifications about chosen values, and messages about accepted changes.
impl Register {
    /// Handles the notification of a proposer that its value is chosen. The proposer is notified in turn once this
    /// process has learned the value.
    pub(crate) fn on_learn(
        &mut self,
        now: Time,
        from: NodeId,
        proposal: ProposalNumber,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        let update = self.on_newer_value_hint(now, proposal, effects);
        let known = self.view.proposal();
        if known >= proposal {
            let learned = ControlMessage::Learned(Learned { proposal: known });
            effects.send_control(from, learned);
        } else if self.learn_waiters.len() < MAX_LEARN_WAITERS {
            self.learn_waiters.push(LearnWaiter {
                node: from,
                proposal,
            });
        }
        update
    }

    /// Handles the report of another process that the value of this proposal number is chosen. If this process has
    /// accepted that value, it learns it at once; otherwise it reads the register.
    pub(crate) fn on_newer_value_hint(
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

    /// Handles the request of another core process for accepted changes that it lacks. They were part of chosen values
    /// and cannot change any more, so this process may report them even if it does not know its promises.
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
        effects.send_control(from, ControlMessage::ChangesReply(reply));
    }

    /// Handles a member's reply with accepted changes.
    pub(crate) fn on_changes_reply(&mut self, from: NodeId, reply: &ChangesReply) {
        self.changes_fetch
            .on_reply(from, reply, &mut self.accepted_changes);
    }
}
