//! The steps that are due at a given time, in the order in which the parts run.

use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::Time;

use super::CoreNode;
use crate::persisted::{put_members, StoredMembers};
use crate::register::{RegisterDemand, ViewUpdate};

impl CoreNode {
    /// Runs the steps of all parts that are due.
    pub(super) fn step(&mut self) {
        let now = self.now.steady;
        self.membership.step(
            now,
            self.termination.is_requested(),
            &mut self.register,
            &mut self.terms,
            &mut self.effects,
        );
        self.step_register(now);
        self.register.fetch_changes(now, &mut self.effects);
        if self.membership.is_active() {
            // A process that has never participated stores nothing on disk.
            self.register.write_changes(&mut self.effects);
        }
        let may_stand = self.may_stand();
        let view = self.register.view();
        self.terms
            .step(self.now, may_stand, view, &mut self.effects);
        self.reconfiguration
            .step(now, &mut self.terms, &mut self.register);
        self.share_leases(now);
        self.subscribers
            .serve(now, self.register.view(), &mut self.effects);
        self.deliver_pending(now);
        self.step_termination(now);
    }

    /// Returns when the next step is due.
    pub(super) fn earliest_wake(&self) -> Option<Time> {
        let now = self.now.steady;
        let terminating = self.termination.is_requested();
        let is_idle = self.operator.is_idle();
        let wakes = [
            self.membership.next_wake(terminating, &self.register),
            self.register.next_wake(self.may_propose()),
            self.register.next_changes_wake(),
            self.operator.next_wake(&self.register),
            self.terms.next_wake(self.may_stand()),
            self.terms.election_yield_until(now),
            self.reconfiguration.next_wake(&self.terms, &self.register),
            self.leases.next_wake(),
            self.pending.next_wake(),
            self.termination.next_wake(now, is_idle, self.succession()),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Returns whether this process may run rounds of the register. It may if it knows its own promises or is not an
    /// acceptor. A member also waits for an election that is in progress.
    fn may_propose(&self) -> bool {
        let is_outsider = self.register.has_members() && !self.is_member();
        let yields = self.terms.election_yield_until(self.now.steady).is_some();
        is_outsider || (self.membership.is_active() && !yields)
    }

    /// Returns whether the membership of this process allows it to become a candidate.
    fn may_stand(&self) -> bool {
        self.membership.is_active() && self.is_member() && self.may_lead()
    }

    /// Returns whether this process is in the member list.
    fn is_member(&self) -> bool {
        self.register.members().contains(self.node)
    }

    fn step_register(&mut self, now: Time) {
        let demand = RegisterDemand {
            may_propose: self.may_propose(),
            fresh_as_of: self.required_freshness(),
        };
        let update = self.register.step(now, demand, &mut self.effects);
        self.on_view_update(update);
        self.operator
            .tick(now, &mut self.register, &mut self.effects);
    }

    /// Returns the latest time as of which a part of this process has to know the register.
    fn required_freshness(&self) -> Option<Time> {
        let required = [
            self.terms.fresh_as_of(),
            self.pending.fresh_as_of(),
            self.operator.fresh_as_of(),
        ];
        required.into_iter().flatten().max()
    }

    /// Passes the changes of a newly learned value to the parts.
    pub(super) fn on_view_update(&mut self, update: Option<ViewUpdate>) {
        let Some(update) = update else { return };
        if update.members {
            self.on_members_changed();
        }
        if update.config {
            if let Some(config) = self.register.view().config().cloned() {
                self.terms.on_config_changed(self.now, config);
            }
        }
    }

    fn on_members_changed(&mut self) {
        let members = self.register.members();
        self.reconfiguration.on_members_changed(members);
        if self.membership.is_active() {
            let operation = put_members(&StoredMembers::from(members));
            self.effects.write(vec![operation], Vec::new());
        }
    }

    /// Reports the leases that this process holds to the other members of the core.
    fn share_leases(&mut self, now: Time) {
        let Some(leases) = self.leases.take_report(now) else {
            return;
        };
        let mut others = self.register.members().all();
        others.remove(&self.node);
        let message = ControlMessage::MemberLeases(leases);
        self.effects.broadcast(others, &message);
    }

    fn deliver_pending(&mut self, now: Time) {
        while let Some(request) = self.pending.next_ready(now, self.register.view()) {
            self.deliver(request.from, request.message);
        }
    }

    /// Answers the remaining requests once the time for them is over, and resigns the term if this process may no
    /// longer lead.
    fn step_termination(&mut self, now: Time) {
        if !self.termination.is_requested() {
            return;
        }
        if self.termination.is_closing(now) {
            self.operator.close(&mut self.register, &mut self.effects);
        }
        if !self.may_lead() {
            self.step_down();
        }
    }
}
