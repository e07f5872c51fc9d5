//! The disk of a core process: one `redb` file, written by one thread that syncs many writes in one transaction.
//!
//! [`Store`] is the file, [`Disk`] the sending side of the thread's queue. A write that the disk refuses, for example
//! because it is full, is held and retried until it succeeds. Messages that wait for this write are not sent meanwhile,
//! as with a disk that hangs. A failed sync ends the process: only a process that reads the file again knows its
//! content.

mod error;
mod file;
mod pending_writes;
mod store;
mod writer;

pub use error::DiskError;
pub use file::{DiskFile, LockedFile};
pub use store::{ClosedStore, Opened, Store};
pub use writer::Disk;
