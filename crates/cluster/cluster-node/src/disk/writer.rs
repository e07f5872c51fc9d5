//! The thread that writes: takes all writes that wait, syncs them as one, reports what waited for them.

use std::sync::mpsc::{channel, Receiver, Sender};

use sagetrail_protocol::node::DiskWrite;

use super::{DiskError, Store};
use crate::input::{Input, Inputs};

/// Operations that are synced as one at most; a longer sync holds up what waits first.
const MOST_OPERATIONS: usize = 8192;
const THREAD_NAME: &str = "disk";
const THREAD_STACK_BYTES: usize = 1 << 20;

/// Takes writes for the thread.
pub struct Disk {
    writes: Sender<DiskWrite>,
}

impl Disk {
    /// Starts the thread.
    pub fn start(store: Store, inputs: Inputs) -> Result<Disk, DiskError> {
        let (sender, receiver) = channel();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || run(&store, &receiver, &inputs))
            .map_err(DiskError::refused)?;
        Ok(Disk { writes: sender })
    }

    /// Puts a write behind all before it. After a failure nothing is written any more.
    pub fn submit(&self, write: DiskWrite) {
        let _ = self.writes.send(write);
    }
}

fn run(store: &Store, writes: &Receiver<DiskWrite>, inputs: &Inputs) {
    while let Ok(first) = writes.recv() {
        let group = gather(first, writes);
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

fn gather(first: DiskWrite, writes: &Receiver<DiskWrite>) -> Vec<DiskWrite> {
    let mut operations = first.operations.len();
    let mut group = vec![first];
    while operations < MOST_OPERATIONS {
        let Ok(next) = writes.try_recv() else { break };
        operations += next.operations.len();
        group.push(next);
    }
    group
}

fn report(group: Vec<DiskWrite>) -> Input {
    let mut then = Vec::new();
    let mut tokens = Vec::new();
    for write in group {
        then.extend(write.send_when_synced);
        tokens.extend(write.token);
    }
    Input::Synced { then, tokens }
}
