//! The register's acceptor: what it said is on disk before it is said.
use crate::accept_change;
use crate::effects::Effects;
use crate::persisted::{put_ballots, put_value, AcceptorBallots};
use sagetrail_protocol::control::{
    Accept, AcceptChange, Accepted, Ballot, ControlMessage, Prepare, Promised, Read, ReadReply,
    Refused, Settled, ValueNeeded,
};
use sagetrail_protocol::node::DiskOperation;
use sagetrail_protocol::{Blob, NodeId};

/// The acceptor of one process.
#[derive(Debug, Default)]
pub struct Acceptor {
    pub ballots: AcceptorBallots,
    pub value: Blob,
    /// The member list's version in the accepted value.
    pub members_version: u64,
    /// The newest accepted value that is surely on disk.
    pub synced: Ballot,
}

impl Acceptor {
    /// Takes up what was on disk.
    pub fn restore(&mut self, ballots: AcceptorBallots, value: Blob) {
        self.synced = ballots.accepted;
        self.adopt(ballots, value);
    }

    /// Takes up what was told by others and is being written.
    pub fn adopt(&mut self, ballots: AcceptorBallots, value: Blob) {
        self.members_version = members_version(&value);
        self.ballots = ballots;
        self.value = value;
    }

    /// First round.
    pub fn prepare(&mut self, from: NodeId, prepare: &Prepare, effects: &mut Effects) {
        if prepare.ballot < self.ballots.promised {
            return self.refuse(from, prepare.ballot, effects);
        }
        self.ballots.promised = prepare.ballot;
        let value = self.value_unless(prepare.have);
        let promised = Promised {
            ballot: prepare.ballot,
            accepted: self.ballots.accepted,
            value,
        };
        let then = vec![(from, ControlMessage::Promised(promised))];
        effects.write(vec![put_ballots(&self.ballots)], then);
    }

    /// Second round. `node` is the process itself.
    pub fn accept(&mut self, node: NodeId, from: NodeId, accept: Accept, effects: &mut Effects) {
        if accept.ballot < self.ballots.promised {
            return self.refuse(from, accept.ballot, effects);
        }
        let ballot = accept.ballot;
        self.adopt(
            AcceptorBallots {
                promised: ballot,
                accepted: ballot,
            },
            accept.value,
        );
        let settled = (node, ControlMessage::Settled(Settled { ballot }));
        let accepted = (from, ControlMessage::Accepted(Accepted { ballot }));
        effects.write(self.operations(), vec![settled, accepted]);
    }

    /// Second round with the change alone, put on the accepted value.
    pub fn accept_change(
        &mut self,
        node: NodeId,
        from: NodeId,
        accept: &AcceptChange,
        effects: &mut Effects,
    ) {
        let ballot = accept.ballot;
        if ballot < self.ballots.promised {
            return self.refuse(from, ballot, effects);
        }
        let value = match self.ballots.accepted {
            accepted if accepted == ballot => Some(self.value.clone()),
            accepted if accepted == accept.on => accept_change::result(accept, &self.value),
            _ => None,
        };
        match value {
            Some(value) => self.accept(node, from, Accept { ballot, value }, effects),
            None => effects.control(from, ControlMessage::ValueNeeded(ValueNeeded { ballot })),
        }
    }

    /// A read promises nothing. The answer waits for the sync of what it tells.
    pub fn read(&self, from: NodeId, read: &Read, effects: &mut Effects) {
        let value = self.value_unless(read.have);
        let reply = ReadReply {
            nonce: read.nonce,
            accepted: self.ballots.accepted,
            value,
        };
        let reply = ControlMessage::ReadReply(reply);
        if self.synced == self.ballots.accepted {
            return effects.control(from, reply);
        }
        effects.write(Vec::new(), vec![(from, reply)]);
    }

    /// A value has been synced.
    pub fn settled(&mut self, ballot: Ballot) {
        self.synced = self.synced.max(ballot);
    }

    /// Everything, to be written.
    pub fn operations(&self) -> Vec<DiskOperation> {
        vec![put_ballots(&self.ballots), put_value(&self.value)]
    }

    fn value_unless(&self, have: Ballot) -> Blob {
        if have == self.ballots.accepted {
            return Blob::default();
        }
        self.value.clone()
    }

    fn refuse(&self, from: NodeId, ballot: Ballot, effects: &mut Effects) {
        let refused = Refused {
            ballot,
            promised: self.ballots.promised,
        };
        effects.control(from, ControlMessage::Refused(refused));
    }
}

fn members_version(value: &Blob) -> u64 {
    let bytes = value
        .get(..size_of::<u64>())
        .and_then(|bytes| bytes.try_into().ok());
    bytes.map(u64::from_ne_bytes).unwrap_or_default()
}
