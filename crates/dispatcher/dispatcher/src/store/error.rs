//! Errors of the store's folder and disk.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Reason why the store cannot be opened, or why its disk is no longer used.
#[derive(Debug, Error)]
pub(crate) enum DiskError {
    /// The folder or a file in it cannot be read or written.
    #[error("store.folder {}: {source}", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The journal is larger than any that this program writes.
    #[error("{}: journal has {size_bytes} bytes, more than this program writes", .path.display())]
    JournalTooLarge {
        /// The file.
        path: PathBuf,
        /// Its size in bytes.
        size_bytes: u64,
    },
    /// The writing thread cannot be started.
    #[error("cannot start the thread of the store: {0}")]
    Thread(io::Error),
    /// A write or sync failed, so its records are lost.
    #[error("{0}")]
    Write(#[from] io::Error),
    /// Too many batches wait for the disk.
    #[error("disk too slow: {waiting_batches} batches wait")]
    TooSlow {
        /// Number of batches that wait.
        waiting_batches: usize,
    },
}
