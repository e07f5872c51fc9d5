//! Hollow workers, many to a process: simulated runners beside real agents, which speak to the core by the real
//! transport. A hollow runner's heartbeats reach its agent by a direct call, or by HTTP where the agent is a real
//! `sagetrail-side`.

mod agent;
mod document;
mod endpoint;
mod runner;
mod threads;
mod worker;

pub use agent::counted;
pub use document::{Heartbeat, Orders};
pub use runner::{HollowRunner, RunnerProfile};
pub use threads::{agent_settings, profile, HollowFleet, HollowSettings};
