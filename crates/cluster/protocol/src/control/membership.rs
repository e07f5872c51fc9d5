//! The membership leases of processes outside the core.

use deku::prelude::*;

use crate::collections::List;
use crate::id::NodeId;

/// A membership lease that a process outside the core has renewed at the sender with a
/// [`Hello`](crate::directory::Hello).
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberLease {
    /// The process that holds the lease.
    pub node: NodeId,
    /// The remaining time of the lease when the message was sent, in milliseconds; it is at most
    /// [`MEMBER_LEASE_MS`](crate::directory::MEMBER_LEASE_MS).
    pub remaining_ms: u16,
}

/// A summary of the membership leases that processes outside the core have renewed at the sender with a
/// [`Hello`](crate::directory::Hello). Each core process sends it to the others once a second; it is not answered. Its
/// size does not grow with the number of processes.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct MemberLeases {
    /// The number of processes that hold a lease at the sender.
    pub count: u32,
    /// The leases of the preferred relays among these processes, at most
    /// [`MAX_RELAYS`](crate::directory::MAX_RELAYS).
    pub relays: List<MemberLease>,
}
