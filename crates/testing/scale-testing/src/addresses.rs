//! Addresses of a run, all on loopback: each process and each simulated worker has one of its own.

use std::net::{Ipv4Addr, SocketAddrV4};

use sagetrail_protocol::NodeId;

/// The first port for what processes say to each other, and the last.
pub const PEER_PORTS: [u16; 2] = [7380, 7395];
const CONTROL_PORT: u16 = 7300;
const CLIENT_PORT: u16 = 7301;
const READINESS_PORT: u16 = 7302;
const RUNNER_PORT: u16 = 8080;
/// The first address of each class, counted in the run's own network.
const FIRST_CORE: u32 = 1;
const FIRST_FRONTEND: u32 = 101;
const FIRST_WORKER: u32 = 513;
/// Counted from the first peer port, as the daemon does for agents.
const SIDE_PORT_OFFSET: u16 = 2;

/// The addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    network: u8,
}

impl Addresses {
    /// A network of loopback that other runs hardly use: by the process's id.
    pub fn of_process() -> Addresses {
        Addresses {
            network: (std::process::id() % 127) as u8 | 0x80,
        }
    }

    fn ip(self, number: u32) -> Ipv4Addr {
        Ipv4Addr::from((127 << 24) | (u32::from(self.network) << 16) | number)
    }

    /// A core process's machine.
    pub fn core_ip(self, number: u32) -> Ipv4Addr {
        self.ip(FIRST_CORE + number)
    }

    /// A frontend's machine.
    pub fn frontend_ip(self, number: u32) -> Ipv4Addr {
        self.ip(FIRST_FRONTEND + number)
    }

    /// A worker's machine.
    pub fn worker_ip(self, number: u32) -> Ipv4Addr {
        self.ip(FIRST_WORKER + number)
    }

    /// Where a worker's runner accepts calls.
    pub fn runner(self, number: u32) -> SocketAddrV4 {
        SocketAddrV4::new(self.worker_ip(number), RUNNER_PORT)
    }

    /// Where a machine is controlled.
    pub fn control(ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, CONTROL_PORT)
    }

    /// Where clients call a frontend.
    pub fn clients(ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, CLIENT_PORT)
    }

    /// Where a frontend is asked whether it is ready.
    pub fn readiness(ip: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(ip, READINESS_PORT)
    }

    /// A core process, as others name it.
    pub fn core_node(self, number: u32) -> NodeId {
        NodeId::from_address(SocketAddrV4::new(self.core_ip(number), PEER_PORTS[0]))
    }

    /// A worker's agent, as others name it.
    pub fn agent_node(self, number: u32) -> NodeId {
        NodeId::from_address(SocketAddrV4::new(
            self.worker_ip(number),
            PEER_PORTS[0] + SIDE_PORT_OFFSET,
        ))
    }
}
