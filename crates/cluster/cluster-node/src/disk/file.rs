//! The file that `redb` reads and writes at offsets. One lock on the whole file excludes a second process; locks on
//! ranges are not used, since not every file system supports them.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use redb::StorageBackend;

/// A file that can hold the database.
pub trait DiskFile: StorageBackend + Sized {
    /// Opens the file and creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Any error of opening the file; `ResourceBusy` if another process has it open.
    fn open(path: &Path) -> io::Result<Self>;
}

/// A file of the file system that is locked so that no second process can open it.
#[derive(Debug)]
pub struct LockedFile {
    file: File,
}

/// A file that records whether a sync has failed. After a failed sync, data written before it may be lost.
#[derive(Debug)]
pub(super) struct WatchedFile<F> {
    file: F,
    sync_failed: Arc<AtomicBool>,
}

impl<F: DiskFile> WatchedFile<F> {
    /// Opens the file. The returned flag is set by the first failed sync.
    pub(super) fn open(path: &Path) -> io::Result<(WatchedFile<F>, Arc<AtomicBool>)> {
        let sync_failed = Arc::new(AtomicBool::new(false));
        let watched = WatchedFile {
            file: F::open(path)?,
            sync_failed: Arc::clone(&sync_failed),
        };
        Ok((watched, sync_failed))
    }
}

impl<F: DiskFile> StorageBackend for WatchedFile<F> {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        let synced = self.file.sync_data();
        if synced.is_err() {
            self.sync_failed.store(true, Ordering::Relaxed);
        }
        synced
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write(offset, data)
    }
}

impl DiskFile for LockedFile {
    fn open(path: &Path) -> io::Result<LockedFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(LockedFile { file }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::ResourceBusy.into()),
            // Without file locks a second process is not detected, but the platform starts only one.
            Err(TryLockError::Error(error)) if error.kind() == io::ErrorKind::Unsupported => {
                Ok(LockedFile { file })
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl StorageBackend for LockedFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read_exact_at(out, offset)
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.file.write_all_at(data, offset)
    }
}
