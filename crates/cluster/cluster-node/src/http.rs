//! The server of HTTP: listening addresses, connections, requests read whole.

mod convert;
mod listener;
mod room;
mod service;

pub use listener::{serve, Listening, ServeContext};
pub use room::Room;
