//! The replicated records in memory, and the disk operations that bring the disk to the same state.

use sagetrail_protocol::control::{RecordChange, RecordEntry};
use sagetrail_protocol::node::{DiskOperation, Table};
use sagetrail_protocol::service::RecordOperation;
use sagetrail_protocol::{Blob, List};
use std::collections::BTreeMap;

/// All records, by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Records(pub BTreeMap<Vec<u8>, Vec<u8>>);

impl Records {
    /// Applies the changes of a batch and returns the operations for the disk.
    pub(crate) fn apply(&mut self, changes: &[RecordChange]) -> Vec<DiskOperation> {
        changes
            .iter()
            .map(|change| self.apply_one(change))
            .collect()
    }

    /// Returns the operations that replace all records on disk by these records.
    pub(crate) fn rewrite(&self) -> Vec<DiskOperation> {
        let clear = DiskOperation::Clear {
            table: Table::Records,
        };
        let puts = self.0.iter().map(|(key, value)| put(key, value));
        std::iter::once(clear).chain(puts).collect()
    }

    /// Adds the entries of a snapshot.
    pub(crate) fn insert_all(&mut self, entries: List<RecordEntry>) {
        let pairs = entries
            .0
            .into_iter()
            .map(|entry| (entry.key.0, entry.value.0));
        self.0.extend(pairs);
    }

    fn apply_one(&mut self, change: &RecordChange) -> DiskOperation {
        match change {
            RecordChange::Put { key, value } => {
                self.0.insert(key.0.clone(), value.0.clone());
                put(key, value)
            }
            RecordChange::Delete { key } => {
                self.0.remove(&key.0);
                DiskOperation::Delete {
                    table: Table::Records,
                    key: key.0.clone(),
                }
            }
        }
    }
}

/// Converts a service's operations to the changes of a batch.
pub(crate) fn to_changes(operations: Vec<RecordOperation>) -> List<RecordChange> {
    operations.into_iter().map(to_change).collect()
}

fn to_change(operation: RecordOperation) -> RecordChange {
    match operation {
        RecordOperation::Put { key, value } => RecordChange::Put {
            key: Blob(key),
            value: Blob(value),
        },
        RecordOperation::Delete { key } => RecordChange::Delete { key: Blob(key) },
    }
}

fn put(key: &[u8], value: &[u8]) -> DiskOperation {
    DiskOperation::Put {
        table: Table::Records,
        key: key.to_vec(),
        value: value.to_vec(),
    }
}
