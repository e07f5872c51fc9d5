//! The discovery messages by which processes find the core and the scheduler. A [`Hello`] renews the sender's
//! membership lease (leases as in Gray and Cheriton, 1989).

use deku::prelude::*;

use crate::collections::List;
use crate::id::{Incarnation, NodeId, NodeKind, Term};

/// The duration of a membership lease, in milliseconds.
pub const MEMBER_LEASE_MS: u64 = 3_000;
/// The time between two renewals of a membership lease, in milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 500;
/// The maximum number of relays in a directory.
pub const MAX_RELAYS: usize = 32;

/// Renews the sender's membership lease. Each process sends it to a core process every [`HELLO_INTERVAL_MS`], and core
/// processes send it to the seeds when they start. It is answered with [`Directory`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Hello {
    /// The kind of the sender.
    pub kind: NodeKind,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The newest version of the configuration that the sender has.
    pub config_version: u64,
}

/// The core processes and the leader that the answering core process knows. Answers a [`Hello`] or
/// [`DirectoryRequest`](crate::control::ControlMessage::DirectoryRequest). Of several directories, the receiver keeps
/// the one with the newest `term` and, for the same term, the newest `members_version`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Directory {
    /// The version of the member list.
    pub members_version: u64,
    /// The core processes that form the quorums of the control plane; empty before the bootstrap.
    pub members: List<NodeId>,
    /// The members after the pending membership change; empty if no change is pending.
    pub next_members: List<NodeId>,
    /// The newest term known to the answering process.
    pub term: Term,
    /// The leader of `term`, which runs the scheduler; `NodeId::default()` if none is known.
    pub leader: NodeId,
    /// The newest version of the configuration known to the answering process.
    pub config_version: u64,
    /// The processes that relay configurations, the preferred ones first; empty while the core serves all processes
    /// directly.
    pub relays: List<NodeId>,
}
