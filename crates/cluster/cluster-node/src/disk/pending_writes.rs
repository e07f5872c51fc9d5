//! Writes that have not been synced: those of the transaction under way, and those queued behind it.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use sagetrail_protocol::node::{DiskOperation, DiskWrite};

/// The most operations in one transaction; a longer sync delays the first write in it.
const MAX_OPERATIONS: usize = 8192;

/// The queue of one disk, whose sender is its [`Disk`](super::Disk).
pub(super) struct PendingWrites {
    receiver: Receiver<DiskWrite>,
    /// The writes of the next transaction, in order.
    group: Vec<DiskWrite>,
}

/// What is left to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum QueueState {
    Open,
    /// The disk was dropped, and nothing is queued.
    Closed,
}

impl PendingWrites {
    /// An empty queue.
    pub(super) fn new(receiver: Receiver<DiskWrite>) -> PendingWrites {
        PendingWrites {
            receiver,
            group: Vec::new(),
        }
    }

    /// Waits until there is a write, and takes what else is queued as far as one transaction goes.
    pub(super) fn collect(&mut self) -> QueueState {
        if self.group.is_empty() {
            let Ok(first) = self.receiver.recv() else {
                return QueueState::Closed;
            };
            self.group.push(first);
        }
        let mut operations = self.operations();
        while operations < MAX_OPERATIONS {
            let Ok(next) = self.receiver.try_recv() else {
                break;
            };
            operations += next.operations.len();
            self.group.push(next);
        }
        QueueState::Open
    }

    /// Takes everything that is queued within a pause.
    pub(super) fn hold_for(&mut self, pause: Duration) -> QueueState {
        let until = Instant::now() + pause;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.receiver.recv_timeout(left) {
                Ok(write) => self.group.push(write),
                Err(RecvTimeoutError::Timeout) => return QueueState::Open,
                Err(RecvTimeoutError::Disconnected) => return QueueState::Closed,
            }
        }
    }

    /// The writes of the next transaction.
    pub(super) fn group(&self) -> &[DiskWrite] {
        &self.group
    }

    /// Takes the writes of a transaction that was synced.
    pub(super) fn take_synced(&mut self) -> Vec<DiskWrite> {
        std::mem::take(&mut self.group)
    }

    /// The size of the keys and values that are held, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let operations = self.group.iter().flat_map(|write| &write.operations);
        operations.map(size_of_operation).sum()
    }

    fn operations(&self) -> usize {
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
