//! The identifiers of a process, of its incarnations and of a term.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use deku::prelude::*;

/// A process of the cluster, identified by the address at which it listens for other processes.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NodeId {
    /// The IPv4 address as a number, most significant byte first.
    pub ip: u32,
    /// The TCP port.
    pub port: u16,
}

impl NodeId {
    /// Returns the id of the process that listens at `address`.
    #[must_use]
    pub fn from_address(address: SocketAddrV4) -> NodeId {
        NodeId {
            ip: u32::from(*address.ip()),
            port: address.port(),
        }
    }

    /// Returns the address at which the process listens.
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

/// The kind of a process, which follows from the class of machine on which it runs.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug, Hash)]
#[deku(id_type = "u8")]
pub enum NodeKind {
    /// A gateway, which serves clients' requests.
    #[deku(id = 0)]
    Frontend,
    /// An agent, which runs next to one runner.
    #[deku(id = 1)]
    Side,
    /// A core process, which has a disk and participates in the control plane's quorums.
    #[deku(id = 2)]
    Core,
}

impl NodeKind {
    /// Returns the weight with which a process of this kind is chosen as a relay; a process with weight 0 is never
    /// chosen. Frontends are not chosen because their links have little bandwidth, and core processes because they are
    /// the source of the configurations.
    #[must_use]
    pub fn relay_weight(self) -> u32 {
        match self {
            NodeKind::Side => 1,
            NodeKind::Frontend | NodeKind::Core => 0,
        }
    }
}

/// A term of the leader, as in Raft. It increases with each election.
pub type Term = u64;

/// A number that distinguishes the starts of one process. It is drawn at random at each start and never zero.
pub type Incarnation = u64;
