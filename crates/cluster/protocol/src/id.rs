//! What names a process, its incarnation and a term of office.

use deku::prelude::*;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A process of the cluster, named by the address on which it hears other processes.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct NodeId {
    /// The IPv4 address as a number, most significant byte first.
    pub ip: u32,
    /// The TCP port.
    pub port: u16,
}

impl NodeId {
    /// The process that listens at `address`.
    pub fn from_address(address: SocketAddrV4) -> NodeId {
        NodeId {
            ip: u32::from(*address.ip()),
            port: address.port(),
        }
    }

    /// Where the process listens.
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
    /// Stands beside one runner.
    #[deku(id = 1)]
    Side,
    /// Has a disk and takes part in agreement.
    #[deku(id = 2)]
    Core,
}

impl NodeKind {
    /// How much a process of this kind may carry for others outside the core; 0: nothing. A frontend's link is thin,
    /// and core processes are where everything comes from.
    pub fn relay_weight(self) -> u32 {
        match self {
            NodeKind::Side => 1,
            NodeKind::Frontend | NodeKind::Core => 0,
        }
    }
}

/// A term of office of the scheduler; rises with each election.
pub type Term = u64;

/// Drawn at random at each start of a process, never zero.
pub type Incarnation = u64;
