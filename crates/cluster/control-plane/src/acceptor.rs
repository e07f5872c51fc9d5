//! The register's acceptor (CASPaxos, Rystsov, 2018, section 2.2). Each promise and each accepted value is synced to
//! disk before the reply that states it is sent.

use crate::accept_change;
use crate::effects::Effects;
use crate::persisted::{put_proposals, put_value, AcceptorNumbers};
use crate::register_view::Chosen;
use crate::value::RegisterValue;
use sagetrail_protocol::control::{
    Accept, AcceptChange, Accepted, ControlMessage, Prepare, Promise, ProposalNumber, Read,
    ReadReply, Rejected, StateSynced, ValueNeeded,
};
use sagetrail_protocol::node::DiskOperation;
use sagetrail_protocol::{Blob, NodeId};
use std::sync::Arc;

/// The acceptor of one process.
#[derive(Debug, Default)]
pub(crate) struct Acceptor {
    /// The highest promised proposal number and that of the accepted value. The latter is never higher than the former.
    pub proposals: AcceptorNumbers,
    /// The accepted value, encoded.
    pub value: Blob,
    /// The version of the member list in the accepted value; 0 if no value is accepted.
    pub members_version: u64,
    /// The proposal number of the newest accepted value that is known to be synced to disk.
    pub synced: ProposalNumber,
}

impl Acceptor {
    /// Restores the state that was read from disk.
    pub(crate) fn restore(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.synced = proposals.accepted;
        self.adopt(proposals, value);
    }

    /// Adopts state that is being written to disk and is not synced yet.
    pub(crate) fn adopt(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.members_version = members_version(&value);
        self.proposals = proposals;
        self.value = value;
    }

    /// Handles the prepare phase: promises the proposal number, unless a higher one was promised.
    pub(crate) fn on_prepare(&mut self, from: NodeId, prepare: &Prepare, effects: &mut Effects) {
        if prepare.proposal < self.proposals.promised {
            return self.reject(from, prepare.proposal, effects);
        }
        self.proposals.promised = prepare.proposal;
        let promise = ControlMessage::Promise(Promise {
            proposal: prepare.proposal,
            accepted: self.proposals.accepted,
            value: self.value_unless(prepare.known),
        });
        effects.write(vec![put_proposals(&self.proposals)], vec![(from, promise)]);
    }

    /// Handles the accept phase: accepts the value, unless a higher proposal number was promised. `node` is the address
    /// of this process, which is notified once the value is synced.
    pub(crate) fn on_accept(
        &mut self,
        node: NodeId,
        from: NodeId,
        accept: Accept,
        effects: &mut Effects,
    ) {
        let proposal = accept.proposal;
        if proposal < self.proposals.promised {
            return self.reject(from, proposal, effects);
        }
        let proposals = AcceptorNumbers {
            promised: proposal,
            accepted: proposal,
        };
        self.adopt(proposals, accept.value);
        let synced = (node, ControlMessage::StateSynced(StateSynced { proposal }));
        let accepted = (from, ControlMessage::Accepted(Accepted { proposal }));
        effects.write(self.operations(), vec![synced, accepted]);
    }

    /// Handles the accept phase with the change instead of the value: applies the change to the accepted value if that
    /// is the one from which the proposer computed the new value, and asks for the full value otherwise.
    pub(crate) fn on_accept_change(
        &mut self,
        node: NodeId,
        from: NodeId,
        accept: &AcceptChange,
        effects: &mut Effects,
    ) {
        let proposal = accept.proposal;
        if proposal < self.proposals.promised {
            return self.reject(from, proposal, effects);
        }
        let value = match self.proposals.accepted {
            accepted if accepted == proposal => Some(self.value.clone()),
            accepted if accepted == accept.base_proposal => {
                accept_change::apply(accept, &self.value)
            }
            _ => None,
        };
        match value {
            Some(value) => self.on_accept(node, from, Accept { proposal, value }, effects),
            None => {
                effects.send_control(from, ControlMessage::ValueNeeded(ValueNeeded { proposal }))
            }
        }
    }

    /// The accepted value, decoded, in the form of a chosen one; `None` if no value is accepted. It is not necessarily
    /// chosen.
    pub(crate) fn accepted_value(&self) -> Option<Chosen> {
        let value = RegisterValue::decode(&self.value).ok()?;
        Some(Chosen {
            proposal: self.proposals.accepted,
            value: Arc::new(value),
        })
    }

    /// Handles a quorum read, which promises nothing. The reply is sent only once the value that it states as accepted
    /// is synced to disk.
    pub(crate) fn on_read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        let reply = ControlMessage::ReadReply(ReadReply {
            nonce: read.nonce,
            accepted: self.proposals.accepted,
            value: self.value_if(read.wanted),
        });
        if self.synced == self.proposals.accepted {
            return effects.send_control(from, reply);
        }
        effects.write(Vec::new(), vec![(from, reply)]);
    }

    /// Records that the value accepted under this proposal number is synced to disk.
    pub(crate) fn on_synced(&mut self, proposal: ProposalNumber) {
        self.synced = self.synced.max(proposal);
    }

    /// The disk operations that write the acceptor's complete state.
    pub(crate) fn operations(&self) -> Vec<DiskOperation> {
        vec![put_proposals(&self.proposals), put_value(&self.value)]
    }

    /// The accepted value; empty if the other process holds the value of this number already.
    fn value_unless(&self, known: ProposalNumber) -> Blob {
        if known == self.proposals.accepted {
            return Blob::default();
        }
        self.value.clone()
    }

    /// The accepted value if it was accepted under this proposal number, empty otherwise.
    fn value_if(&self, wanted: ProposalNumber) -> Blob {
        if wanted == self.proposals.accepted {
            return self.value.clone();
        }
        Blob::default()
    }

    fn reject(&self, from: NodeId, proposal: ProposalNumber, effects: &mut Effects) {
        let rejection = Rejected {
            proposal,
            promised: self.proposals.promised,
        };
        effects.send_control(from, ControlMessage::Rejected(rejection));
    }
}

/// The version of the member list, with which an encoded value begins; 0 if there is no value.
fn members_version(value: &Blob) -> u64 {
    let bytes = value
        .get(..size_of::<u64>())
        .and_then(|bytes| bytes.try_into().ok());
    bytes.map(u64::from_ne_bytes).unwrap_or_default()
}
