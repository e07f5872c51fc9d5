//! The decisions of sagetrail and the plain types they are spoken in.

// Not every public item of this crate has a doc comment yet.
#![allow(missing_docs)]

mod chance;
mod pcg;
mod policy;
mod reading;
mod ring;
mod state;
mod terms;

pub use chance::start_chance;
pub use policy::{Dispatcher, WorkItem};
pub use reading::{parse_policy_config, FlatSettings};
pub use state::RunnerHandover;
pub use terms::*;
