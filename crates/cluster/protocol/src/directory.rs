//! How processes find the core and the scheduler. A `Hello` renews the sender's lease of membership.

use crate::collections::List;
use crate::id::{Incarnation, NodeId, NodeKind, Term};
use deku::prelude::*;

/// A lease of membership, in milliseconds.
pub const MEMBER_LEASE_MS: u64 = 3_000;
/// A process renews its lease this often, in milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 500;
/// The most processes that a directory names as relays.
pub const MAX_RELAYS: usize = 32;

/// Sent by each process to a core process, and by core processes to the seeds at their start.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Hello {
    pub kind: NodeKind,
    pub incarnation: Incarnation,
    /// The newest version of the configuration that the sender holds.
    pub config_version: u64,
}

/// A core process's answer: who is who. The receiver keeps the one of the newest `term`, then `members_version`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Directory {
    pub members_version: u64,
    /// The core processes that take part in agreement; empty before the cluster is founded.
    pub members: List<NodeId>,
    /// The members that are to follow; empty unless a change is under way.
    pub next_members: List<NodeId>,
    pub term: Term,
    /// The scheduler of that term; `NodeId::default()` where none is known.
    pub leader: NodeId,
    /// The newest version of the configuration known to the answering process.
    pub config_version: u64,
    /// Processes that a relay of configurations may be asked of, best first; empty while the core serves all itself.
    pub relays: List<NodeId>,
}
