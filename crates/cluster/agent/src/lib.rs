//! The agent is the process that runs beside one runner. It grants the runner's lease and passes the scheduler's
//! commands on to it.
//!
//! A runner knows only its agent, which is on the same machine, and calls it over HTTP. The agent knows the scheduler,
//! which is the leader of the control plane and may be replaced by another process at any time. Like every process of
//! the cluster, the agent is a state machine without sockets, [`AgentNode`], which the host process drives.
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
//! There are two nested leases, both as in Gray and Cheriton (1989): the holder counts its lease from the time at which
//! it sent its request, so the lease ends for the holder before it ends for the grantor, whatever the network delay.
//!
//! - The scheduler grants the *agent's lease* in its answer to a report of this agent incarnation. The lease counts
//!   from the time at which the report was sent. While it lasts, the agent acts without the scheduler.
//! - The agent grants the *runner's lease* (`hold_ms` on the wire) in its answer to a heartbeat. This lease never
//!   outlasts the agent's. It counts from the time at which the runner sent the heartbeat. A runner without a lease
//!   ends all of its runs.
//!
//! # Who decides that a lease has expired
//!
//! The runner decides by its own clock and then stops its runs. The agent decides about the runner's lease by the
//! agent's clock, with a margin for clock drift, and reports `lease_expired`. It also does so when the runner's machine
//! refuses a connection, because a dead process runs nothing (`health_check`). The scheduler decides about an agent
//! that no longer sends reports, after the agent's lease and a margin. Each of them waits longer than the one below it,
//! so a run is started elsewhere only after it has ended here.
//!
//! # Fencing tokens and commands
//!
//! Commands carry the scheduler's term and a revision. The agent adopts only newer commands and passes the term on as
//! the fencing token, so the runner ignores the commands of an earlier scheduler. Commands are complete: each message
//! replaces the one before. Commands are *resolved* by the first heartbeat that the runner sends after each earlier
//! answer has either reached it or been lost. A run that such a heartbeat lists neither as active nor as finished was
//! not started by the commands before, and will not be.

mod agent_lease;
mod checkpoint_budget;
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
mod start_offers;

pub use heartbeat::{HeartbeatError, MAX_FINISHED_RUNS, MAX_HEARTBEAT_BYTES};
pub use node::AgentNode;
pub use runner_call::MAX_INSTANCE_BYTES;
pub use settings::{AgentSettings, Counters};
