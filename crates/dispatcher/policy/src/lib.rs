//! The decisions of a sagetrail dispatcher: which runner gets which work item, when a work item is retried, and when
//! its client is told to come back or that the work item failed. The crate does no input or output of its own; a
//! [`Host`] carries the decisions out.
//!
//! Times are `f64` numbers of seconds. Names that end in `_at_s` or `_until_s`, and parameters called `now`, are
//! instants on the host's clock; other names that end in `_s` are durations. Runners are addressed by an index that
//! the host assigns.

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
