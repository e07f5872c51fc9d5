//! The control plane on the core machines: who the core's members are, which configuration is in force, which process
//! schedules, and the records that the scheduler must not lose.
//!
//! [`CoreNode`] is the logic of one core process as a state machine without sockets, disk or clock: it is driven through
//! [`sagetrail_protocol::node::Node`], by the real process as well as by the simulation. It takes one [`Event`] at a time
//! and leaves sends, writes and replies in an [`Outbox`].
//!
//! # How an event goes through the parts
//!
//! ```text
//!    Event            node.rs              parts, each of which owns its state
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
//! After each event, and after each message of the process to itself, `CoreNode::step` runs whatever is due, always in the
//! same order. Parts import the parts that they use, and none imports `node`; what concerns several parts
//! (`ViewUpdate`, `RegisterProgress`) is returned to `CoreNode`, which passes it on.
//!
//! # Where a configuration change goes
//!
//! ```text
//!  POST /v1/config/…  http_api         parse_request             400, 405 or 503 at once
//!                     operator         OperatorRequests::change  one number per change, however often it is sent
//!                     register         Register::propose         queue of the proposer
//!                     proposer         prepare phase             a majority of Promises gives the current value
//!                     change_function  ChangeFunction::apply     412 or 400 by its outcome
//!                     proposer         accept phase              a majority of Accepted: the change is in force
//!                     register         Register::learn           Learn to all members; view, accepted changes
//!                     operator         change_completed          200, once the leader has replied Learned
//! ```
//!
//! The value is written by each acceptor (`acceptor`, `persisted`) before it answers. The scheduler is given the
//! configuration as soon as its own process learns it; other processes subscribe (`subscribers`).
//!
//! # Where to begin reading
//!
//! `node` for the order of events, then `register` with `quorum`, `acceptor`, `proposer` and `change_function`; for the
//! scheduler's records `terms` with `election`, `leadership`, `voting` and `replica`; for how members come and go
//! `membership`, `recovery` and `reconfiguration`. Spans of time are in `timing`.
//!
//! # Sources
//!
//! - Register: Rystsov, "CASPaxos: Replicated State Machines without logs" (2018). Members are part of the value.
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
