//! A peer: another process with the frames that are queued for it and the connections with it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use sagetrail_protocol::{Incarnation, NodeId};

/// The limit on the frames queued for one process, in bytes. A single longer frame may be queued alone.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// The age at which frames queued for an unreachable process are dropped. The logic retries what it still needs.
const MAX_QUEUED_AGE: Duration = Duration::from_secs(1);

/// The handle of a connection with a peer.
pub(super) struct Link {
    /// The number of the connection, which is unique in this process.
    pub number: u64,
    /// Notified when frames are queued.
    pub wake: Notify,
    /// Notified when the peer has connected with another incarnation, so that this connection has to end.
    pub outdated: Notify,
}

/// The action that the caller of [`Peer::push`] has to take.
#[derive(PartialEq, Eq, Debug)]
pub(super) enum PushOutcome {
    /// No action: a connection sends the frame, another task dials, or the frame was dropped.
    Nothing,
    /// Dial the peer: there is no connection, and no other task dials.
    Dial,
}

/// A queued frame.
struct QueuedFrame {
    /// The time at which the frame was queued.
    queued_at: Instant,
    frame: Vec<u8>,
}

#[derive(Default)]
struct State {
    queue: VecDeque<QueuedFrame>,
    /// The length of all queued frames, in bytes.
    queued_bytes: usize,
    /// The number of frames dropped so far.
    dropped: u64,
    /// All connections in the order in which they were attached. The last one sends.
    links: Vec<Arc<Link>>,
    /// The incarnation of the peer in its latest preamble.
    incarnation: Option<Incarnation>,
    /// Whether a task dials the peer.
    is_dialing: bool,
    /// The number of failed dials since the last connection.
    failures: u32,
}

/// Another process. The lock is never held across an await.
pub(super) struct Peer {
    /// The id of the process.
    pub node: NodeId,
    state: Mutex<State>,
}

impl Peer {
    /// Creates a peer without frames and connections.
    pub(super) fn new(node: NodeId) -> Arc<Peer> {
        Arc::new(Peer {
            node,
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Adds a frame to the queue, or drops it if the queue is full.
    pub(super) fn push(&self, frame: Vec<u8>) -> PushOutcome {
        let mut state = self.lock();
        if !state.queue.is_empty() && state.queued_bytes + frame.len() > MAX_QUEUED_BYTES {
            state.dropped += 1;
            return PushOutcome::Nothing;
        }
        state.queued_bytes += frame.len();
        state.queue.push_back(QueuedFrame {
            queued_at: Instant::now(),
            frame,
        });
        if let Some(link) = state.links.last() {
            link.wake.notify_one();
            return PushOutcome::Nothing;
        }
        if std::mem::replace(&mut state.is_dialing, true) {
            return PushOutcome::Nothing;
        }
        PushOutcome::Dial
    }

    /// Removes and returns all queued frames if `link` is the peer's newest connection. Returns `None` for an older
    /// connection and if no frame is queued.
    pub(super) fn take(&self, link: &Link) -> Option<Vec<u8>> {
        let mut state = self.lock();
        let is_newest = state
            .links
            .last()
            .is_some_and(|last| last.number == link.number);
        if !is_newest || state.queue.is_empty() {
            return None;
        }
        let mut frames = state
            .queue
            .pop_front()
            .map_or_else(Vec::new, |first| first.frame);
        frames.reserve_exact(state.queued_bytes - frames.len());
        state
            .queue
            .drain(..)
            .for_each(|queued| frames.extend_from_slice(&queued.frame));
        state.queued_bytes = 0;
        Some(frames)
    }

    /// Adds a connection, on which frames are sent from now on. Connections of an earlier incarnation end.
    pub(super) fn attach(&self, number: u64, incarnation: Option<Incarnation>) -> Arc<Link> {
        let link = Arc::new(Link {
            number,
            wake: Notify::new(),
            outdated: Notify::new(),
        });
        let mut state = self.lock();
        if let Some(incarnation) = incarnation {
            let former = state.incarnation.replace(incarnation);
            if former.is_some_and(|former| former != incarnation) {
                state.links.iter().for_each(|old| old.outdated.notify_one());
            }
        }
        state.failures = 0;
        state.links.push(Arc::clone(&link));
        link.wake.notify_one();
        link
    }

    /// Removes a connection. Returns true if frames are queued, no connection is left and no other task dials, so that
    /// the caller has to dial.
    pub(super) fn detach(&self, link: &Link) -> bool {
        let mut state = self.lock();
        state.links.retain(|other| other.number != link.number);
        if let Some(next) = state.links.last() {
            next.wake.notify_one();
            return false;
        }
        if state.queue.is_empty() || state.is_dialing {
            return false;
        }
        state.is_dialing = true;
        true
    }

    /// Counts a failed dial, and returns the number of failures since the last connection.
    pub(super) fn record_failed_dial(&self) -> u32 {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        state.failures
    }

    /// Drops frames that have been queued for [`MAX_QUEUED_AGE`]. Returns true if others are queued and there is no
    /// connection, so that the dialing task has to go on.
    pub(super) fn needs_dial(&self, now: Instant) -> bool {
        let mut state = self.lock();
        while state
            .queue
            .front()
            .is_some_and(|first| now.duration_since(first.queued_at) >= MAX_QUEUED_AGE)
        {
            let first = state.queue.pop_front().expect("the queue has a front");
            state.queued_bytes -= first.frame.len();
            state.dropped += 1;
        }
        let needs_dial = !state.queue.is_empty() && state.links.is_empty();
        state.is_dialing = needs_dial;
        needs_dial
    }

    /// Records that the task that dialed has connected.
    pub(super) fn finish_dial(&self) {
        self.lock().is_dialing = false;
    }

    /// Returns the length of all queued frames, in bytes.
    pub(super) fn queued_bytes(&self) -> usize {
        self.lock().queued_bytes
    }

    /// Returns the number of frames dropped so far.
    pub(super) fn dropped(&self) -> u64 {
        self.lock().dropped
    }
}
