//! Errors of the store's folder and disk.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why the store cannot be opened, or its disk is not used any more.
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
    #[error("{}: {size_bytes} bytes are no log of ours", .path.display())]
    JournalTooLarge {
        /// The file.
        path: PathBuf,
        /// Its size, bytes.
        size_bytes: u64,
    },
    /// The thread that writes cannot be started.
    #[error("the store's thread: {0}")]
    Thread(io::Error),
    /// A write or sync failed: the records that it stood for are lost.
    #[error("{0}")]
    Write(#[from] io::Error),
    /// Too many batches wait for the disk.
    #[error("it is too slow: {waiting_batches} batches wait")]
    TooSlow {
        /// Batches that wait.
        waiting_batches: usize,
    },
}
