//! The agent beside a runner: it takes the runner's heartbeats, extends its hold within a lease of the scheduler,
//! hands it the scheduler's orders and reports to the scheduler what is.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod answer;
mod distribution;
mod heartbeat;
mod lists;
mod node;
mod orders;
mod pace;
mod path;
mod report;
mod runner;
mod settings;
mod uplink;
mod watch;

pub use heartbeat::{HeartbeatError, MAX_ACTIVE_RUNS, MAX_FINISHED_RUNS, MAX_HEARTBEAT_BYTES};
pub use node::AgentNode;
pub use path::MAX_INSTANCE_BYTES;
pub use settings::{AgentSettings, Counters};
