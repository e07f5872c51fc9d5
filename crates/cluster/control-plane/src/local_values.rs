//! The values of the register that a process holds, whether or not it knows that they are chosen.
//!
//! There is only one value under one proposal number (CASPaxos, Rystsov, 2018, section 2.2). A process that holds the
//! value of a number, because it has accepted or learned it, therefore need not be sent it again.

use crate::acceptor::Acceptor;
use crate::register_view::{Chosen, RegisterView};
use crate::value::RegisterValue;
use sagetrail_protocol::control::ProposalNumber;
use std::sync::Arc;

/// The values that the acceptor and the register view of one process hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalValues<'a> {
    /// The acceptor of the process.
    pub acceptor: &'a Acceptor,
    /// The chosen values that the process knows.
    pub view: &'a RegisterView,
}

impl LocalValues<'_> {
    /// The value of this proposal number, if the process holds it.
    pub(crate) fn value(&self, proposal: ProposalNumber) -> Option<Arc<RegisterValue>> {
        let learned = self
            .view
            .chosen
            .as_ref()
            .filter(|chosen| chosen.proposal == proposal);
        match learned {
            Some(chosen) => Some(chosen.value.clone()),
            None => self.accepted(proposal).map(|accepted| accepted.value),
        }
    }

    /// The value with the highest proposal number among those that the process holds.
    pub(crate) fn newest(&self) -> Option<Chosen> {
        let accepted = self.acceptor.proposals.accepted;
        if accepted > self.view.proposal() {
            return self.accepted(accepted);
        }
        self.view.chosen.clone()
    }

    fn accepted(&self, proposal: ProposalNumber) -> Option<Chosen> {
        (self.acceptor.proposals.accepted == proposal)
            .then(|| self.acceptor.accepted_value())
            .flatten()
    }
}
