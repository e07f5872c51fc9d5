//! What a runner sends and what it is answered, as JSON on the wire.

use serde::{Deserialize, Serialize};

/// A heartbeat's body.
#[derive(Serialize, Debug)]
pub struct Heartbeat<'a> {
    pub service: &'a str,
    pub address: &'a str,
    pub zone: &'a str,
    pub version: &'a str,
    pub slots: u32,
    pub state: &'a str,
    pub cold_remaining_ms: u64,
    pub capacity: Capacity,
    pub labels: &'a [String],
    pub clock_ms: u64,
    pub seq: u64,
    /// `[task, run, saved, percent]`.
    pub active: Vec<(&'a str, u64, &'a str, u8)>,
    /// `[number, task, run, how, saved]`.
    pub finished: Vec<(u64, &'a str, u64, &'a str, &'a str)>,
}

/// What a runner has.
#[derive(Serialize, Deserialize, Clone, Copy, Debug)]
pub struct Capacity {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

/// The answer to a heartbeat.
#[derive(Deserialize, Default, Debug)]
#[serde(default)]
pub struct HeartbeatAnswer {
    pub hold_ms: Option<u64>,
    pub observed: u64,
    pub fence_token: u64,
    /// `[task, run, spec, saved]`.
    pub start: Vec<(String, u64, String, String)>,
    /// `[task, run]`.
    pub stop: Vec<(String, u64)>,
    pub retry_after_ms: Option<u64>,
}
