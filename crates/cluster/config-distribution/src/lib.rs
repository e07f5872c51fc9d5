//! The relay tree that distributes configurations to every process.
//!
//! ```text
//!   core process --+-- relay --+-- relay ...
//!   core process --+           +-- leaf
//!                  +-- relay ----- leaf
//! ```
//!
//! The core processes are the roots of the tree. Every other process subscribes to one parent, renews the subscription
//! and serves the children below it ([`Relay`]). The possible parents of a process depend only on the addresses of the
//! processes ([`parents`]), so every process computes the same result. The known version never decreases. The crate
//! does no I/O: its functions return the messages to send.

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
