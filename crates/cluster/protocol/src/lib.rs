//! The contract between the processes of a cluster: typed messages, their frames on TCP, and the interface by which the
//! logic of a process is driven.
//!
//! # Who speaks with whom
//!
//! Core processes agree on configurations and elect a leader, which runs the scheduler. A frontend holds the gateway
//! for clients, a side process the agent beside one runner.
//!
//! ```text
//!   client --HTTP--> frontend                                        side <--HTTP-- runner
//!                       |                                             |
//!                       | ClientRequest          RunnerReport         |
//!                       |   ClientReply            RunnerCommands     |
//!                       |   NotLeader              NotLeader          |
//!                       v                                             v
//!                    core (leader: scheduler)  <--ControlMessage-->  core, core ...
//!                       ^
//!                       +-- from every process: Hello, answered by Directory
//!                           from every process, or by a relay: Subscribe, answered by
//!                           ConfigUpdate or ConfigCurrent
//! ```
//!
//! - [`directory`]: discovery of the core and the leader, leases of membership; every process with the core.
//! - [`control`]: the register, elections, replicated records; core processes among each other.
//! - [`client`]: requests of clients; gateway and scheduler.
//! - [`agent`]: state and commands of a runner; agent and scheduler.
//! - [`distribution`]: configurations down a relay tree; every process and its parent.
//!
//! # On TCP
//!
//! Two processes share one connection where they can. It begins with a [`frame::Preamble`]; each [`Message`] follows
//! as a frame: its length, then its bytes in the order of the fields (`deku`). The order of fields and the numbers of
//! variants are the wire format: `tests/fixtures/wire.txt` pins them, names are free. A message may be lost, and no
//! order between two messages is promised; whoever needs an answer retries.
//!
//! # Driving a process
//!
//! [`node::Node`] is the logic of a process as a state machine without sockets, disk or clock, [`service::Service`] what
//! the control plane runs on the leader. [`bounds::Bounds`] are the figures of the deployment on which they act.

pub mod agent;
pub mod bounds;
pub mod client;
pub mod collections;
pub mod control;
pub mod directory;
pub mod distribution;
pub mod frame;
pub mod id;
pub mod message;
pub mod node;
pub mod service;
pub mod time;

pub use collections::{Blob, List, Text};
pub use id::{Incarnation, NodeId, NodeKind, Term};
pub use message::Message;
pub use time::Time;
