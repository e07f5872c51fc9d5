//! Discovery: how processes find the core and the scheduler. A [`Hello`] renews the sender's lease of membership
//! (leases as in Gray and Cheriton, 1989).

use deku::prelude::*;

use crate::collections::List;
use crate::id::{Incarnation, NodeId, NodeKind, Term};

/// The length of a lease of membership, in milliseconds.
pub const MEMBER_LEASE_MS: u64 = 3_000;
/// The time between two renewals of a lease, in milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 500;
/// The most processes that a directory names as relays.
pub const MAX_RELAYS: usize = 32;

/// Renews the sender's lease of membership. Sent by each process to a core process every [`HELLO_INTERVAL_MS`], and
/// by core processes to the seeds at their start; answered by [`Directory`].
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Hello {
    /// The sender's kind.
    pub kind: NodeKind,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The newest version of the configuration that the sender holds.
    pub config_version: u64,
}

/// The core processes and the leader, as far as the answering core process knows. Answers [`Hello`] and
/// [`DirectoryRequest`](crate::control::ControlMessage::DirectoryRequest). The receiver keeps the one of the newest
/// `term`, then `members_version`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Directory {
    /// The version of the member list.
    pub members_version: u64,
    /// The core processes that take part in agreement; empty before the bootstrap.
    pub members: List<NodeId>,
    /// The members after the change of membership that is under way; empty otherwise.
    pub next_members: List<NodeId>,
    /// The newest term known.
    pub term: Term,
    /// The leader of that term, which runs the scheduler; `NodeId::default()` where none is known.
    pub leader: NodeId,
    /// The newest version of the configuration known to the answering process.
    pub config_version: u64,
    /// Processes that relay configurations, best first; empty while the core serves all processes itself.
    pub relays: List<NodeId>,
}
