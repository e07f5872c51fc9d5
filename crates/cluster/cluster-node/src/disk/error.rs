//! Why the disk could not be used.

use std::fmt;

/// Why the disk could not be used.
#[derive(Debug)]
pub enum DiskError {
    /// What is on disk is torn and cannot be repaired.
    Torn(String),
    /// The disk refused; it may take it later.
    Refused(String),
}

impl DiskError {
    /// Sorts an error of opening by whether the file is at fault.
    pub fn from_database(error: redb::DatabaseError) -> DiskError {
        match error {
            redb::DatabaseError::Storage(storage) => DiskError::from_storage(storage),
            redb::DatabaseError::RepairAborted | redb::DatabaseError::UpgradeRequired(_) => {
                DiskError::Torn(error.to_string())
            }
            other => DiskError::Refused(other.to_string()),
        }
    }

    /// Sorts an error of reading by whether the file is at fault.
    pub fn from_storage(error: redb::StorageError) -> DiskError {
        use std::io::ErrorKind::{InvalidData, UnexpectedEof};
        match &error {
            redb::StorageError::Corrupted(_) => DiskError::Torn(error.to_string()),
            redb::StorageError::Io(io) if matches!(io.kind(), InvalidData | UnexpectedEof) => {
                DiskError::Torn(error.to_string())
            }
            _ => DiskError::Refused(error.to_string()),
        }
    }

    /// Sorts an error of opening a table.
    pub fn from_table(error: redb::TableError) -> DiskError {
        match error {
            redb::TableError::Storage(storage) => DiskError::from_storage(storage),
            other => DiskError::Torn(other.to_string()),
        }
    }

    /// An error in writing: nothing can be said of the file by this process any more.
    pub fn refused(error: impl fmt::Display) -> DiskError {
        DiskError::Refused(error.to_string())
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DiskError::Torn(reason) => write!(formatter, "the file on disk is torn: {reason}"),
            DiskError::Refused(reason) => write!(formatter, "the disk refused: {reason}"),
        }
    }
}

impl std::error::Error for DiskError {}
