//! The register of configurations: both phases of a proposal, reads, and learning of the chosen value.
//!
//! The register is a CASPaxos register (Rystsov, 2018, section 2.2). A proposer prepares a proposal number at a quorum,
//! applies its change to the accepted value with the highest number among the promises, and proposes the result to the
//! acceptors. Messages can be lost and repeated; each answer refers to the proposal number in the message.

use deku::prelude::*;

use crate::collections::Blob;
use crate::id::{Incarnation, NodeId};

/// A proposal number (a ballot number in CASPaxos). Numbers are ordered by counter, then process, then incarnation. The
/// incarnation distinguishes the numbers that one process chooses before and after a restart. The default, all zero,
/// means that there is no number.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct ProposalNumber {
    /// The counter, which is above every counter that the proposer has seen.
    pub counter: u64,
    /// The address of the proposer.
    pub node: NodeId,
    /// The incarnation of the proposer.
    pub incarnation: Incarnation,
}

/// Starts phase 1: requests the promise of an acceptor that it accepts no number below `proposal`. A proposer sends it
/// to all members, which answer with [`Promise`] or [`Rejected`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Prepare {
    /// The proposal number to be promised.
    pub proposal: ProposalNumber,
    /// The number of the value that the proposer already has, which need not be sent; zero if it has none.
    pub known: ProposalNumber,
}

/// Promises a proposal number. Answers a [`Prepare`] once the promise is synced to disk.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Promise {
    /// The promised proposal number.
    pub proposal: ProposalNumber,
    /// The number of the sender's accepted value; zero if it has none.
    pub accepted: ProposalNumber,
    /// The accepted value; empty if the proposer already has it or there is none.
    pub value: Blob,
}

/// Starts phase 2: requests that an acceptor accepts a value. A proposer sends it once a quorum has promised its
/// number; it is answered with [`Accepted`] or [`Rejected`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accept {
    /// The number under which the value is proposed.
    pub proposal: ProposalNumber,
    /// The full new value of the register.
    pub value: Blob,
}

/// The kind of a configuration change.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ChangeKind {
    /// The change replaces the full configuration.
    #[deku(id = 1)]
    Replace,
    /// The change patches named items.
    #[deku(id = 2)]
    Patch,
}

/// Starts phase 2 at an acceptor that already has the value to which the change is applied. It contains the change
/// instead of the resulting value, and is answered with [`Accepted`], [`Rejected`] or [`ValueNeeded`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct AcceptChange {
    /// The number under which the value is proposed.
    pub proposal: ProposalNumber,
    /// The number of the accepted value to which the change is applied.
    pub base_proposal: ProposalNumber,
    /// The kind of change, which determines how `body` is applied.
    pub kind: ChangeKind,
    /// The version of the configuration to which the change is applied.
    pub base_version: u64,
    /// The change as the operator sent it, which is JSON.
    pub body: Blob,
    /// The SHA-256 digest of the resulting value. An acceptor whose result has a different digest requests the value.
    pub result: [u8; 32],
}

/// Reports that the sender cannot compute the value of a proposal from the change. Answers an [`AcceptChange`]; the
/// proposer then sends an [`Accept`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ValueNeeded {
    /// The number under which the change was proposed.
    pub proposal: ProposalNumber,
}

/// Reports that the value of a proposal was accepted and synced to disk. Answers an [`Accept`] or [`AcceptChange`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accepted {
    /// The number under which the value was proposed.
    pub proposal: ProposalNumber,
}

/// Rejects a proposal because a higher number was promised. Answers a [`Prepare`], [`Accept`] or [`AcceptChange`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Rejected {
    /// The rejected proposal number.
    pub proposal: ProposalNumber,
    /// The highest number that the sender has promised.
    pub promised: ProposalNumber,
}

/// Requests the number of the accepted value without a promise, and the value itself only if its number is `wanted`. A
/// core process that reads the configuration at a quorum sends it; it is answered with [`ReadReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Read {
    /// A number that matches replies to this read.
    pub nonce: u64,
    /// The number of the value that the reader requests; zero if it requests none.
    pub wanted: ProposalNumber,
}

/// The number of the value that the sender has accepted, and the value if it was requested. Answers a [`Read`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ReadReply {
    /// The nonce of the request.
    pub nonce: u64,
    /// The number of the sender's accepted value; zero if it has none.
    pub accepted: ProposalNumber,
    /// The accepted value if the reader requested it; otherwise empty.
    pub value: Blob,
}

/// Announces that the value of a proposal is chosen, which means that a quorum has accepted it. The proposer sends it
/// to all members, which answer with [`Learned`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learn {
    /// The number of the chosen value.
    pub proposal: ProposalNumber,
}

/// Reports that the sender uses the value of a proposal, or a newer value. Answers a [`Learn`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learned {
    /// The number of the chosen value, as in [`Learn`].
    pub proposal: ProposalNumber,
}

/// Transfers the cluster's first value. The bootstrapping process sends it to the other members of a new cluster, which
/// answer with [`StateSynced`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Bootstrap {
    /// The number of the first value.
    pub proposal: ProposalNumber,
    /// The first value of the register, which contains the member list.
    pub value: Blob,
}

/// Reports that the sender has synced the state that it needs to participate. Answers a [`Bootstrap`]; a process also
/// sends it to itself, to be notified that a value of its register is synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StateSynced {
    /// The number of the value that the sender has stored.
    pub proposal: ProposalNumber,
}
