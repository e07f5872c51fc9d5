//! Typed messages between the processes of a cluster, their frames, and the seam (`node`) by which the logic of
//! a process is driven: by sockets and a disk in service, by a simulated network, clock and disk in tests.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

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
