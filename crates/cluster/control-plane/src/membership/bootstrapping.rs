//! The bootstrap of the cluster: one process determines the members, and the others adopt its value.

use sagetrail_protocol::control::{Bootstrap, ControlMessage, ProposalNumber, StateSynced};
use sagetrail_protocol::{Blob, NodeId, Time};

use super::Membership;
use crate::effects::Effects;
use crate::persisted::AcceptorNumbers;
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::RESEND_MS;
use crate::value::RegisterValue;

/// The counter of the proposal number of the bootstrap value. Every later proposal number has a higher one.
const BOOTSTRAP_COUNTER: u64 = 1;

impl Membership {
    /// Determines the members once enough candidates have sent a hello.
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
            .and_then(|bootstrap| bootstrap.value_if_due(now))
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

    /// Handles the cluster's first value, sent by the bootstrapping process.
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
            return effects.send_control(from, synced);
        }
        let is_busy = self.sync_pending || self.recovery.is_some();
        if self.may_bootstrap && !is_busy {
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
        terms.mark_records_complete();
        register.adopt_members(value.member_list());
        self.write_state(proposal, sender, register, terms, effects);
    }

    /// Whether the accepted value is the bootstrap value that this process created.
    pub(super) fn is_bootstrapped_here(&self, register: &Register) -> bool {
        let proposal = register.acceptor().proposals.accepted;
        proposal.counter == BOOTSTRAP_COUNTER && proposal.node == self.node
    }

    /// Makes the bootstrapping process send its value to each other member until that member has acknowledged it, also
    /// after a restart.
    pub(super) fn begin_sending_bootstrap(&mut self, register: &Register) {
        if !self.is_bootstrapped_here(register) {
            return;
        }
        self.unacknowledged = register.members().all();
        self.unacknowledged.remove(&self.node);
    }

    /// Sends the bootstrap value to the members that have not acknowledged it, if that is due.
    pub(super) fn send_bootstrap(&mut self, now: Time, register: &Register, effects: &mut Effects) {
        if self.unacknowledged.is_empty() || now < self.bootstrap_send_at {
            return;
        }
        if !self.is_bootstrapped_here(register) {
            // A later value was accepted, so a majority has the bootstrap value. The other members recover.
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
