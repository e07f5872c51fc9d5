//! Simulated workers, many to a process: simulated runners beside real agents, which speak to the core by the real
//! transport. A simulated runner's heartbeats reach its agent by a direct call, or by HTTP where the agent is a real
//! `sagetrail-side`.

mod agent;
mod agent_connection;
mod heartbeat_loop;
mod messages;
mod runner;
mod threads;

pub use agent::counted;
pub use messages::{Heartbeat, HeartbeatAnswer};
pub use runner::{RunnerProfile, SimulatedRunner};
pub use threads::{agent_settings, profile, WorkerFleet, WorkerSettings};
