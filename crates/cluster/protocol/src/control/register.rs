//! The register of configurations: both phases of a proposal, reads, and learning of the chosen value.
//!
//! The register is a CASPaxos register (Rystsov, 2018, section 2.2): a proposer prepares a proposal number at a
//! quorum, applies its change to the accepted value with the highest number among the promises, and has the result
//! accepted. Messages can be lost and repeated; each is answered for the proposal number that it names.

use deku::prelude::*;

use crate::collections::Blob;
use crate::id::{Incarnation, NodeId};

/// A proposal number (a ballot number in CASPaxos): ordered by counter, then process, then incarnation. The
/// incarnation separates the numbers that one process draws before and after a restart. The default, all zero,
/// stands for none.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct ProposalNumber {
    /// Above each counter that the proposer has seen.
    pub counter: u64,
    /// The proposer.
    pub node: NodeId,
    /// The proposer's incarnation.
    pub incarnation: Incarnation,
}

/// Phase 1: asks an acceptor to promise that it accepts nothing below `proposal`. Sent by a proposer to all
/// members; answered by [`Promise`] or [`Rejected`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Prepare {
    /// The number to be promised.
    pub proposal: ProposalNumber,
    /// The number of the value that the proposer holds already and that need not be sent; zero for none.
    pub known: ProposalNumber,
}

/// Promises a proposal number. Answers [`Prepare`], once the promise is synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Promise {
    /// The number that is promised.
    pub proposal: ProposalNumber,
    /// The number of the sender's accepted value; zero for none.
    pub accepted: ProposalNumber,
    /// The accepted value; empty where the proposer has it or there is none.
    pub value: Blob,
}

/// Phase 2: asks an acceptor to accept a value. Sent by a proposer whose number a quorum has promised; answered by
/// [`Accepted`] or [`Rejected`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accept {
    /// The number under which the value is proposed.
    pub proposal: ProposalNumber,
    /// The register's new value in full.
    pub value: Blob,
}

/// The kind of a configuration change.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ChangeKind {
    /// A full configuration.
    #[deku(id = 1)]
    Replace,
    /// Changes of named items.
    #[deku(id = 2)]
    Patch,
}

/// Phase 2 for an acceptor that holds the value on which the change builds: the change in place of the value.
/// Answered by [`Accepted`], [`Rejected`] or [`ValueNeeded`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct AcceptChange {
    /// The number under which the value is proposed.
    pub proposal: ProposalNumber,
    /// The number of the accepted value to which the change is applied.
    pub base_proposal: ProposalNumber,
    /// How `body` is applied.
    pub kind: ChangeKind,
    /// The version of the configuration on which the change builds.
    pub base_version: u64,
    /// The change as the operator sent it (JSON).
    pub body: Blob,
    /// SHA-256 of the value that results: an acceptor that computes another one asks for the value.
    pub result: [u8; 32],
}

/// The sender can't compute the value of this proposal from the change. Answers [`AcceptChange`]; the proposer
/// sends [`Accept`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ValueNeeded {
    /// The number under which the change was proposed.
    pub proposal: ProposalNumber,
}

/// The value of this proposal was accepted and synced. Answers [`Accept`] and [`AcceptChange`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accepted {
    /// The number under which the value was proposed.
    pub proposal: ProposalNumber,
}

/// A higher number was promised. Answers [`Prepare`], [`Accept`] and [`AcceptChange`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Rejected {
    /// The number that is rejected.
    pub proposal: ProposalNumber,
    /// The highest number that the sender has promised.
    pub promised: ProposalNumber,
}

/// Asks for the number of the accepted value without a promise, and for the value itself only where the reader names it.
/// Sent by a core process that reads the configuration at a quorum; answered by [`ReadReply`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Read {
    /// Matches replies with this read.
    pub nonce: u64,
    /// The number of the value that the reader wants to be sent; zero for none.
    pub wanted: ProposalNumber,
}

/// What the sender has accepted. Answers [`Read`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ReadReply {
    /// As in the request.
    pub nonce: u64,
    /// The number of the sender's accepted value; zero for none.
    pub accepted: ProposalNumber,
    /// The accepted value where it is the one that the reader wants; else empty.
    pub value: Blob,
}

/// The value of this proposal is chosen: a quorum has accepted it. Sent by the proposer to all members; answered by
/// [`Learned`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learn {
    /// The number of the chosen value.
    pub proposal: ProposalNumber,
}

/// The sender acts by the value of this proposal, or a newer one. Answers [`Learn`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learned {
    /// The number of the chosen value, as in [`Learn`].
    pub proposal: ProposalNumber,
}

/// The cluster's first value. Sent by the bootstrapping process to the other members of a new cluster; answered by
/// [`StateSynced`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Bootstrap {
    /// The number of the first value.
    pub proposal: ProposalNumber,
    /// The first value, which names the members.
    pub value: Blob,
}

/// The sender has synced the state that it needs to take part. Answers [`Bootstrap`]; a process also sends it to
/// itself, to learn that a value of its register is synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StateSynced {
    /// The number of the value that the sender holds.
    pub proposal: ProposalNumber,
}
