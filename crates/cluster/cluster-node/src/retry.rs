//! Retries at the start of a process: a disk or an address that may be free in a moment.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::disk::{DiskError, Opened, Store};

/// The time for which opening the disk is retried.
const OPEN_TIME: Duration = Duration::from_secs(30);
/// The pause between two attempts to open the disk.
const OPEN_PAUSE: Duration = Duration::from_millis(500);
/// The time for which binding an address in use is retried.
const BIND_TIME: Duration = Duration::from_secs(5);
/// The pause between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// Opens the file on disk, retrying for [`OPEN_TIME`] where the disk fails, and as long as it is full: another start
/// would find it no emptier. Blocks the thread.
///
/// # Errors
///
/// The last attempt's.
pub(crate) fn open_disk(folder: &Path) -> Result<Opened, DiskError> {
    let started = Instant::now();
    let mut failed_before = false;
    loop {
        match Store::open(folder) {
            Err(error) if error.is_full() || started.elapsed() < OPEN_TIME => {
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

/// Binds an address, retrying for [`BIND_TIME`].
///
/// # Errors
///
/// The last attempt's.
pub(crate) async fn bind<T>(mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let started = Instant::now();
    loop {
        match bind() {
            Err(_) if started.elapsed() < BIND_TIME => tokio::time::sleep(BIND_PAUSE).await,
            result => return result,
        }
    }
}
