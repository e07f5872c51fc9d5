//! The decisions of sagetrail and the plain types they are spoken in.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod chance;
mod interface;
mod pcg;
mod policy;
mod ring;
mod settings;
mod state;

pub use chance::start_chance;
pub use interface::*;
pub use policy::{Dispatcher, WorkItem};
pub use settings::{parse_policy_config, FlatSettings};
pub use state::RunnerHandover;
