//! The register of configurations: both phases of a proposal, reads, and learning of the chosen value.

use crate::collections::Blob;
use crate::id::{Incarnation, NodeId};
use deku::prelude::*;

/// Orders the rounds of the register. The incarnation keeps two lives of one process apart. All zero: none.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct ProposalNumber {
    pub counter: u64,
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// First round of the register: take nothing older than `proposal`, and tell what was accepted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Prepare {
    pub proposal: ProposalNumber,
    /// The value that the asker holds already and that need not be sent.
    pub known: ProposalNumber,
}

/// Promises a proposal number.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Promise {
    pub proposal: ProposalNumber,
    pub accepted: ProposalNumber,
    /// The accepted value; empty where the asker has it or there is none.
    pub value: Blob,
}

/// Second round of the register.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accept {
    pub proposal: ProposalNumber,
    pub value: Blob,
}

/// Which order of the operator a change is.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ChangeKind {
    #[deku(id = 1)]
    Replace,
    #[deku(id = 2)]
    Patch,
}

/// Second round of the register for a member that holds the value which the change builds on.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct AcceptChange {
    pub proposal: ProposalNumber,
    /// The proposal number of the accepted value on which the change is put.
    pub base_proposal: ProposalNumber,
    pub kind: ChangeKind,
    /// The version of the configuration on which the change builds.
    pub base_version: u64,
    pub body: Blob,
    /// SHA-256 of the value that results.
    pub result: [u8; 32],
}

/// The sender cannot make the value of this proposal number from the change: it needs the value whole.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ValueNeeded {
    pub proposal: ProposalNumber,
}

/// The value of this proposal number was accepted and synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accepted {
    pub proposal: ProposalNumber,
}

/// The proposal number came too late: a higher one was promised.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Rejected {
    pub proposal: ProposalNumber,
    pub promised: ProposalNumber,
}

/// Asks for the accepted value without a promise.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Read {
    pub nonce: u64,
    pub known: ProposalNumber,
}

/// The accepted value, left out where the asker has it.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ReadReply {
    pub nonce: u64,
    pub accepted: ProposalNumber,
    pub value: Blob,
}

/// The value of this proposal number is chosen.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learn {
    pub proposal: ProposalNumber,
}

/// The sender acts by the value of this proposal number, or a newer one.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learned {
    pub proposal: ProposalNumber,
}

/// The cluster's first value, from its founder.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Bootstrap {
    pub proposal: ProposalNumber,
    pub value: Blob,
}

/// The sender has synced what it needs to take part.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StateSynced {
    pub proposal: ProposalNumber,
}
