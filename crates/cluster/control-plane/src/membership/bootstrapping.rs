//! The bootstrap of the cluster: one process fixes the members, the others take its value over.

use super::Membership;
use crate::effects::Effects;
use crate::persisted::AcceptorNumbers;
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::RESEND_MS;
use crate::value::RegisterValue;
use sagetrail_protocol::control::{Bootstrap, ControlMessage, ProposalNumber, StateSynced};
use sagetrail_protocol::{Blob, NodeId, Time};

/// The bootstrap value's proposal number has this counter; every later one a higher one.
const BOOTSTRAP_COUNTER: u64 = 1;

impl Membership {
    /// Fixes the members once enough candidates have said hello.
    pub(super) fn bootstrap_cluster(
        &mut self,
        now: Time,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Some(value) = self
            .bootstrap
            .as_ref()
            .and_then(|bootstrap| bootstrap.due(now))
        else {
            return;
        };
        self.bootstrap = None;
        let proposal = ProposalNumber {
            counter: BOOTSTRAP_COUNTER,
            node: self.node,
            incarnation: self.incarnation,
        };
        let bootstrap = Bootstrap {
            proposal,
            value: Blob(value.encode()),
        };
        self.adopt_bootstrap(bootstrap, None, register, terms, effects);
    }

    /// The bootstrapping process sent the cluster's first value.
    pub(crate) fn on_bootstrap(
        &mut self,
        from: NodeId,
        bootstrap: Bootstrap,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        if self.active {
            let synced = ControlMessage::StateSynced(StateSynced {
                proposal: bootstrap.proposal,
            });
            return effects.control(from, synced);
        }
        let busy = self.sync_pending || self.recovery.is_some();
        if self.may_bootstrap && !busy {
            self.adopt_bootstrap(bootstrap, Some(from), register, terms, effects);
        }
    }

    fn adopt_bootstrap(
        &mut self,
        bootstrap: Bootstrap,
        sender: Option<NodeId>,
        register: &mut Register,
        terms: &mut Terms,
        effects: &mut Effects,
    ) {
        let Ok(value) = RegisterValue::decode(&bootstrap.value) else {
            return;
        };
        let proposal = bootstrap.proposal;
        let proposals = AcceptorNumbers {
            promised: proposal,
            accepted: proposal,
        };
        register.adopt(proposals, bootstrap.value);
        terms.records_are_complete();
        register.adopt_members(value.member_list());
        self.write_state(proposal, sender, register, terms, effects);
    }

    /// Whether the accepted value is the bootstrap value of this very process.
    pub(super) fn bootstrapped_here(&self, register: &Register) -> bool {
        let proposal = register.acceptor().proposals.accepted;
        proposal.counter == BOOTSTRAP_COUNTER && proposal.node == self.node
    }

    /// The bootstrapping process sends its value to all others until each has acknowledged it, also after a restart.
    pub(super) fn begin_sending_bootstrap(&mut self, register: &Register) {
        if !self.bootstrapped_here(register) {
            return;
        }
        self.unacknowledged = register.members().all();
        self.unacknowledged.remove(&self.node);
    }

    /// Sends the bootstrap value to those that have not acknowledged it.
    pub(super) fn send_bootstrap(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        if self.unacknowledged.is_empty() || now < self.bootstrap_send_at {
            return;
        }
        if !self.bootstrapped_here(register) {
            // A later value was accepted, so a majority has the bootstrap; the others recover.
            return self.unacknowledged.clear();
        }
        self.bootstrap_send_at = now.plus_millis(RESEND_MS);
        let bootstrap = ControlMessage::Bootstrap(Bootstrap {
            proposal: register.acceptor().proposals.accepted,
            value: register.acceptor().value.clone(),
        });
        effects.broadcast(self.unacknowledged.iter().copied(), &bootstrap);
    }
}
