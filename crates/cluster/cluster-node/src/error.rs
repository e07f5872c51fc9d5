//! The errors that end a process.

use std::io;
use std::net::SocketAddr;

use crate::disk::DiskError;

/// An error that ends a process with exit code 1.
#[derive(thiserror::Error, Debug)]
pub enum ProcessError {
    /// The runtime or the signal handlers could not be set up.
    #[error("process not started: error={0}")]
    Start(#[from] io::Error),
    /// An address could not be bound.
    #[error("address not bound: address={address} error={error}")]
    Listen {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error of the last attempt.
        error: io::Error,
    },
    /// The disk could not be opened, or a write failed. The content of the disk is known only after a restart.
    #[error("disk failed, restart needed: error={0}")]
    Disk(#[from] DiskError),
}
