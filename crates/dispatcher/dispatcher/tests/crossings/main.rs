//! Rare moments, forced one by one: what crosses a shutdown, a close, a silent watch or a further attempt. Peers hold
//! the last byte, a half line, a FIN or a reset until the test says; nothing is hoped for by a sleep.

#[allow(dead_code)] // Other stories use more of it.
#[path = "../stage/mod.rs"]
mod stage;

mod attempts;
mod clients;
mod idle;
mod shutdown;
mod watch;
