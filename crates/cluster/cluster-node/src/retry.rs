//! Retries at the start of a process, for a disk that can't be opened yet or an address that is still in use.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::disk::{DiskError, Opened, Store};

/// The time for which opening the disk is retried.
const OPEN_RETRY_TIME: Duration = Duration::from_secs(30);
/// The pause between two attempts to open the disk.
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// The time for which binding an address is retried.
const BIND_RETRY_TIME: Duration = Duration::from_secs(5);
/// The pause between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// Opens the file on disk. Errors are retried for [`OPEN_RETRY_TIME`], and for as long as the disk is full, since a
/// restart would free no space. Blocks the thread.
///
/// # Errors
///
/// The error of the last attempt.
pub(crate) fn open_disk(folder: &Path) -> Result<Opened, DiskError> {
    let started = Instant::now();
    let mut failed_before = false;
    loop {
        match Store::open(folder) {
            Err(error) if error.is_full() || started.elapsed() < OPEN_RETRY_TIME => {
                if !failed_before {
                    log::warn!("disk not opened, retrying: error={error}");
                }
                failed_before = true;
                std::thread::sleep(OPEN_PAUSE);
            }
            result => return result,
        }
    }
}

/// Binds an address and retries errors for [`BIND_RETRY_TIME`].
///
/// # Errors
///
/// The error of the last attempt.
pub(crate) async fn bind<T>(mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match bind() {
            Err(_) if started.elapsed() < BIND_RETRY_TIME => tokio::time::sleep(BIND_PAUSE).await,
            result => return result,
        }
    }
}
