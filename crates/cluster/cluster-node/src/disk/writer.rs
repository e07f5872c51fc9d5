//! The disk's thread: takes all pending writes, syncs them as one, reports what waited for them.
//!
//! The thread ends when its [`Disk`] is dropped, when the receiver of the inputs is dropped, or with the first failed
//! write.

use std::sync::mpsc::{channel, Receiver, Sender};

use sagetrail_protocol::node::DiskWrite;

use super::{DiskError, Store};
use crate::input::{Input, Inputs};

/// The most operations in one transaction; a longer sync delays the first write in it.
const MAX_OPERATIONS: usize = 8192;
const THREAD_NAME: &str = "disk";
const THREAD_STACK_BYTES: usize = 1 << 20;

/// The sending side of the disk's thread.
pub struct Disk {
    writes: Sender<DiskWrite>,
}

impl Disk {
    /// Starts the thread. It sends [`Input::Synced`] and [`Input::DiskFailed`] to `inputs`.
    ///
    /// # Errors
    ///
    /// [`DiskError::Io`] where no thread can be started.
    pub fn start(store: Store, inputs: Inputs) -> Result<Disk, DiskError> {
        let (sender, receiver) = channel();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || run(&store, &receiver, &inputs))?;
        Ok(Disk { writes: sender })
    }

    /// Queues a write behind all earlier ones. After a failure nothing is written any more.
    pub fn submit(&self, write: DiskWrite) {
        let _ = self.writes.send(write);
    }
}

fn run(store: &Store, writes: &Receiver<DiskWrite>, inputs: &Inputs) {
    while let Ok(first) = writes.recv() {
        let group = collect_pending(first, writes);
        if let Err(error) = store.write(&group) {
            // A failed sync proves nothing of any later one on this file: the process must start anew.
            let _ = inputs.send(Input::DiskFailed(error));
            return;
        }
        if inputs.send(report(group)).is_err() {
            return;
        }
    }
}

fn collect_pending(first: DiskWrite, writes: &Receiver<DiskWrite>) -> Vec<DiskWrite> {
    let mut operations = first.operations.len();
    let mut group = vec![first];
    while operations < MAX_OPERATIONS {
        let Ok(next) = writes.try_recv() else { break };
        operations += next.operations.len();
        group.push(next);
    }
    group
}

fn report(group: Vec<DiskWrite>) -> Input {
    let mut send_when_synced = Vec::new();
    let mut tokens = Vec::new();
    for write in group {
        send_when_synced.extend(write.send_when_synced);
        tokens.extend(write.token);
    }
    Input::Synced {
        send_when_synced,
        tokens,
    }
}
