//! The programs of a cluster: sockets, disk, settings and logs around the logic of a core, frontend or side process.
//!
//! The logic is a [`Node`](sagetrail_protocol::node::Node) of another crate. [`process::Process`] drives it on one
//! thread: it takes inputs from one channel, hands them to the logic as events and performs the outbox.
//!
//! ```text
//!   signals ------------+
//!   transport (TCP) ----+                               +--> transport
//!   http (endpoints) ---+--> Input --> Process --> Node -+--> http replies
//!   disk (a thread) ----+     (one channel)    outbox   +--> disk
//!   health_check -------+                               +--> health_check
//! ```
//!
//! [`start::main`] goes from the command line to the running process: [`settings`], disk, sockets, then the logic made
//! by `core_process`, `frontend_process` or `side_process` from a [`context::ProcessContext`]. [`lifecycle`] carries the
//! phase of the shutdown to all tasks. Tasks run on the process's own runtime and are dropped with it; the disk's thread
//! ends when its sender is dropped.
//!
//! Log lines say what happened, then fields as `key=value`.

pub mod arguments;
pub mod clocks;
pub mod context;
pub mod core_process;
pub mod disk;
pub mod error;
pub mod frontend_process;
pub mod health_check;
pub mod http;
pub mod identity;
pub mod input;
pub mod lifecycle;
pub mod logs;
pub mod process;
mod retry;
pub mod settings;
pub mod side_process;
mod signals;
pub mod start;
pub mod transport;
