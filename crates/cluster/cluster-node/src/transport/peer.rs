//! Another process: what waits to be sent to it, and the connections that reach it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use sagetrail_protocol::{Incarnation, NodeId};

/// The most that waits for one process, in bytes. A single longer frame may wait alone.
const QUEUE_BYTES: usize = 4 << 20;
/// What has waited so long for a process that cannot be reached is dropped; the logic asks again.
const QUEUE_AGE: Duration = Duration::from_secs(1);

/// A connection, as others see it.
pub(super) struct Link {
    pub number: u64,
    /// The sender has something to do.
    pub wake: Notify,
    /// The process at its other end is no more.
    pub outdated: Notify,
}

/// What `Peer::push` asks of its caller.
#[derive(PartialEq, Eq, Debug)]
pub(super) enum Pushed {
    /// It goes by a connection, or is waited for already, or was dropped.
    Nothing,
    /// Nobody is connecting: it is for the caller to see to it.
    Dial,
}

/// A frame that waits.
struct Waiting {
    since: Instant,
    frame: Vec<u8>,
}

#[derive(Default)]
struct State {
    queue: VecDeque<Waiting>,
    bytes: usize,
    dropped: u64,
    /// All connections, the one to send by last.
    links: Vec<Arc<Link>>,
    incarnation: Option<Incarnation>,
    dialing: bool,
    /// Attempts to connect that failed since there was a connection.
    failures: u32,
}

/// Another process.
pub(super) struct Peer {
    pub node: NodeId,
    state: Mutex<State>,
}

impl Peer {
    /// A process that nothing is known of.
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
    pub(super) fn push(&self, frame: Vec<u8>) -> Pushed {
        let mut state = self.lock();
        if !state.queue.is_empty() && state.bytes + frame.len() > QUEUE_BYTES {
            state.dropped += 1;
            return Pushed::Nothing;
        }
        state.bytes += frame.len();
        state.queue.push_back(Waiting {
            since: Instant::now(),
            frame,
        });
        if let Some(link) = state.links.last() {
            link.wake.notify_one();
            return Pushed::Nothing;
        }
        if std::mem::replace(&mut state.dialing, true) {
            return Pushed::Nothing;
        }
        Pushed::Dial
    }

    /// All frames that wait, for the connection to send by; nothing for any other.
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
            .for_each(|waiting| together.extend_from_slice(&waiting.frame));
        state.bytes = 0;
        Some(together)
    }

    /// A connection is there; it is the one to send by from now on. Connections to an earlier incarnation end.
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

    /// A connection is no more. True where something waits and nobody is connecting: it is for the caller to
    /// see to it.
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

    /// Connecting failed; how often it has.
    pub(super) fn failed(&self) -> u32 {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        state.failures
    }

    /// Asked after a pause. What has waited for too long is dropped; true where something is
    /// left and there is no connection.
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

    /// Connecting is over.
    pub(super) fn dialed(&self) {
        self.lock().dialing = false;
    }

    /// Bytes that wait.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.lock().bytes
    }

    /// Frames dropped so far.
    pub(super) fn dropped(&self) -> u64 {
        self.lock().dropped
    }
}
