//! The disk of a core process: one file of `redb`, written by one thread that syncs many writes at once.
//!
//! [`Store`] is the file, [`Disk`] the thread's sending side. A write that is refused, as a full disk does, is held and
//! written again until it succeeds; nothing that waits for it is said meanwhile, as with a disk that hangs. A failed sync
//! ends the process: what the file holds is known only once another process has read it.

mod error;
mod file;
mod pending_writes;
mod store;
mod writer;

pub use error::DiskError;
pub use file::{DiskFile, LockedFile};
pub use store::{ClosedStore, Opened, Store};
pub use writer::Disk;
