//! Races that are forced one by one: events that cross a shutdown, a close, a silent watch or a further attempt. The
//! peers hold back the last byte, half a line, a FIN or a reset until the test releases it, so that no test relies on a
//! sleep for the order of events.

#[allow(dead_code)] // Other tests use more of it.
#[path = "../stage/mod.rs"]
mod stage;

mod attempts;
mod clients;
mod idle;
mod shutdown;
mod watch;
