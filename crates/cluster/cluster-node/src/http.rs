//! The server of HTTP: listening addresses, connections, requests read whole.

mod connection_limit;
mod convert;
mod listener;
mod service;

pub use connection_limit::ConnectionLimit;
pub use listener::{serve, ListeningEndpoint, ServerContext};
