//! The disk's thread: it writes all pending writes in one transaction, syncs it, and reports the messages and tokens
//! that waited for the sync.
//!
//! A refused write is held together with all later writes until the disk accepts it. The logic is not notified: it
//! handles this as a slow disk, because it relies on no write before its sync. The thread ends when its [`Disk`] is
//! dropped, when the receiver of the inputs is dropped, after a failed sync, when the file turns out to be corrupted as
//! it is opened again, and when the held writes exceed [`MAX_PENDING_BYTES`].

use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

use sagetrail_protocol::node::DiskWrite;

use super::pending_writes::{PendingWrites, QueueState};
use super::{ClosedStore, DiskError, Store};
use crate::input::{Input, Inputs};

/// The pause before a refused write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The limit on the writes that are held while the disk refuses them, in bytes. More would use up the process's memory.
const MAX_PENDING_BYTES: usize = 32 << 20;
const THREAD_NAME: &str = "disk";
const THREAD_STACK_BYTES: usize = 1 << 20;

/// The sending side of the queue of the disk's thread.
pub struct Disk {
    writes: Sender<DiskWrite>,
}

impl Disk {
    /// Starts the thread. It sends [`Input::Synced`] and [`Input::DiskFailed`] to `inputs`.
    ///
    /// # Errors
    ///
    /// [`DiskError::Io`] if no thread can be started.
    pub fn start(store: Store, inputs: Inputs) -> Result<Disk, DiskError> {
        let (sender, receiver) = channel();
        let mut pending = PendingWrites::new(receiver);
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || {
                if let Err(error) = run(store, &mut pending, &inputs) {
                    let _ = inputs.send(Input::DiskFailed(error));
                }
            })?;
        Ok(Disk { writes: sender })
    }

    /// Queues a write behind all earlier ones. After a failure of the disk the write is dropped.
    pub fn submit(&self, write: DiskWrite) {
        let _ = self.writes.send(write);
    }
}

/// Writes and reports until the queue is closed.
fn run(mut store: Store, pending: &mut PendingWrites, inputs: &Inputs) -> Result<(), DiskError> {
    while pending.collect() == QueueState::Open {
        if let Err(error) = store.write(pending.group()) {
            let Some(reopened) = retry(store, pending, error)? else {
                return Ok(());
            };
            store = reopened;
        }
        if inputs.send(synced_input(pending.take_synced())).is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Holds the refused writes and retries them until they are synced. Returns `None` if the queue was closed meanwhile,
/// since no task waits for the writes any more.
fn retry(
    store: Store,
    pending: &mut PendingWrites,
    error: DiskError,
) -> Result<Option<Store>, DiskError> {
    if !error.is_refusal() {
        return Err(error);
    }
    log::warn!("disk refuses writes, they are held: error={error}");
    let refused_at = Instant::now();
    let closed = store.close();
    loop {
        if pending.hold_for(RETRY_PAUSE) == QueueState::Closed {
            return Ok(None);
        }
        let bytes = pending.bytes();
        if bytes > MAX_PENDING_BYTES {
            return Err(DiskError::TooMuchPending { bytes });
        }
        if let Some(store) = try_again(&closed, pending)? {
            log::info!(
                "disk takes writes again: refused_ms={} bytes={bytes}",
                refused_at.elapsed().as_millis()
            );
            return Ok(Some(store));
        }
    }
}

/// Opens the file and writes the held writes; returns `None` if that is refused again. If the refused transaction did
/// reach the disk, a second write has no further effect: operations set or remove rows and do not depend on their
/// earlier values.
fn try_again(closed: &ClosedStore, pending: &PendingWrites) -> Result<Option<Store>, DiskError> {
    let store = match closed.reopen() {
        Ok(store) => store,
        Err(error) if error.is_refusal() => return Ok(None),
        Err(error) => return Err(error),
    };
    match store.write(pending.group()) {
        Ok(()) => Ok(Some(store)),
        Err(error) if error.is_refusal() => Ok(None),
        Err(error) => Err(error),
    }
}

/// Builds the input that reports these writes as synced.
fn synced_input(group: Vec<DiskWrite>) -> Input {
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
