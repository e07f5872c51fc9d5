//! What a gateway is started with.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This process.
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Core processes by the settings file.
    pub seeds: Vec<NodeId>,
    pub bounds: Bounds,
    /// Drawn at random; spreads gateways over parents and relays.
    pub seed: u64,
}
