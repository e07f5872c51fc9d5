//! The agent: the process beside one runner. It grants the runner's lease and hands it the scheduler's commands.
//!
//! A runner knows only its agent, on the same machine, and calls it by HTTP. The agent knows the scheduler, which is the
//! leader of the control plane, and may be replaced by another at any time. Like every process of the cluster it is a
//! state machine without sockets, [`AgentNode`], which the host process drives.
//!
//! ```text
//!   runner                          agent                                   leader (scheduler)
//!     |  heartbeat {seq, active,      |                                           |
//!     |    finished}                  |                                           |
//!     |------------------------------>| runner_registry: newest instance,         |
//!     |                               |   newest heartbeat                        |
//!     |                               |  RunnerReport {agent, sequence, sent_at,  |
//!     |                               |    term, revision, active, finished}      |
//!     |                               |------------------------------------------>|
//!     |                               |  RunnerCommands {term, revision, lease_ms,|
//!     |                               |    start, stop, observed}                 |
//!     |                               |<------------------------------------------|
//!     |                               | commands: newest term and revision;       |
//!     |                               |   agent_lease: from `sent_at`             |
//!     |  next heartbeat               |                                           |
//!     |------------------------------>|                                           |
//!     |  200 {hold_ms, fence_token,   |                                           |
//!     |    start, stop, observed}     |                                           |
//!     |<------------------------------|                                           |
//! ```
//!
//! # Heartbeats and leases
//!
//! There are two leases, one inside the other, both as in Gray and Cheriton (1989): the holder counts from the sending
//! of its request, so its lease ends before the grantor's view of it does, whatever the network's delay.
//!
//! - The *agent's lease* is granted by the scheduler with an answer to a report of this very agent, and counts from the
//!   report's sending. While it lasts the agent acts without the scheduler.
//! - The *runner's lease* (`hold_ms` on the wire) is granted by the agent with the answer to a heartbeat, and never
//!   outlasts the agent's. The runner counts from the heartbeat's sending; without a lease it ends everything it runs.
//!
//! # Who decides that a lease has expired
//!
//! The runner decides for itself, on its clock, and stops its runs. The agent decides about the runner's lease, on its
//! own clock and with a margin for drift, and reports `lease_expired`; a refused connection tells the same at once,
//! because a dead process runs nothing (`health_check`). The scheduler decides about an agent that it no longer hears,
//! after the agent's lease and a margin. Each waits longer than the one below it, so a run is started elsewhere only
//! after it has ended here.
//!
//! # Fencing tokens and commands
//!
//! Commands carry the scheduler's term and a revision. The agent adopts only newer ones, and passes the term on as the
//! fencing token, so the runner ignores what an earlier scheduler wanted. Commands are complete: each replaces the one
//! before. They are *resolved* by the first heartbeat that the runner sends after it has had, or missed, every earlier
//! answer; what is then neither active nor finished was not started under them, and never will be.

mod agent_lease;
mod commands;
mod config_relay;
mod health_check;
mod heartbeat;
mod heartbeat_reply;
mod heartbeat_rows;
mod leader_link;
mod node;
mod report;
mod report_schedule;
mod runner;
mod runner_call;
mod runner_lease;
mod runner_registry;
mod runner_service;
mod settings;

pub use heartbeat::{HeartbeatError, MAX_ACTIVE_RUNS, MAX_FINISHED_RUNS, MAX_HEARTBEAT_BYTES};
pub use node::AgentNode;
pub use runner_call::MAX_INSTANCE_BYTES;
pub use settings::{AgentSettings, Counters};
