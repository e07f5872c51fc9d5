//! The transport of messages between processes: frames on TCP, with one connection for each pair of processes where
//! possible.
//!
//! [`Transport::send`] queues a frame at its `Peer`. A peer without a connection is dialed. A connection (`link`) sends
//! the queued frames and delivers the received messages to the process's inputs. Either side may open the connection,
//! and a peer's newest connection is the one that sends. Messages may be lost: frames are dropped when a queue is full,
//! a peer is unreachable or a connection breaks.
//!
//! One task accepts connections for as long as the runtime runs. A dialing task ends when no frames are queued for its
//! peer. The task of a connection ends with its connection, or when the process receives no more inputs. All tasks are
//! dropped with the runtime at the end of the process.

mod dial;
mod frames;
mod link;
mod listener;
mod peer;
mod shared;
mod socket;

use std::io;
use std::sync::Arc;

use sagetrail_protocol::{Incarnation, Message, NodeId};

use crate::input::Inputs;
use dial::dial;
use frames::pack;
use listener::accept;
use peer::PushOutcome;
use shared::Shared;

pub use socket::bind_listener;

/// Sends messages to other processes and receives messages from them. Clones share all connections.
#[derive(Clone)]
pub struct Transport {
    shared: Arc<Shared>,
}

impl Transport {
    /// Listens at the address of this process's id and delivers received messages to `inputs`.
    ///
    /// # Errors
    ///
    /// An error if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a Tokio runtime.
    pub fn start(node: NodeId, incarnation: Incarnation, inputs: Inputs) -> io::Result<Transport> {
        let shared = Arc::new(Shared::new(node, incarnation, inputs)?);
        let listener = bind_listener(node.address().into())?;
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Transport { shared })
    }

    /// Queues a message for a process and dials the process if there is no connection. The message may be lost.
    pub fn send(&self, to: NodeId, message: &Message) {
        match pack(message) {
            Ok(frame) => self.send_frame(to, frame),
            Err(error) => log::error!("message not sent: to={to} error={error}"),
        }
    }

    fn send_frame(&self, to: NodeId, frame: Vec<u8>) {
        let peer = self.shared.peer(to);
        if peer.push(frame) == PushOutcome::Dial {
            tokio::spawn(dial(Arc::clone(&self.shared), peer));
        }
    }

    /// Whether no frame is queued for any process.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.shared.is_drained()
    }

    /// Returns the number of frames dropped so far because a queue was full or a process could not be reached.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped()
    }
}
