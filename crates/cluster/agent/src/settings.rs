//! The settings of an agent, and its counters.

use std::net::SocketAddrV4;

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings with which an agent is started.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process; no two processes at one address share it.
    pub incarnation: Incarnation,
    /// The core processes that the settings file names; the agent contacts these first.
    pub seeds: Vec<NodeId>,
    /// Time limits of the platform.
    pub bounds: Bounds,
    /// The interval at which the runner sends heartbeats if no reply sets another delay, in milliseconds.
    pub heartbeat_ms: u64,
    /// The address on which the runner accepts calls; `None` if its heartbeats name the address.
    pub runner_address: Option<SocketAddrV4>,
    /// A random number that spreads agents over core processes, relays and configuration parents.
    pub seed: u64,
}

/// The counters of an agent since its start.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Counters {
    /// The number of accepted heartbeats.
    pub heartbeats: u64,
    /// The number of heartbeats that were not newer than one accepted before.
    pub stale_heartbeats: u64,
    /// The number of heartbeats from replaced instances.
    pub replaced_heartbeats: u64,
    /// The number of heartbeats that could not be parsed or exceeded a limit.
    pub malformed_heartbeats: u64,
    /// The number of checkpoints that were left out of accepted heartbeats because they were too long.
    pub dropped_checkpoints: u64,
    /// The number of commands that were older than the adopted ones.
    pub older_commands: u64,
    /// The number of reports sent.
    pub reports: u64,
    /// The number of health checks sent to the runner.
    pub health_checks: u64,
    /// The number of health checks that found the runner dead.
    pub dead_runners: u64,
}
