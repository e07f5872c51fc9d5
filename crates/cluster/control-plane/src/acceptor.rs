//! The register's acceptor: what it said is on disk before it is said.

use crate::accept_change;
use crate::effects::Effects;
use crate::persisted::{put_proposals, put_value, AcceptorNumbers};
use sagetrail_protocol::control::{
    Accept, AcceptChange, Accepted, ControlMessage, Prepare, Promise, ProposalNumber, Read,
    ReadReply, Rejected, StateSynced, ValueNeeded,
};
use sagetrail_protocol::node::DiskOperation;
use sagetrail_protocol::{Blob, NodeId};

/// The acceptor of one process.
#[derive(Debug, Default)]
pub(crate) struct Acceptor {
    pub proposals: AcceptorNumbers,
    pub value: Blob,
    /// The member list's version in the accepted value.
    pub members_version: u64,
    /// The newest accepted value that is surely on disk.
    pub synced: ProposalNumber,
}

impl Acceptor {
    /// Takes up what was on disk.
    pub(crate) fn restore(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.synced = proposals.accepted;
        self.adopt(proposals, value);
    }

    /// Takes up what was told by others and is being written.
    pub(crate) fn adopt(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.members_version = members_version(&value);
        self.proposals = proposals;
        self.value = value;
    }

    /// First round.
    pub(crate) fn prepare(&mut self, from: NodeId, prepare: &Prepare, effects: &mut Effects) {
        if prepare.proposal < self.proposals.promised {
            return self.refuse(from, prepare.proposal, effects);
        }
        self.proposals.promised = prepare.proposal;
        let value = self.value_unless(prepare.known);
        let promised = Promise {
            proposal: prepare.proposal,
            accepted: self.proposals.accepted,
            value,
        };
        let then = vec![(from, ControlMessage::Promise(promised))];
        effects.write(vec![put_proposals(&self.proposals)], then);
    }

    /// Second round. `node` is the process itself.
    pub(crate) fn accept(
        &mut self,
        node: NodeId,
        from: NodeId,
        accept: Accept,
        effects: &mut Effects,
    ) {
        if accept.proposal < self.proposals.promised {
            return self.refuse(from, accept.proposal, effects);
        }
        let proposal = accept.proposal;
        self.adopt(
            AcceptorNumbers {
                promised: proposal,
                accepted: proposal,
            },
            accept.value,
        );
        let settled = (node, ControlMessage::StateSynced(StateSynced { proposal }));
        let accepted = (from, ControlMessage::Accepted(Accepted { proposal }));
        effects.write(self.operations(), vec![settled, accepted]);
    }

    /// Second round with the change alone, put on the accepted value.
    pub(crate) fn accept_change(
        &mut self,
        node: NodeId,
        from: NodeId,
        accept: &AcceptChange,
        effects: &mut Effects,
    ) {
        let proposal = accept.proposal;
        if proposal < self.proposals.promised {
            return self.refuse(from, proposal, effects);
        }
        let value = match self.proposals.accepted {
            accepted if accepted == proposal => Some(self.value.clone()),
            accepted if accepted == accept.base_proposal => {
                accept_change::result(accept, &self.value)
            }
            _ => None,
        };
        match value {
            Some(value) => self.accept(node, from, Accept { proposal, value }, effects),
            None => effects.control(from, ControlMessage::ValueNeeded(ValueNeeded { proposal })),
        }
    }

    /// A read promises nothing. The answer waits for the sync of what it tells.
    pub(crate) fn read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        let value = self.value_unless(read.known);
        let reply = ReadReply {
            nonce: read.nonce,
            accepted: self.proposals.accepted,
            value,
        };
        let reply = ControlMessage::ReadReply(reply);
        if self.synced == self.proposals.accepted {
            return effects.control(from, reply);
        }
        effects.write(Vec::new(), vec![(from, reply)]);
    }

    /// A value has been synced.
    pub(crate) fn settled(&mut self, proposal: ProposalNumber) {
        self.synced = self.synced.max(proposal);
    }

    /// Everything, to be written.
    pub(crate) fn operations(&self) -> Vec<DiskOperation> {
        vec![put_proposals(&self.proposals), put_value(&self.value)]
    }

    fn value_unless(&self, have: ProposalNumber) -> Blob {
        if have == self.proposals.accepted {
            return Blob::default();
        }
        self.value.clone()
    }

    fn refuse(&self, from: NodeId, proposal: ProposalNumber, effects: &mut Effects) {
        let refused = Rejected {
            proposal,
            promised: self.proposals.promised,
        };
        effects.control(from, ControlMessage::Rejected(refused));
    }
}

fn members_version(value: &Blob) -> u64 {
    let bytes = value
        .get(..size_of::<u64>())
        .and_then(|bytes| bytes.try_into().ok());
    bytes.map(u64::from_ne_bytes).unwrap_or_default()
}
