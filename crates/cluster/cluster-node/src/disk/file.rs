//! The file as `redb` uses it: plain reads and writes at an offset. In place of locks on ranges, which not every file
//! system has, one lock on the file excludes a second process.

use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

use redb::StorageBackend;

/// An open file.
#[derive(Debug)]
pub(super) struct LockedFile {
    file: File,
}

impl LockedFile {
    /// Opens the file, or creates it.
    ///
    /// # Errors
    ///
    /// `ResourceBusy` where another process has it open; any other error of opening or locking.
    pub(super) fn open(path: &Path) -> io::Result<LockedFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(LockedFile { file }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::ResourceBusy.into()),
            // Without locks a second process goes unnoticed; the platform starts only one.
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
