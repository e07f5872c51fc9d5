//! What all connections to other processes share.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use deku::DekuContainerWrite;

use sagetrail_protocol::frame::{FrameError, Preamble, MAGIC, PROTOCOL_VERSION};
use sagetrail_protocol::{Incarnation, Message, NodeId};

use super::dial::dial;
use super::frames::pack;
use super::listener::accept;
use super::peer::{Peer, Pushed};
use super::socket::bind_listener;
use crate::input::{Input, Inputs};

/// Of connections closed for what came on them one line is logged in so long.
const COMPLAINT_INTERVAL: Duration = Duration::from_secs(60);

/// Sends messages to other processes and hears theirs. Its clones are the same.
#[derive(Clone)]
pub struct Transport {
    pub(super) shared: Arc<Shared>,
}

pub(super) struct Shared {
    /// What this process says first on the connections that it opens.
    pub preamble: Vec<u8>,
    inputs: Inputs,
    peers: Mutex<HashMap<NodeId, Arc<Peer>>>,
    next_link: AtomicU64,
    last_complaint: Mutex<Option<Instant>>,
}

impl Transport {
    /// Listens at the address that names this process. Needs the runtime.
    pub fn start(node: NodeId, incarnation: Incarnation, inputs: Inputs) -> io::Result<Transport> {
        let preamble = Preamble {
            magic: MAGIC,
            version: PROTOCOL_VERSION,
            from: node,
            incarnation,
        };
        let shared = Shared {
            preamble: preamble.to_bytes().map_err(io::Error::other)?,
            inputs,
            peers: Mutex::default(),
            next_link: AtomicU64::new(0),
            last_complaint: Mutex::new(None),
        };
        let transport = Transport {
            shared: Arc::new(shared),
        };
        let listener = bind_listener(node.address().into())?;
        tokio::spawn(accept(listener, transport.clone()));
        Ok(transport)
    }

    /// Sends a message, connecting where needed. It may be lost.
    pub fn send(&self, to: NodeId, message: &Message) {
        match pack(message) {
            Ok(frame) => self.send_frame(to, frame),
            Err(error) => log::error!("not sent to {to}: {error}"),
        }
    }

    fn send_frame(&self, to: NodeId, frame: Vec<u8>) {
        let peer = self.peer(to);
        if peer.push(frame) == Pushed::Dial {
            tokio::spawn(dial(self.clone(), peer));
        }
    }

    /// True where nothing waits to be sent.
    pub fn is_drained(&self) -> bool {
        let peers = self.shared.peers.lock().expect("no holder panics");
        peers.values().all(|peer| peer.waiting_bytes() == 0)
    }

    /// Frames dropped so far, because a queue was full or a process could not be reached.
    pub fn dropped(&self) -> u64 {
        let peers = self.shared.peers.lock().expect("no holder panics");
        peers.values().map(|peer| peer.dropped()).sum()
    }

    pub(super) fn peer(&self, node: NodeId) -> Arc<Peer> {
        let mut peers = self.shared.peers.lock().expect("no holder panics");
        Arc::clone(peers.entry(node).or_insert_with(|| Peer::new(node)))
    }

    /// Hands a message to the logic; false where the process is ending.
    pub(super) fn deliver(&self, from: NodeId, message: Message) -> bool {
        self.shared
            .inputs
            .send(Input::Message { from, message })
            .is_ok()
    }

    pub(super) fn next_link(&self) -> u64 {
        self.shared.next_link.fetch_add(1, Ordering::Relaxed)
    }

    /// Says, at times, why a connection was closed.
    pub(super) fn complain(&self, who: impl std::fmt::Display, error: &FrameError) {
        let mut last = self.shared.last_complaint.lock().expect("no holder panics");
        let now = Instant::now();
        if last.is_some_and(|last| now.duration_since(last) < COMPLAINT_INTERVAL) {
            return;
        }
        *last = Some(now);
        log::warn!("connection with {who} closed: {error}");
    }
}
