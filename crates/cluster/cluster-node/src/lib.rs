//! The cluster's processes: sockets, disk, settings, logs. Each drives one `sagetrail_protocol::node::Node`, which
//! holds the logic; this crate brings it events and performs what it wants done.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

pub mod arguments;
pub mod clocks;
pub mod core_process;
pub mod disk;
pub mod frontend_process;
pub mod health_check;
pub mod http;
pub mod identity;
pub mod input;
pub mod lifecycle;
pub mod logs;
pub mod process;
pub mod settings;
pub mod side_process;
mod signals;
pub mod start;
pub mod transport;
