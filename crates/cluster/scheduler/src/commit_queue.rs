//! Changes of records that are to be committed by a quorum, and the messages that wait for these commits.

use deku::DekuContainerWrite;
use sagetrail_protocol::service::{Batch, RecordOperation};
use sagetrail_protocol::{Message, NodeId};
use std::collections::{BTreeMap, VecDeque};

use crate::records::{JobRecord, Key, OccurrencesRecord, TaskRecord};

/// The address of a receiver and the message for it.
type Envelope = (NodeId, Message);

/// The size of a batch, in bytes of keys and values, from which on it is closed at the next opportunity. It is far below
/// the longest frame, because a batch also takes all changes up to that opportunity.
const FULL_BATCH_BYTES: usize = 2 << 20;

/// Collects changes of records into numbered batches, and holds each message back until the batch that it depends on is
/// committed. A batch is open until it is taken for replication or closed because it is full.
pub(crate) struct CommitQueue {
    /// The number of the open batch, which takes the next change; the first batch of a term has number 1.
    open_batch: u64,
    /// The highest committed batch number: all batches up to it are committed.
    committed_batch: u64,
    /// The changes in the open batch: the new value of each record by key. `None` deletes the record.
    changes: BTreeMap<Vec<u8>, Option<Vec<u8>>>,
    /// The size of all changes added to the open batch, in bytes of keys and values.
    open_bytes: usize,
    /// The full batches that have not been taken yet, in the order of their numbers.
    closed_batches: VecDeque<Batch>,
    /// The messages that are held back, by the number of the batch that they wait for.
    held_messages: BTreeMap<u64, Vec<Envelope>>,
    /// The messages that may be sent now.
    ready_messages: Vec<Envelope>,
}

impl CommitQueue {
    /// Creates an empty queue for the start of a term.
    pub(crate) fn new() -> CommitQueue {
        CommitQueue {
            open_batch: 1,
            committed_batch: 0,
            changes: BTreeMap::new(),
            open_bytes: 0,
            closed_batches: VecDeque::new(),
            held_messages: BTreeMap::new(),
            ready_messages: Vec::new(),
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

    /// Puts the record of a job's occurrences that are over into the open batch. Returns the batch's number.
    pub(crate) fn put_occurrences(&mut self, key: Key, record: &OccurrencesRecord) -> u64 {
        let value = record.to_bytes().unwrap_or_default();
        self.change(key, Some(value))
    }

    /// Puts the deletion of a record into the open batch. Returns the batch's number.
    pub(crate) fn delete(&mut self, key: Key) -> u64 {
        self.change(key, None)
    }

    /// Adds a change to the open batch. Returns the batch's number.
    fn change(&mut self, key: Key, value: Option<Vec<u8>>) -> u64 {
        let key = key.to_bytes();
        self.open_bytes += key.len() + value.as_ref().map_or(0, Vec::len);
        self.changes.insert(key, value);
        self.open_batch
    }

    /// Closes the open batch if it is full, so that no batch outgrows a frame. Must only be called where the changes
    /// so far may be committed without those that follow.
    pub(crate) fn close_full_batch(&mut self) {
        if self.open_bytes >= FULL_BATCH_BYTES {
            let full = self.close_batch();
            self.closed_batches.extend(full);
        }
    }

    /// Returns true once the batch with this number is committed. Number 0, which no batch has, counts as committed: it
    /// stands for changes that need no batch.
    pub(crate) fn is_committed(&self, batch: u64) -> bool {
        batch <= self.committed_batch
    }

    /// Queues a message to be sent once the batch with this number is committed.
    pub(crate) fn send_after(&mut self, batch: u64, to: NodeId, message: Message) {
        if self.is_committed(batch) {
            self.ready_messages.push((to, message));
        } else {
            self.held_messages
                .entry(batch)
                .or_default()
                .push((to, message));
        }
    }

    /// Queues a message to be sent at once.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.ready_messages.push((to, message));
    }

    /// Notes that all batches up to this number are committed, and releases the messages that waited for them, in the
    /// order of the batches.
    pub(crate) fn commit(&mut self, batch: u64) {
        self.committed_batch = self.committed_batch.max(batch);
        let later = self.held_messages.split_off(&(self.committed_batch + 1));
        let released = std::mem::replace(&mut self.held_messages, later);
        self.ready_messages.extend(released.into_values().flatten());
    }

    /// Takes the oldest batch, which may be the open one; returns `None` if there is no change.
    pub(crate) fn take_batch(&mut self) -> Option<Batch> {
        let closed = self.closed_batches.pop_front();
        closed.or_else(|| self.close_batch())
    }

    /// Closes the open batch; returns `None` if it is empty.
    fn close_batch(&mut self) -> Option<Batch> {
        if self.changes.is_empty() {
            return None;
        }
        let number = self.open_batch;
        self.open_batch += 1;
        self.open_bytes = 0;
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

    /// Takes the messages that may be sent now.
    pub(crate) fn take_sends(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.ready_messages)
    }

    /// Returns how many batches are not committed yet, including the open batch if it holds a change.
    pub(crate) fn uncommitted_batches(&self) -> u64 {
        self.newest().saturating_sub(self.committed_batch)
    }

    /// Returns the number of the newest batch that holds a change, whether it is open or has been taken.
    pub(crate) fn newest(&self) -> u64 {
        if self.changes.is_empty() {
            self.open_batch - 1
        } else {
            self.open_batch
        }
    }
}
