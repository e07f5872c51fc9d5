//! The settings of a gateway.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// What a gateway is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process; no two processes at one address share it.
    pub incarnation: Incarnation,
    /// Core processes to start from, by the settings file.
    pub seeds: Vec<NodeId>,
    /// Time limits of the platform; `grace_s` bounds the graceful shutdown.
    pub bounds: Bounds,
    /// Drawn at random; spreads gateways over configuration parents and relays.
    pub seed: u64,
}
