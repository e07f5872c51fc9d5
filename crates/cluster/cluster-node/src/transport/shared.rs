//! The state that all connections to other processes share.

use std::collections::HashMap;
use std::fmt::Display;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use deku::DekuContainerWrite;

use sagetrail_protocol::frame::{FrameError, Preamble, MAGIC, PROTOCOL_VERSION};
use sagetrail_protocol::{Incarnation, Message, NodeId};

use super::peer::Peer;
use crate::input::{Input, Inputs};

/// Of connections closed for what was received one line is logged in this time.
const CLOSED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The peers of a process, and where their messages go. No lock is held across an await.
pub(super) struct Shared {
    /// What this process sends first on the connections that it opens.
    pub(super) preamble: Vec<u8>,
    inputs: Inputs,
    peers: Mutex<HashMap<NodeId, Arc<Peer>>>,
    next_link: AtomicU64,
    last_logged: Mutex<Option<Instant>>,
}

impl Shared {
    pub(super) fn new(
        node: NodeId,
        incarnation: Incarnation,
        inputs: Inputs,
    ) -> io::Result<Shared> {
        let preamble = Preamble {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
            from: node,
            incarnation,
        };
        Ok(Shared {
            preamble: preamble.to_bytes().map_err(io::Error::other)?,
            inputs,
            peers: Mutex::default(),
            next_link: AtomicU64::new(0),
            last_logged: Mutex::new(None),
        })
    }

    fn lock_peers(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<Peer>>> {
        self.peers.lock().expect("no holder panics")
    }

    /// The peer with this name, from its first use on.
    pub(super) fn peer(&self, node: NodeId) -> Arc<Peer> {
        let mut peers = self.lock_peers();
        Arc::clone(peers.entry(node).or_insert_with(|| Peer::new(node)))
    }

    /// Whether nothing is queued for any peer.
    pub(super) fn is_drained(&self) -> bool {
        self.lock_peers()
            .values()
            .all(|peer| peer.queued_bytes() == 0)
    }

    /// Frames dropped so far, of all peers.
    pub(super) fn dropped(&self) -> u64 {
        self.lock_peers().values().map(|peer| peer.dropped()).sum()
    }

    /// Hands a message to the logic; false where the process is ending.
    pub(super) fn deliver(&self, from: NodeId, message: Message) -> bool {
        self.inputs.send(Input::Message { from, message }).is_ok()
    }

    /// A number for a new connection.
    pub(super) fn next_link(&self) -> u64 {
        self.next_link.fetch_add(1, Ordering::Relaxed)
    }

    /// Logs why a connection was closed, at most once in [`CLOSED_LOG_INTERVAL`].
    pub(super) fn log_closed(&self, peer: impl Display, error: &FrameError) {
        let mut last = self.last_logged.lock().expect("no holder panics");
        let now = Instant::now();
        if last.is_some_and(|last| now.duration_since(last) < CLOSED_LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        log::warn!("connection closed: peer={peer} error={error}");
    }
}
