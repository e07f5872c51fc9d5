//! Relaying of messages through a third process, for two processes that cannot reach each other directly.

use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, Message, NodeId};

/// The exclusive upper bound of a rotation's start position; it is low enough that the position never overflows in
/// practice.
const MAX_START_POSITION: u64 = 1 << 16;

/// Selects relays in rotation (round robin).
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayRotation {
    next: usize,
}

impl RelayRotation {
    /// Creates a rotation that starts at a position derived from `seed`, so that gateways spread over the relays.
    pub(crate) fn new(seed: u64) -> RelayRotation {
        RelayRotation {
            next: (seed % MAX_START_POSITION) as usize,
        }
    }

    /// Returns the next relay, or `None` if there are no relays.
    pub(crate) fn next(&mut self, relays: &[NodeId]) -> Option<NodeId> {
        if relays.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(relays[self.next % relays.len()])
    }
}

/// Wraps a message of `from` to `to`, to be sent through a relay. Returns `None` if the message cannot be encoded.
pub(crate) fn wrap_message(from: NodeId, to: NodeId, message: &Message) -> Option<Message> {
    let payload = frame::encode(message).ok()?;
    Some(Message::Relayed(Relayed {
        from,
        to,
        payload: Blob(payload),
    }))
}

/// Returns the message inside a relayed one, or `None` if it cannot be decoded or is itself a relayed message.
pub(crate) fn unwrap_message(relayed: &Relayed) -> Option<Message> {
    match frame::decode(&relayed.payload).ok()? {
        Message::Relayed(_) => None,
        message => Some(message),
    }
}
