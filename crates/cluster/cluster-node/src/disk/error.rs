//! Errors of the disk, classified by whether the file is corrupted or the operation may succeed later.

use std::io;

use redb::{DatabaseError, StorageError, TableError};

/// Why the disk could not be used.
#[derive(thiserror::Error, Debug)]
pub enum DiskError {
    /// The file is corrupted and cannot be repaired; it is replaced at the next start.
    #[error("the file on disk is corrupted: {0}")]
    Corrupted(redb::Error),
    /// One of the two tables is missing. Both are created in one transaction, so the file is corrupted.
    #[error("the file on disk is corrupted: expected two tables, found one")]
    TableMissing,
    /// The database refused the operation, which may succeed later.
    #[error("the disk refused the operation: {0}")]
    Refused(redb::Error),
    /// The file system refused the operation, which may succeed later.
    #[error("the disk refused the operation: {0}")]
    Io(#[from] io::Error),
    /// A sync failed. Data written before it may be lost although it can still be read.
    #[error("disk sync failed: {0}")]
    SyncFailed(redb::Error),
    /// The writes held for a disk that refuses them exceed the memory limit.
    #[error("too many held writes: {bytes} bytes wait for a disk that refuses writes")]
    TooMuchPending {
        /// The size of the keys and values of the held writes, in bytes.
        bytes: usize,
    },
}

impl DiskError {
    /// Classifies an error of opening the database by whether the file is corrupted.
    pub(super) fn from_database(error: DatabaseError) -> DiskError {
        match error {
            DatabaseError::Storage(storage) => DiskError::from_storage(storage),
            DatabaseError::RepairAborted | DatabaseError::UpgradeRequired(_) => {
                DiskError::Corrupted(error.into())
            }
            other => DiskError::Refused(other.into()),
        }
    }

    /// Classifies an error of reading by whether the file is corrupted.
    pub(super) fn from_storage(error: StorageError) -> DiskError {
        use io::ErrorKind::{InvalidData, UnexpectedEof};
        match &error {
            StorageError::Corrupted(_) => DiskError::Corrupted(error.into()),
            StorageError::Io(io) if matches!(io.kind(), InvalidData | UnexpectedEof) => {
                DiskError::Corrupted(error.into())
            }
            _ => DiskError::Refused(error.into()),
        }
    }

    /// Classifies an error of opening a table by whether the file is corrupted.
    pub(super) fn from_table(error: TableError) -> DiskError {
        match error {
            TableError::Storage(storage) => DiskError::from_storage(storage),
            other => DiskError::Corrupted(other.into()),
        }
    }

    /// Turns a refused operation into a failed sync if a sync of the file has failed.
    pub(super) fn with_failed_sync(self, sync_failed: bool) -> DiskError {
        match self {
            DiskError::Refused(error) if sync_failed => DiskError::SyncFailed(error),
            other => other,
        }
    }

    /// Wraps an error of a write. Afterwards this process no longer knows the content of the file.
    pub(super) fn refused(error: impl Into<redb::Error>) -> DiskError {
        DiskError::Refused(error.into())
    }

    /// Whether the disk has no free space or its quota is used up.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{QuotaExceeded, StorageFull};
        match self {
            DiskError::Refused(redb::Error::Io(error)) | DiskError::Io(error) => {
                matches!(error.kind(), StorageFull | QuotaExceeded)
            }
            _ => false,
        }
    }

    /// Whether the disk refused the operation, because it is full or for another reason. The same write may succeed
    /// later.
    pub fn is_refusal(&self) -> bool {
        matches!(self, DiskError::Refused(_) | DiskError::Io(_))
    }

    /// Whether the file is corrupted and has to be replaced.
    pub(super) fn is_corruption(&self) -> bool {
        matches!(self, DiskError::Corrupted(_) | DiskError::TableMissing)
    }
}
