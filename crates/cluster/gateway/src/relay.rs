//! Messages through a third process, for two that cannot reach each other.

use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, Message, NodeId};

/// Bound of the start of a rotation, so that counting on from it never overflows in practice.
const START_BOUND: u64 = 1 << 16;

/// Chooses the relays in rotation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayRotation {
    next: usize,
}

impl RelayRotation {
    /// Starts at a position that `seed` determines, so that gateways spread over the relays.
    pub(crate) fn new(seed: u64) -> RelayRotation {
        RelayRotation {
            next: (seed % START_BOUND) as usize,
        }
    }

    /// The next relay; `None` where there is none.
    pub(crate) fn next(&mut self, relays: &[NodeId]) -> Option<NodeId> {
        if relays.is_empty() {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        Some(relays[self.next % relays.len()])
    }
}

/// Wraps `message` of `from` to `to` for a relay; `None` where it cannot be encoded.
pub(crate) fn wrap(from: NodeId, to: NodeId, message: &Message) -> Option<Message> {
    let payload = frame::encode(message).ok()?;
    Some(Message::Relayed(Relayed {
        from,
        to,
        payload: Blob(payload),
    }))
}

/// The message inside; `None` where it cannot be decoded, or is itself relayed.
pub(crate) fn unwrap(relayed: &Relayed) -> Option<Message> {
    match frame::decode(&relayed.payload).ok()? {
        Message::Relayed(_) => None,
        message => Some(message),
    }
}
