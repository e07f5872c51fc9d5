//! The programs of a cluster. They provide sockets, disk, settings and logs for the logic of a core, frontend or side
//! process.
//!
//! The logic is a [`Node`](sagetrail_protocol::node::Node) of another crate. [`process::Process`] is the event loop
//! that drives it on one thread: it receives inputs from one channel, passes them to the logic as events and performs
//! the actions that the logic adds to the outbox.
//!
//! ```text
//!   signals ------------+
//!   transport (TCP) ----+                               +--> transport
//!   http (endpoints) ---+--> Input --> Process --> Node -+--> http replies
//!   disk (a thread) ----+     (one channel)    outbox   +--> disk
//!   health_check -------+                               +--> health_check
//! ```
//!
//! [`start::main`] parses the command line and starts the process: it reads the [`settings`], opens the disk and the
//! sockets, and then creates the logic with `core_process`, `frontend_process` or `side_process` from a
//! [`context::ProcessContext`]. [`lifecycle`] passes the phase of the shutdown to all tasks. Tasks run on the process's
//! own runtime and are dropped with it; the disk's thread ends when its sender is dropped.
//!
//! A log line names the event and then gives fields as `key=value`.

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
