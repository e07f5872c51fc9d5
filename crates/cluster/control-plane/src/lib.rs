//! The control plane on the core machines. It agrees on the core's members, on the configuration in force and on the
//! process that runs the scheduler, and it replicates the records that the scheduler must not lose.
//!
//! [`CoreNode`] is the logic of one core process as a state machine without sockets, disk or clock. The real process
//! and the simulation both drive it through [`sagetrail_protocol::node::Node`]. It handles one [`Event`] at a time and
//! puts sends, writes and replies into an [`Outbox`].
//!
//! # How an event is processed
//!
//! ```text
//!    Event            node.rs              components, each of which owns its state
//!   ────────►  CoreNode::handle ──────►  Register          acceptor, proposer, reader, register view
//!              │ node/messages.rs        Membership        bootstrap, recovery, hellos
//!              │ node/non_members.rs     Terms             replica, elections, leadership, scheduler
//!              │ node/steps.rs           Reconfiguration   joiners, learners, changes of members
//!              │                         OperatorRequests  configuration changes and reads
//!              │                         PendingRequests, Leases, Subscribers, Termination
//!              │                               │ Effects: sends, writes, replies
//!              │        own messages           ▼
//!              ◄───────────────────────  MessageRouter ──────►  Outbox
//! ```
//!
//! After each event, and after each message of the process to itself, `CoreNode::step` runs the work that is due,
//! always in the same order. Components import the components that they use, and none imports `node`. Results that
//! concern several components (`ViewUpdate`, `RegisterProgress`) are returned to `CoreNode`, which passes them on.
//!
//! # How a configuration change is processed
//!
//! ```text
//!  POST /v1/config/…  http_api         parse_request                          400, 405 or 503 at once
//!                     operator         OperatorRequests::submit_change        one number for all sends of a change
//!                     register         Register::propose                      queue of the proposer
//!                     proposer         prepare phase                          a majority of Promises gives the current value
//!                     change_function  ChangeFunction::apply                  412 or 400 by its outcome
//!                     proposer         accept phase                           a majority of Accepted: the change is in force
//!                     register         Register::learn                        Learn to all members; view, accepted changes
//!                     operator         OperatorRequests::on_change_completed  200, once the leader has replied Learned
//! ```
//!
//! Each acceptor syncs the value to disk (`acceptor`, `persisted`) before it replies. The scheduler receives the
//! configuration as soon as its own process learns it; other processes subscribe to it (`subscribers`).
//!
//! # Where to start reading
//!
//! The order of events is in `node`. The register is in `register`, `quorum`, `acceptor`, `proposer` and
//! `change_function`, the replication of the scheduler's records in `terms`, `election`, `leadership`, `voting` and
//! `replica`, and changes of members are in `membership`, `recovery` and `reconfiguration`. Durations are in `timing`.
//!
//! # Sources
//!
//! - Register: Rystsov, "CASPaxos: Replicated State Machines without logs" (2018). The member list is part of the value.
//! - Elections: Ongaro, "Consensus: Bridging Theory and Practice" (2014): terms 3.3, learners 4.2.1, joint consensus 4.3,
//!   pre-vote 9.6.
//! - Leases of the leader and of membership: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for
//!   Distributed File Cache Consistency" (SOSP 1989).
//!
//! [`Event`]: sagetrail_protocol::node::Event
//! [`Outbox`]: sagetrail_protocol::node::Outbox

mod accept_change;
mod accepted_changes;
mod acceptor;
mod batch_window;
mod bootstrap;
mod change;
mod change_function;
mod changes_fetch;
mod effects;
mod election;
mod error;
mod http_api;
mod leadership;
mod learner;
mod leases;
mod local_values;
mod membership;
mod node;
mod operator;
mod pending_requests;
mod persisted;
mod progress;
mod proposer;
mod quorum;
mod quorum_read;
mod reconfiguration;
mod records;
mod recovery;
mod register;
mod register_view;
mod replica;
mod resignation;
mod round;
mod routing;
mod settings;
mod snapshot;
mod snapshot_checksum;
mod snapshot_transfer;
mod subscribers;
mod termination;
mod terms;
mod timing;
mod undecided_reads;
mod value;
mod voting;

pub use accepted_changes::{AcceptedChanges, Gap};
pub use error::ControlPlaneError;
pub use node::CoreNode;
pub use settings::CoreSettings;
pub use value::{RegisterValue, StoredConfig};
