//! The settings of an agent, and its counters.

use std::net::SocketAddrV4;

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// What an agent is started with.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process; no two processes at one address share it.
    pub incarnation: Incarnation,
    /// Core processes to start from, by the settings file.
    pub seeds: Vec<NodeId>,
    /// Time limits of the platform.
    pub bounds: Bounds,
    /// The interval of heartbeats that the runner sends by itself, in milliseconds.
    pub heartbeat_ms: u64,
    /// The address on which the runner accepts calls; `None`: the one that its heartbeats name.
    pub runner_address: Option<SocketAddrV4>,
    /// Drawn at random; spreads agents over core processes, relays and configuration parents.
    pub seed: u64,
}

/// What an agent has counted since its start.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counters {
    /// Heartbeats that were accepted.
    pub heartbeats: u64,
    /// Heartbeats not newer than one accepted before.
    pub stale_heartbeats: u64,
    /// Heartbeats of replaced instances.
    pub replaced_heartbeats: u64,
    /// Heartbeats that could not be read.
    pub malformed_heartbeats: u64,
    /// Commands older than those adopted.
    pub older_commands: u64,
    /// Reports sent.
    pub reports: u64,
    /// Health checks of the runner.
    pub health_checks: u64,
    /// Health checks that found the runner dead.
    pub dead_runners: u64,
}
