//! Placement: which pending tasks start at which available runners. Plain values in (`inputs`), choices out; `pass` is
//! the algorithm for single tasks, `gang` that for tasks that start together, `locality` how long tasks wait for a runner
//! near their data.

mod gang;
mod inputs;
mod locality;
mod pass;

pub use inputs::{AvailableRunner, PendingStep, Placement};
pub(crate) use locality::{HoldLimit, RackDemand, Racks};
pub use pass::{Pass, P_MIN};
