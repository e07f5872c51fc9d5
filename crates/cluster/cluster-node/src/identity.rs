//! Names of this process and of its seeds, and what it draws at random.

use rand::rngs::OsRng;
use rand::TryRngCore;

use sagetrail_protocol::{Incarnation, NodeId, NodeKind};

use crate::settings::Settings;

/// The port of a kind of process, counted from the first of `port_range`.
fn port_offset(kind: NodeKind) -> u16 {
    match kind {
        NodeKind::Core => 0,
        NodeKind::Frontend => 1,
        NodeKind::Side => 2,
    }
}

/// The id of this process: its own address and the port of its kind.
pub fn node_id(settings: &Settings, kind: NodeKind) -> NodeId {
    NodeId {
        ip: u32::from(settings.ip),
        port: settings.first_port() + port_offset(kind),
    }
}

/// The seeds as core processes. Settings name their `control` addresses; ports are the same on all machines.
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
/// Where the system has no random source.
pub fn draw_seed() -> u64 {
    OsRng.try_next_u64().expect("the system's random source")
}

/// Draws an incarnation, never zero.
///
/// # Panics
///
/// As [`draw_seed`].
pub fn draw_incarnation() -> Incarnation {
    draw_seed().max(1)
}
