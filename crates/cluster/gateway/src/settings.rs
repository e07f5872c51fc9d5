//! The settings with which a gateway process is started.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings with which a gateway process is started.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process; it differs between any two processes that run at the same address.
    pub incarnation: Incarnation,
    /// The core processes listed in the settings file, to which the first hellos are sent.
    pub seeds: Vec<NodeId>,
    /// The time limits of the platform; `grace_s` limits the graceful shutdown.
    pub bounds: Bounds,
    /// A random number that spreads gateways over configuration parents and relays.
    pub seed: u64,
}
