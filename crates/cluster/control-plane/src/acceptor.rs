//! The register's acceptor (CASPaxos, Rystsov, 2018, section 2.2): what it promises and accepts is on disk before it
//! is sent.

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
    /// The highest number promised, and that of the accepted value; the latter is at most the former.
    pub proposals: AcceptorNumbers,
    /// The accepted value, encoded.
    pub value: Blob,
    /// The member list's version in the accepted value.
    pub members_version: u64,
    /// The number of the newest accepted value that is surely on disk.
    pub synced: ProposalNumber,
}

impl Acceptor {
    /// Takes up what was on disk.
    pub(crate) fn restore(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.synced = proposals.accepted;
        self.adopt(proposals, value);
    }

    /// Takes up what was received from others and is being written.
    pub(crate) fn adopt(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.members_version = members_version(&value);
        self.proposals = proposals;
        self.value = value;
    }

    /// The prepare phase: promises the number, unless a higher one was promised.
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

    /// The accept phase: accepts the value, unless a higher number was promised. `node`: this process itself.
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

    /// The accept phase with the change alone, which is applied to the accepted value.
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
                accept_change::result(accept, &self.value)
            }
            _ => None,
        };
        match value {
            Some(value) => self.on_accept(node, from, Accept { proposal, value }, effects),
            None => effects.control(from, ControlMessage::ValueNeeded(ValueNeeded { proposal })),
        }
    }

    /// The accepted value as a chosen one, decoded; `None` before the first.
    pub(crate) fn accepted_value(&self) -> Option<Chosen> {
        let value = RegisterValue::decode(&self.value).ok()?;
        Some(Chosen {
            proposal: self.proposals.accepted,
            value: Arc::new(value),
        })
    }

    /// A quorum read promises nothing. The reply waits until the value that it names is on disk.
    pub(crate) fn on_read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        let reply = ControlMessage::ReadReply(ReadReply {
            nonce: read.nonce,
            accepted: self.proposals.accepted,
            value: self.value_if(read.wanted),
        });
        if self.synced == self.proposals.accepted {
            return effects.control(from, reply);
        }
        effects.write(Vec::new(), vec![(from, reply)]);
    }

    /// The value accepted in this proposal number has been synced.
    pub(crate) fn on_synced(&mut self, proposal: ProposalNumber) {
        self.synced = self.synced.max(proposal);
    }

    /// The acceptor's complete state, to be written.
    pub(crate) fn operations(&self) -> Vec<DiskOperation> {
        vec![put_proposals(&self.proposals), put_value(&self.value)]
    }

    /// The accepted value; empty where the other process has it.
    fn value_unless(&self, known: ProposalNumber) -> Blob {
        if known == self.proposals.accepted {
            return Blob::default();
        }
        self.value.clone()
    }

    /// The accepted value where it was accepted in this proposal number; else empty.
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
        effects.control(from, ControlMessage::Rejected(rejection));
    }
}

/// The version with which an encoded value begins; 0 of no value.
fn members_version(value: &Blob) -> u64 {
    let bytes = value
        .get(..size_of::<u64>())
        .and_then(|bytes| bytes.try_into().ok());
    bytes.map(u64::from_ne_bytes).unwrap_or_default()
}
