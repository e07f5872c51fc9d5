//! The relay tree that brings configurations to every process. Core processes are its roots; every other process
//! subscribes to one parent, renews that, and serves the processes below it. Versions never go back.

mod children;
mod parent;
mod relay;
mod tree;

pub use children::MAX_CHILDREN;
pub use parent::{RETURN_INTERVAL_MS, SILENCE_MS, STALE_MS, TRIAL_MS};
pub use relay::{Relay, AGE_UNKNOWN};
pub use tree::{best_relays, leaf_parents, parents, FAN_OUT};
