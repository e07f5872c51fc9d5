//! Placement decides which pending tasks start at which available runners.
//!
//! It takes plain values and returns plain values, both declared in `inputs`. `pass` places single tasks, `gang` places
//! tasks that must start together, and `locality` limits how long tasks wait for a runner near their data.

mod gang;
mod inputs;
mod locality;
mod pass;

pub use inputs::{AvailableRunner, PendingStep, Placement};
pub(crate) use locality::{HoldLimit, RackDemand, Racks};
pub use pass::{Pass, P_MIN};
