//! Names of a process, its incarnation and a term.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use deku::prelude::*;

/// A process of the cluster, named by the address at which it listens for other processes.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NodeId {
    /// The IPv4 address as a number, most significant byte first.
    pub ip: u32,
    /// The TCP port.
    pub port: u16,
}

impl NodeId {
    /// The process that listens at `address`.
    #[must_use]
    pub fn from_address(address: SocketAddrV4) -> NodeId {
        NodeId {
            ip: u32::from(*address.ip()),
            port: address.port(),
        }
    }

    /// Where the process listens.
    #[must_use]
    pub fn address(self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.ip), self.port)
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}", self.address())
    }
}

impl fmt::Debug for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

/// The class of machine that a process runs on.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Hash)]
#[deku(id_type = "u8")]
pub enum NodeKind {
    /// Takes clients' requests.
    #[deku(id = 0)]
    Frontend,
    /// The agent beside one runner.
    #[deku(id = 1)]
    Side,
    /// Has a disk and takes part in the control plane's quorums.
    #[deku(id = 2)]
    Core,
}

impl NodeKind {
    /// The weight with which a process of this kind is chosen as a relay; 0: never. A frontend's link is narrow, and
    /// core processes are the source.
    #[must_use]
    pub fn relay_weight(self) -> u32 {
        match self {
            NodeKind::Side => 1,
            NodeKind::Frontend | NodeKind::Core => 0,
        }
    }
}

/// A term of the leader, as in Raft; rises with each election.
pub type Term = u64;

/// Tells apart the starts of one process: drawn at random at each start, never zero.
pub type Incarnation = u64;
