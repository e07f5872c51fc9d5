//! What an agent is started with.
use sagetrail_wire::bounds::Bounds;
use sagetrail_wire::{Incarnation, NodeId};

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub seeds: Vec<NodeId>,
    pub bounds: Bounds,
    /// About so often a runner sends a heartbeat unasked.
    pub heartbeat_ms: u64,
    /// Seeds the choice of whom to ask.
    pub seed: u64,
}
