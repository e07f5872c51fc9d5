//! The file as `redb` uses it: plain reads and writes at a place, no locks on ranges of it, which not every
//! system has. One lock on the whole keeps a second process away.

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
    /// Opens the file, or makes it. Fails where another process has it open.
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
            // Without locks there is no telling; the platform starts one process.
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
