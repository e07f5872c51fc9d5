//! Messages between processes: frames on TCP, one connection for each pair where possible.

mod dial;
mod frames;
mod link;
mod listener;
mod peer;
mod shared;
mod socket;

pub use shared::Transport;
pub use socket::bind_listener;
