//! Placement: which pending tasks start at which available runners. Plain values in (`inputs`), choices out; `pass` is
//! the algorithm for single tasks, `gang` that for tasks that start together.

mod gang;
mod inputs;
mod pass;

pub use inputs::{AvailableRunner, PendingStep, Placement};
pub use pass::{Pass, P_MIN};
