//! Why a process failed.

use std::io;
use std::net::SocketAddr;

use crate::disk::DiskError;

/// Why a process ended with a failure.
#[derive(thiserror::Error, Debug)]
pub enum ProcessError {
    /// The runtime or the signal handlers could not be set up.
    #[error("not started: {0}")]
    Start(#[from] io::Error),
    /// An address could not be bound.
    #[error("not listening: address={address} error={error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it could not be bound.
        error: io::Error,
    },
    /// The disk could not be opened, or a write failed: only a restart shows what is on disk.
    #[error("disk failed, restart needed: {0}")]
    Disk(#[from] DiskError),
}
