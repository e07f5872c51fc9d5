//! Messages between processes: frames on TCP, one connection for each pair where possible.
//!
//! [`Transport::send`] queues a frame at its `Peer`. A peer without a connection is dialed; a connection (`link`) sends
//! what is queued and delivers what it receives to the process's inputs. Either side may open the connection, and a
//! peer's newest one is used to send. Messages may be lost: a full queue, an unreachable peer or a broken connection
//! drops frames.
//!
//! Tasks: one accepts for as long as the runtime runs; a dialing task ends when its peer has nothing queued; a
//! connection's task ends with its connection, or when the process no longer takes inputs. All are dropped with the
//! runtime, at the end of the process.

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

/// Sends messages to other processes and receives theirs. Clones share all connections.
#[derive(Clone)]
pub struct Transport {
    shared: Arc<Shared>,
}

impl Transport {
    /// Listens at the address that names this process; received messages go to `inputs`.
    ///
    /// # Errors
    ///
    /// Where the address can't be bound.
    ///
    /// # Panics
    ///
    /// Outside a Tokio runtime.
    pub fn start(node: NodeId, incarnation: Incarnation, inputs: Inputs) -> io::Result<Transport> {
        let shared = Arc::new(Shared::new(node, incarnation, inputs)?);
        let listener = bind_listener(node.address().into())?;
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Transport { shared })
    }

    /// Sends a message, connecting where needed. It may be lost.
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

    /// Whether nothing is queued for any process.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.shared.is_drained()
    }

    /// Frames dropped so far, because a queue was full or a process could not be reached.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped()
    }
}
