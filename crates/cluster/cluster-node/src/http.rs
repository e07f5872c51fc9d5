//! The HTTP server: listening addresses, connections within a limit, requests handed to the logic with their full body.
//!
//! Tasks: one accepts for each address and ends at [`Phase::Closing`](crate::lifecycle::Phase); one serves each
//! connection and ends when the caller closes it, when another connection evicts it while it is idle, or at `Closing`
//! once its answer is sent. All are dropped with the runtime.

mod connection_limit;
mod convert;
mod listener;
mod service;

pub use connection_limit::ConnectionLimit;
pub use listener::{serve, ListeningEndpoint, ServerContext};
