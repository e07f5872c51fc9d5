//! What an agent is started with, and what it counts.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};
use std::net::SocketAddrV4;

/// What an agent is started with.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub seeds: Vec<NodeId>,
    pub bounds: Bounds,
    /// About so often a runner sends a heartbeat unasked.
    pub heartbeat_ms: u64,
    /// Where the runner accepts calls; unknown: where its heartbeats say.
    pub runner_address: Option<SocketAddrV4>,
    /// Seeds the choice of whom to ask.
    pub seed: u64,
}

/// What an agent has counted.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counters {
    /// Heartbeats that were taken.
    pub heartbeats: u64,
    /// Heartbeats not newer than one taken before.
    pub stale_heartbeats: u64,
    /// Heartbeats of replaced instances.
    pub replaced_heartbeats: u64,
    /// Heartbeats that could not be read.
    pub malformed_heartbeats: u64,
    /// Orders older than those adopted.
    pub older_orders: u64,
    /// Reports sent.
    pub reports: u64,
    /// Looks at the runner.
    pub health_checks: u64,
    /// Looks that found it dead.
    pub deaths: u64,
}
