//! The disk of a core process: one file of `redb`, written by one thread that syncs many writes at once.

mod error;
mod file;
mod store;
mod writer;

pub use error::DiskError;
pub use store::{Opened, Store};
pub use writer::Disk;
