//! A peer: the frames queued for another process, and the connections to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use sagetrail_protocol::{Incarnation, NodeId};

/// The most that is queued for one process, in bytes. A single longer frame may be queued alone.
const QUEUE_BYTES: usize = 4 << 20;
/// Frames queued for this time at an unreachable process are dropped; the logic retries.
const QUEUE_AGE: Duration = Duration::from_secs(1);

/// The handle of a connection.
pub(super) struct Link {
    /// Tells the connections of a process apart.
    pub number: u64,
    /// Frames are queued.
    pub wake: Notify,
    /// The other process has a newer incarnation.
    pub outdated: Notify,
}

/// What the caller of [`Peer::push`] has to do.
#[derive(PartialEq, Eq, Debug)]
pub(super) enum PushOutcome {
    /// Nothing: a connection sends it, another task dials, or it was dropped.
    Nothing,
    /// Nobody dials: the caller does.
    Dial,
}

/// A queued frame.
struct QueuedFrame {
    since: Instant,
    frame: Vec<u8>,
}

#[derive(Default)]
struct State {
    queue: VecDeque<QueuedFrame>,
    bytes: usize,
    dropped: u64,
    /// All connections, the newest, which sends, last.
    links: Vec<Arc<Link>>,
    incarnation: Option<Incarnation>,
    dialing: bool,
    /// Failed dials since there was a connection.
    failures: u32,
}

/// Another process. The lock is never held across an await.
pub(super) struct Peer {
    /// Its name.
    pub node: NodeId,
    state: Mutex<State>,
}

impl Peer {
    /// A peer without frames and connections.
    pub(super) fn new(node: NodeId) -> Arc<Peer> {
        Arc::new(Peer {
            node,
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Puts a frame in the queue, or drops it where the queue is full.
    pub(super) fn push(&self, frame: Vec<u8>) -> PushOutcome {
        let mut state = self.lock();
        if !state.queue.is_empty() && state.bytes + frame.len() > QUEUE_BYTES {
            state.dropped += 1;
            return PushOutcome::Nothing;
        }
        state.bytes += frame.len();
        state.queue.push_back(QueuedFrame {
            since: Instant::now(),
            frame,
        });
        if let Some(link) = state.links.last() {
            link.wake.notify_one();
            return PushOutcome::Nothing;
        }
        if std::mem::replace(&mut state.dialing, true) {
            return PushOutcome::Nothing;
        }
        PushOutcome::Dial
    }

    /// Takes all queued frames for the peer's newest connection; `None` for any other.
    pub(super) fn take(&self, link: &Link) -> Option<Vec<u8>> {
        let mut state = self.lock();
        let current = state
            .links
            .last()
            .is_some_and(|last| last.number == link.number);
        if !current || state.queue.is_empty() {
            return None;
        }
        let mut together = state
            .queue
            .pop_front()
            .map_or_else(Vec::new, |first| first.frame);
        together.reserve_exact(state.bytes - together.len());
        state
            .queue
            .drain(..)
            .for_each(|queued| together.extend_from_slice(&queued.frame));
        state.bytes = 0;
        Some(together)
    }

    /// Adds a connection, by which frames are sent from now on. Connections of an earlier incarnation end.
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

    /// Removes a connection. True where frames are queued and nobody dials: the caller does.
    pub(super) fn detach(&self, link: &Link) -> bool {
        let mut state = self.lock();
        state.links.retain(|other| other.number != link.number);
        if let Some(next) = state.links.last() {
            next.wake.notify_one();
            return false;
        }
        if state.queue.is_empty() || state.dialing {
            return false;
        }
        state.dialing = true;
        true
    }

    /// Counts a failed dial; the failures since there was a connection.
    pub(super) fn failed(&self) -> u32 {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        state.failures
    }

    /// Drops frames queued for too long; true where some are left and there is no connection.
    pub(super) fn still_needed(&self, now: Instant) -> bool {
        let mut state = self.lock();
        while state
            .queue
            .front()
            .is_some_and(|first| now.duration_since(first.since) >= QUEUE_AGE)
        {
            let first = state.queue.pop_front().expect("looked at");
            state.bytes -= first.frame.len();
            state.dropped += 1;
        }
        let needed = !state.queue.is_empty() && state.links.is_empty();
        state.dialing = needed;
        needed
    }

    /// The dial is over.
    pub(super) fn dialed(&self) {
        self.lock().dialing = false;
    }

    /// Queued bytes.
    pub(super) fn queued_bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Frames dropped so far.
    pub(super) fn dropped(&self) -> u64 {
        self.lock().dropped
    }
}
