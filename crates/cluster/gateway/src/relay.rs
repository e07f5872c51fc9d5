//! Messages passed on by a third process where two cannot reach each other.

use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, Message, NodeId};

/// Takes the processes that may pass messages on in turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayTurn {
    next: usize,
}

impl RelayTurn {
    /// Starts anywhere, by `seed`.
    pub(crate) fn new(seed: u64) -> RelayTurn {
        RelayTurn {
            next: (seed % (1 << 16)) as usize,
        }
    }

    /// The one whose turn it is; `None` where there is none.
    pub(crate) fn take(&mut self, relays: &[NodeId]) -> Option<NodeId> {
        if relays.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(relays[self.next % relays.len()])
    }
}

/// `message` on its way from `from` to `to`; `None` where it cannot be written.
pub(crate) fn wrap(from: NodeId, to: NodeId, message: &Message) -> Option<Message> {
    let payload = frame::encode(message).ok()?;
    Some(Message::Relayed(Relayed {
        from,
        to,
        payload: Blob(payload),
    }))
}

/// The message inside; `None` where it is none, or relayed twice.
pub(crate) fn unwrap(relayed: &Relayed) -> Option<Message> {
    let message = frame::decode(&relayed.payload).ok()?;
    match message {
        Message::Relayed(_) => None,
        message => Some(message),
    }
}
