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

/// The minimum time between two log lines about connections that were closed because of invalid received data.
const CLOSED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The peers of a process and the channel that their messages are delivered to. No lock is held across an await.
pub(super) struct Shared {
    /// The encoded preamble, which this process sends first on each connection that it opens.
    pub(super) preamble: Vec<u8>,
    inputs: Inputs,
    peers: Mutex<HashMap<NodeId, Arc<Peer>>>,
    /// The number of the next connection.
    next_link: AtomicU64,
    /// The time of the last log line about a closed connection.
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

    /// Returns the peer with this id, which is created at its first use.
    pub(super) fn peer(&self, node: NodeId) -> Arc<Peer> {
        let mut peers = self.lock_peers();
        Arc::clone(peers.entry(node).or_insert_with(|| Peer::new(node)))
    }

    /// Whether no frame is queued for any peer.
    pub(super) fn is_drained(&self) -> bool {
        self.lock_peers()
            .values()
            .all(|peer| peer.queued_bytes() == 0)
    }

    /// Returns the number of frames dropped so far, of all peers.
    pub(super) fn dropped(&self) -> u64 {
        self.lock_peers().values().map(|peer| peer.dropped()).sum()
    }

    /// Sends a message to the event loop; returns false if the process is ending.
    pub(super) fn deliver(&self, from: NodeId, message: Message) -> bool {
        self.inputs.send(Input::Message { from, message }).is_ok()
    }

    /// Returns the number for a new connection.
    pub(super) fn next_link(&self) -> u64 {
        self.next_link.fetch_add(1, Ordering::Relaxed)
    }

    /// Logs the error for which a connection was closed, at most once in [`CLOSED_LOG_INTERVAL`].
    pub(super) fn log_closed(&self, peer: impl Display, error: &FrameError) {
        let mut last = self.last_logged.lock().expect("no holder panics");
        let now = Instant::now();
        if last.is_some_and(|last| now.duration_since(last) < CLOSED_LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        log::warn!("connection closed, invalid data received: peer={peer} error={error}");
    }
}
