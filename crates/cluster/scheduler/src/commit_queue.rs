//! Changes of records on their way to a quorum, and what waits for them.

use crate::records::{JobRecord, Key, TaskRecord};
use deku::DekuContainerWrite;
use sagetrail_protocol::service::{Batch, RecordOperation};
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeMap;

/// Collects changes into batches and holds messages back until theirs is kept.
pub(crate) struct CommitQueue {
    /// The number of the batch that takes the next change.
    open: u64,
    committed: u64,
    changes: BTreeMap<Vec<u8>, Option<Vec<u8>>>,
    waiting: BTreeMap<u64, Vec<(NodeId, Message)>>,
    ready: Vec<(NodeId, Message)>,
}

impl CommitQueue {
    /// An empty ledger at the start of a term.
    pub(crate) fn new() -> CommitQueue {
        CommitQueue {
            open: 1,
            committed: 0,
            changes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ready: Vec::new(),
        }
    }

    /// Lays a job's record into the open batch and tells its number.
    pub(crate) fn put_job(&mut self, key: Key, record: &JobRecord) -> u64 {
        let value = record.to_bytes().unwrap_or_default();
        self.change(key, Some(value))
    }

    /// Lays a task's record into the open batch and tells its number.
    pub(crate) fn put_task(&mut self, key: Key, record: &TaskRecord) -> u64 {
        let value = record.to_bytes().unwrap_or_default();
        self.change(key, Some(value))
    }

    /// Removes a record with the open batch and tells its number.
    pub(crate) fn delete(&mut self, key: Key) -> u64 {
        self.change(key, None)
    }

    fn change(&mut self, key: Key, value: Option<Vec<u8>>) -> u64 {
        self.changes.insert(key.to_bytes(), value);
        self.open
    }

    /// True once the batch with this number is kept.
    pub(crate) fn is_committed(&self, number: u64) -> bool {
        number <= self.committed
    }

    /// Sends a message once the batch with this number is kept.
    pub(crate) fn send_after(&mut self, number: u64, to: NodeId, message: Message) {
        if self.is_committed(number) {
            self.ready.push((to, message));
        } else {
            self.waiting.entry(number).or_default().push((to, message));
        }
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.ready.push((to, message));
    }

    /// All batches up to this number are kept.
    pub(crate) fn commit(&mut self, number: u64) {
        self.committed = self.committed.max(number);
        let later = self.waiting.split_off(&(self.committed + 1));
        let released = std::mem::replace(&mut self.waiting, later);
        self.ready.extend(released.into_values().flatten());
    }

    /// The open batch, where it holds anything.
    pub(crate) fn take_batch(&mut self) -> Option<Batch> {
        if self.changes.is_empty() {
            return None;
        }
        let number = self.open;
        self.open += 1;
        let changes = std::mem::take(&mut self.changes);
        let operation = |(key, value)| match value {
            Some(value) => RecordOperation::Put { key, value },
            None => RecordOperation::Delete { key },
        };
        Some(Batch {
            number,
            operations: changes.into_iter().map(operation).collect(),
        })
    }

    /// The messages that may leave.
    pub(crate) fn take_sends(&mut self) -> Vec<(NodeId, Message)> {
        std::mem::take(&mut self.ready)
    }
}

impl CommitQueue {
    /// How many batches are not kept yet.
    pub(crate) fn outstanding(&self) -> u64 {
        self.current() - self.committed.min(self.current())
    }

    /// The number of the newest batch that holds a change, be it open or taken.
    pub(crate) fn current(&self) -> u64 {
        if self.changes.is_empty() {
            self.open - 1
        } else {
            self.open
        }
    }
}
