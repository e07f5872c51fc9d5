//! The HTTP server: it listens at addresses, limits the open connections, and passes each request with its full body to
//! the logic.
//!
//! One task for each address accepts connections and ends at [`Phase::Closing`](crate::lifecycle::Phase). One task
//! serves each connection and ends when the caller closes it, when it is evicted for another connection while it is
//! idle, or at `Closing` once its response is sent. All tasks are dropped with the runtime.

mod connection_limit;
mod convert;
mod listener;
mod service;

pub use connection_limit::ConnectionLimit;
pub use listener::{serve, ListeningEndpoint, ServerContext};
