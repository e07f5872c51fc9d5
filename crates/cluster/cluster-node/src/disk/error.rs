//! Why the disk could not be used.

use std::io;

use redb::{DatabaseError, StorageError, TableError};

/// Why the disk could not be used.
#[derive(thiserror::Error, Debug)]
pub enum DiskError {
    /// The file is corrupted and cannot be repaired: it is replaced at the next start.
    #[error("the file on disk is corrupted: {0}")]
    Corrupted(redb::Error),
    /// One of the tables is missing; both are created in one transaction, so the file is corrupted.
    #[error("the file on disk is corrupted: one table is missing")]
    TableMissing,
    /// The database refused; it may succeed later.
    #[error("the disk refused: {0}")]
    Refused(redb::Error),
    /// The file system refused; it may succeed later.
    #[error("the disk refused: {0}")]
    Io(#[from] io::Error),
    /// A sync failed: what was written before it may be lost although it can be read.
    #[error("a sync failed: {0}")]
    SyncFailed(redb::Error),
    /// Too much waits for a disk that takes no writes.
    #[error("{bytes} bytes wait for a disk that takes no writes")]
    TooMuchPending {
        /// The size of what waits.
        bytes: usize,
    },
}

impl DiskError {
    /// Classifies an error of opening by whether the file is at fault.
    pub(super) fn from_database(error: DatabaseError) -> DiskError {
        match error {
            DatabaseError::Storage(storage) => DiskError::from_storage(storage),
            DatabaseError::RepairAborted | DatabaseError::UpgradeRequired(_) => {
                DiskError::Corrupted(error.into())
            }
            other => DiskError::Refused(other.into()),
        }
    }

    /// Classifies an error of reading by whether the file is at fault.
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

    /// Classifies an error of opening a table.
    pub(super) fn from_table(error: TableError) -> DiskError {
        match error {
            TableError::Storage(storage) => DiskError::from_storage(storage),
            other => DiskError::Corrupted(other.into()),
        }
    }

    /// The same error as one of a file of which a sync has failed.
    pub(super) fn with_failed_sync(self, sync_failed: bool) -> DiskError {
        match self {
            DiskError::Refused(error) if sync_failed => DiskError::SyncFailed(error),
            other => other,
        }
    }

    /// An error in writing: nothing is known about the file in this process any more.
    pub(super) fn refused(error: impl Into<redb::Error>) -> DiskError {
        DiskError::Refused(error.into())
    }

    /// Whether the disk has no room.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{QuotaExceeded, StorageFull};
        match self {
            DiskError::Refused(redb::Error::Io(error)) | DiskError::Io(error) => {
                matches!(error.kind(), StorageFull | QuotaExceeded)
            }
            _ => false,
        }
    }

    /// Whether the disk took no writes, for want of room or for any other reason: the same write may succeed later.
    pub fn is_refusal(&self) -> bool {
        matches!(self, DiskError::Refused(_) | DiskError::Io(_))
    }

    /// Whether the file is at fault and is to be replaced.
    pub(super) fn is_corruption(&self) -> bool {
        matches!(self, DiskError::Corrupted(_) | DiskError::TableMissing)
    }
}
