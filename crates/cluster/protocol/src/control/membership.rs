//! Leases of membership of processes outside the core.

use crate::collections::List;
use crate::id::NodeId;
use deku::prelude::*;

/// A lease of membership that a process outside the core has renewed at the sender.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberLease {
    pub node: NodeId,
    pub remaining_ms: u16,
}

/// What the sender alone knows of processes outside the core, by their greetings. Sent once a second; its size does
/// not grow with their number.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct MemberLeases {
    /// How many processes hold a lease at the sender.
    pub count: u32,
    /// The best relays among them, at most `MAX_RELAYS`.
    pub relays: List<MemberLease>,
}
