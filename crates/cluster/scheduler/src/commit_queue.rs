//! Changes of records on their way to a quorum, and the messages that wait for them.

use deku::DekuContainerWrite;
use sagetrail_protocol::service::{Batch, RecordOperation};
use sagetrail_protocol::{Message, NodeId};
use std::collections::BTreeMap;

use crate::records::{JobRecord, Key, TaskRecord};

/// A message with its receiver.
type Envelope = (NodeId, Message);

/// Collects changes of records into numbered batches and holds messages back until theirs is committed.
pub(crate) struct CommitQueue {
    /// The number of the batch that takes the next change; the first of a term is 1.
    open: u64,
    /// All batches up to this number are committed.
    committed: u64,
    /// The open batch by key; `None` deletes the record.
    changes: BTreeMap<Vec<u8>, Option<Vec<u8>>>,
    /// Messages by the batch that they wait for.
    waiting: BTreeMap<u64, Vec<Envelope>>,
    /// Messages that may leave.
    ready: Vec<Envelope>,
}

impl CommitQueue {
    /// An empty queue at the start of a term.
    pub(crate) fn new() -> CommitQueue {
        CommitQueue {
            open: 1,
            committed: 0,
            changes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ready: Vec::new(),
        }
    }

    /// Puts a job's record into the open batch. Returns the batch's number.
    pub(crate) fn put_job(&mut self, key: Key, record: &JobRecord) -> u64 {
        let value = record.to_bytes().unwrap_or_default();
        self.change(key, Some(value))
    }

    /// Puts a task's record into the open batch. Returns the batch's number.
    pub(crate) fn put_task(&mut self, key: Key, record: &TaskRecord) -> u64 {
        let value = record.to_bytes().unwrap_or_default();
        self.change(key, Some(value))
    }

    /// Deletes a record with the open batch. Returns the batch's number.
    pub(crate) fn delete(&mut self, key: Key) -> u64 {
        self.change(key, None)
    }

    fn change(&mut self, key: Key, value: Option<Vec<u8>>) -> u64 {
        self.changes.insert(key.to_bytes(), value);
        self.open
    }

    /// True once the batch with this number is committed. There is no batch 0: what needs none is committed at once.
    pub(crate) fn is_committed(&self, batch: u64) -> bool {
        batch <= self.committed
    }

    /// Sends a message once the batch with this number is committed.
    pub(crate) fn send_after(&mut self, batch: u64, to: NodeId, message: Message) {
        if self.is_committed(batch) {
            self.ready.push((to, message));
        } else {
            self.waiting.entry(batch).or_default().push((to, message));
        }
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.ready.push((to, message));
    }

    /// All batches up to this number are committed: what waited for them may leave, in the order of the batches.
    pub(crate) fn commit(&mut self, batch: u64) {
        self.committed = self.committed.max(batch);
        let later = self.waiting.split_off(&(self.committed + 1));
        let released = std::mem::replace(&mut self.waiting, later);
        self.ready.extend(released.into_values().flatten());
    }

    /// Closes and takes the open batch; `None` where it is empty.
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

    /// Takes the messages that may leave.
    pub(crate) fn take_sends(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.ready)
    }

    /// How many batches are not committed yet, the open one included if it holds a change.
    pub(crate) fn uncommitted_batches(&self) -> u64 {
        self.newest().saturating_sub(self.committed)
    }

    /// The number of the newest batch that holds a change, be it open or taken.
    pub(crate) fn newest(&self) -> u64 {
        if self.changes.is_empty() {
            self.open - 1
        } else {
            self.open
        }
    }
}
