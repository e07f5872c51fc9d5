//! Writes that have not been synced: those of the current transaction and those queued behind it.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use sagetrail_protocol::node::{DiskOperation, DiskWrite};

/// The number of operations at which no more writes are added to a transaction. A larger transaction takes longer to
/// sync and so delays the first write in it.
const MAX_OPERATIONS: usize = 8192;

/// The receiving side of a disk's queue; [`Disk`](super::Disk) is the sending side.
pub(super) struct PendingWrites {
    receiver: Receiver<DiskWrite>,
    /// The writes of the next transaction, in the order in which they were submitted.
    group: Vec<DiskWrite>,
}

/// Whether more writes can arrive.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QueueState {
    /// The sender exists, or writes are queued.
    Open,
    /// The sender was dropped, and the queue is empty.
    Closed,
}

impl PendingWrites {
    /// Creates the receiving side with no collected writes.
    pub(super) fn new(receiver: Receiver<DiskWrite>) -> PendingWrites {
        PendingWrites {
            receiver,
            group: Vec::new(),
        }
    }

    /// Waits for a write, then adds queued writes to the transaction until it holds [`MAX_OPERATIONS`] or the queue is
    /// empty.
    pub(super) fn collect(&mut self) -> QueueState {
        if self.group.is_empty() {
            let Ok(first) = self.receiver.recv() else {
                return QueueState::Closed;
            };
            self.group.push(first);
        }
        let mut operations = self.count_operations();
        while operations < MAX_OPERATIONS {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            operations += next.operations.len();
            self.group.push(next);
        }
        QueueState::Open
    }

    /// Waits for the length of `pause` and adds all writes that arrive meanwhile to the next transaction.
    pub(super) fn hold_for(&mut self, pause: Duration) -> QueueState {
        let deadline = Instant::now() + pause;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.receiver.recv_timeout(remaining) {
                Ok(write) => self.group.push(write),
                Err(RecvTimeoutError::Timeout) => return QueueState::Open,
                Err(RecvTimeoutError::Disconnected) => return QueueState::Closed,
            }
        }
    }

    /// Returns the writes of the next transaction.
    pub(super) fn group(&self) -> &[DiskWrite] {
        &self.group
    }

    /// Removes and returns the writes of the transaction, which was synced.
    pub(super) fn take_synced(&mut self) -> Vec<DiskWrite> {
        std::mem::take(&mut self.group)
    }

    /// Returns the size of the collected keys and values, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let operations = self.group.iter().flat_map(|write| &write.operations);
        operations.map(size_of_operation).sum()
    }

    fn count_operations(&self) -> usize {
        self.group.iter().map(|write| write.operations.len()).sum()
    }
}

fn size_of_operation(operation: &DiskOperation) -> usize {
    match operation {
        DiskOperation::Put { key, value, .. } => key.len() + value.len(),
        DiskOperation::Delete { key, .. } => key.len(),
        DiskOperation::Clear { .. } => 0,
    }
}
