//! The relay tree that brings configurations to every process.
//!
//! ```text
//!   core process --+-- relay --+-- relay ...
//!   core process --+           +-- leaf
//!                  +-- relay ----- leaf
//! ```
//!
//! Core processes are its roots. Every other process subscribes to one parent, renews that, and serves the children
//! below it ([`Relay`]). Which parents a process may choose follows from the processes' names alone ([`parents`]), the
//! same wherever it is computed. Versions never go back. The crate does no I/O: messages to send are returned.

mod children;
mod relay;
mod subscription;
mod tree;

pub use children::MAX_CHILDREN;
pub use relay::{Relay, UNKNOWN_AGE_MS};
pub use subscription::{
    ANSWER_TIMEOUT_MS, FIRST_ANSWER_TIMEOUT_MS, MAX_AGE_MS, RETURN_INTERVAL_MS,
};
pub use tree::{best_relays, leaf_parents, parents, FAN_OUT};
