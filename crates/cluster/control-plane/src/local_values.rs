//! The values of the register that a process holds, whether or not it knows them to be chosen.
//!
//! Under one proposal number there is one value (CASPaxos, Rystsov, 2018, section 2.2), so a process that holds the value of a
//! number, by having accepted it or by having learned it, need not be sent it again.

use crate::acceptor::Acceptor;
use crate::register_view::{Chosen, RegisterView};
use crate::value::RegisterValue;
use sagetrail_protocol::control::ProposalNumber;
use std::sync::Arc;

/// What the acceptor and the learner of one process hold.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LocalValues<'a> {
    /// The process's acceptor.
    pub acceptor: &'a Acceptor,
    /// What the process knows of the chosen values.
    pub view: &'a RegisterView,
}

impl LocalValues<'_> {
    /// The value of this proposal number.
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

    /// The value of the highest proposal number.
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
