//! The disk of a core process: one file of `redb`, written by one thread that syncs many writes at once.
//!
//! [`Store`] is the file, [`Disk`] the thread's sending side. A failed write ends the process: after a failed sync the
//! file's content is known only once it is opened again.

mod error;
mod file;
mod store;
mod writer;

pub use error::DiskError;
pub use store::{Opened, Store};
pub use writer::Disk;
