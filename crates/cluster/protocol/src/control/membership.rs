//! Leases of membership of processes outside the core.

use deku::prelude::*;

use crate::collections::List;
use crate::id::NodeId;

/// A lease of membership that a process outside the core has renewed at the sender, by a
/// [`Hello`](crate::directory::Hello).
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberLease {
    /// The process that holds the lease.
    pub node: NodeId,
    /// What is left of the lease at the sending, in milliseconds; at most
    /// [`MEMBER_LEASE_MS`](crate::directory::MEMBER_LEASE_MS).
    pub remaining_ms: u16,
}

/// What the sender knows of processes outside the core by their greetings. Each core process sends it to the others
/// once a second; no answer. Its size doesn't grow with the number of processes.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct MemberLeases {
    /// How many processes hold a lease at the sender.
    pub count: u32,
    /// The best relays among them, at most [`MAX_RELAYS`](crate::directory::MAX_RELAYS).
    pub relays: List<MemberLease>,
}
