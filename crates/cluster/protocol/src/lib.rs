//! The protocol between the processes of a cluster: typed messages, their frames on TCP, and the interface by which a
//! driver runs the logic of a process.
//!
//! # Communication between processes
//!
//! Core processes agree on configurations and elect a leader, which runs the scheduler. A frontend process runs the
//! gateway for clients; a side process runs the agent of one runner.
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
//! - [`directory`] contains discovery of the core and the leader, and membership leases, between every process and the
//!   core.
//! - [`control`] contains the register, elections and replicated records, among core processes.
//! - [`client`] contains clients' requests, between gateway and scheduler.
//! - [`agent`] contains the state of a runner and the commands for it, between agent and scheduler.
//! - [`distribution`] contains configurations that are sent through a relay tree, between every process and its parent.
//!
//! # Transport over TCP
//!
//! Two processes share one connection if possible. It starts with a [`frame::Preamble`]; each [`Message`] follows as a
//! frame, which consists of the length and the bytes of the message in the order of its fields (`deku`). The order of
//! fields and the numbers of variants are the wire format, which `tests/fixtures/wire.txt` pins; names of types and
//! fields are not part of it. A message may be lost, and the order of two messages is not guaranteed; a process that
//! needs an answer retries.
//!
//! # Driving a process
//!
//! [`node::Node`] is the logic of a process as a state machine without sockets, disk or clock. [`service::Service`] is
//! the interface of the service that the control plane runs on the leader. [`bounds::Bounds`] contains the time limits
//! and factors of the deployment that both use.

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
