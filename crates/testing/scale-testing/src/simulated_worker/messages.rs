//! What a runner sends and what it is answered, as JSON on the wire.

use serde::{Deserialize, Serialize};

/// A heartbeat's body.
#[derive(Serialize, Debug)]
pub struct Heartbeat<'a> {
    /// The service whose runner it is.
    pub service: &'a str,
    /// The address on which it accepts calls, `ip:port`.
    pub address: &'a str,
    /// Its failure domain.
    pub zone: &'a str,
    /// The version of the runner.
    pub version: &'a str,
    /// Runs that it takes at once.
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'a str,
    /// The rest of its slow start, in milliseconds.
    pub cold_remaining_ms: u64,
    /// All of its resources.
    pub capacity: Capacity,
    /// What placements may ask for.
    pub labels: &'a [String],
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// The number of the heartbeat.
    pub seq: u64,
    /// `[task, run, saved, percent]`.
    pub active: Vec<(&'a str, u64, &'a str, u8)>,
    /// `[number, task, run, how, saved]`.
    pub finished: Vec<(u64, &'a str, u64, &'a str, &'a str)>,
}

/// What a runner has.
#[derive(Serialize, Deserialize, Clone, Copy, Debug)]
pub struct Capacity {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Megabytes of memory.
    pub mem_mb: u64,
    /// Graphics processors.
    pub gpu: u64,
}

/// The answer to a heartbeat.
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct HeartbeatAnswer {
    /// The lease from the sending of the heartbeat, in milliseconds.
    pub hold_ms: Option<u64>,
    /// Ends up to this number may be forgotten.
    pub observed: u64,
    /// The fencing token: the term of the commands.
    pub fence_token: u64,
    /// `[task, run, spec, saved]`.
    pub start: Vec<(String, u64, String, String)>,
    /// `[task, run]`.
    pub stop: Vec<(String, u64)>,
    /// Time until the next heartbeat, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
