//! The ids of this process and of its seeds, and the random numbers that it draws at its start.

use rand::rngs::OsRng;
use rand::TryRngCore;

use sagetrail_protocol::{Incarnation, NodeId, NodeKind};

use crate::settings::Settings;

/// Returns the offset of the port of this kind of process from the first port of `port_range`.
fn port_offset(kind: NodeKind) -> u16 {
    match kind {
        NodeKind::Core => 0,
        NodeKind::Frontend => 1,
        NodeKind::Side => 2,
    }
}

/// Returns the id of this process: the machine's address and the port of its kind.
pub fn node_id(settings: &Settings, kind: NodeKind) -> NodeId {
    NodeId {
        ip: u32::from(settings.ip),
        port: settings.first_port() + port_offset(kind),
    }
}

/// Returns the ids of the core processes that the settings name as seeds. The settings give their `control` addresses,
/// of which only the IP address is used: the ports for messages between processes are the same on all machines.
pub fn seed_nodes(settings: &Settings) -> Vec<NodeId> {
    let port = settings.first_port() + port_offset(NodeKind::Core);
    settings
        .seeds
        .iter()
        .map(|seed| NodeId {
            ip: u32::from(*seed.ip()),
            port,
        })
        .collect()
}

/// Draws a number from the system's random source.
///
/// # Panics
///
/// Panics if the system has no random source.
pub fn draw_seed() -> u64 {
    OsRng.try_next_u64().expect("the system's random source")
}

/// Draws an incarnation, which is never zero.
///
/// # Panics
///
/// Panics if the system has no random source.
pub fn draw_incarnation() -> Incarnation {
    draw_seed().max(1)
}
