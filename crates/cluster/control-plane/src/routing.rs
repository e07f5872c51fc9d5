//! The router of a process, which delivers the messages of its parts to the process itself, directly to another
//! process, or through a forwarding process.
//!
//! A process that cannot be reached directly is reached over the route on which its latest message arrived.

use std::collections::{BTreeMap, VecDeque};

use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{DiskWrite, Outbox};
use sagetrail_protocol::{frame, Blob, Message, NodeId, Time};

use crate::effects::{Effects, PlannedWrite};
use crate::timing::ROUTE_MS;

/// The maximum number of stored routes.
const MAX_ROUTES: usize = 1024;

/// The route to a process.
#[derive(Debug)]
struct Route {
    /// The process that forwards messages on this route.
    forwarder: NodeId,
    /// When the route expires.
    expires_at: Time,
}

/// The router of one process.
#[derive(Debug)]
pub(crate) struct MessageRouter {
    /// The address of this process.
    node: NodeId,
    /// The routes to processes that cannot be reached directly.
    routes: BTreeMap<NodeId, Route>,
    /// The messages of this process to itself that can be delivered.
    own_messages: VecDeque<Message>,
    /// The messages of this process to itself that wait for a sync of the disk, by the token of the write.
    unsynced: BTreeMap<u64, Vec<Message>>,
    /// The token of the next write with such messages.
    next_token: u64,
}

impl MessageRouter {
    /// Creates a router without routes.
    pub(crate) fn new(node: NodeId) -> MessageRouter {
        MessageRouter {
            node,
            routes: BTreeMap::new(),
            own_messages: VecDeque::new(),
            unsynced: BTreeMap::new(),
            next_token: 1,
        }
    }

    /// Returns the next message of this process to itself.
    pub(crate) fn next_own_message(&mut self) -> Option<Message> {
        self.own_messages.pop_front()
    }

    /// Handles the sync of the write with this token.
    pub(crate) fn on_synced(&mut self, token: u64) {
        let messages = self.unsynced.remove(&token).unwrap_or_default();
        self.own_messages.extend(messages);
    }

    /// Stores the route to `from`, whose message arrived through a forwarder.
    pub(crate) fn learn_route(&mut self, now: Time, from: NodeId, forwarder: NodeId) {
        self.routes.retain(|_, route| route.expires_at > now);
        if self.routes.len() < MAX_ROUTES {
            let expires_at = now.plus_millis(ROUTE_MS);
            self.routes.insert(
                from,
                Route {
                    forwarder,
                    expires_at,
                },
            );
        }
    }

    /// Removes the route to `from`, whose message arrived directly.
    pub(crate) fn forget_route(&mut self, from: NodeId) {
        self.routes.remove(&from);
    }

    /// Moves all effects to the outbox, except the messages of this process to itself.
    pub(crate) fn flush(&mut self, now: Time, effects: &mut Effects, outbox: &mut Outbox) {
        for write in effects.writes.drain(..) {
            let write = self.disk_write(now, write);
            outbox.writes.push(write);
        }
        for (to, message) in effects.sends.drain(..) {
            if to == self.node {
                self.own_messages.push_back(message);
            } else if let Some((to, message)) = self.address(now, to, message) {
                outbox.send(to, message);
            }
        }
        outbox.replies.append(&mut effects.replies);
    }

    /// Converts a planned write to a write of the outbox, with addressed messages.
    fn disk_write(&mut self, now: Time, write: PlannedWrite) -> DiskWrite {
        let (own, others): (Vec<_>, Vec<_>) = write
            .send_when_synced
            .into_iter()
            .partition(|(to, _)| *to == self.node);
        let send_when_synced = others
            .into_iter()
            .filter_map(|(to, message)| self.address(now, to, message))
            .collect();
        let own: Vec<Message> = own.into_iter().map(|(_, message)| message).collect();
        DiskWrite {
            operations: write.operations,
            send_when_synced,
            token: (!own.is_empty()).then(|| self.await_sync(own)),
        }
    }

    /// Holds the messages back until a write is synced. Returns the token of that write.
    fn await_sync(&mut self, own: Vec<Message>) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.unsynced.insert(token, own);
        token
    }

    /// Returns the process to which a message is sent and the message, wrapped for the forwarder if there is one.
    /// Returns `None` if the message cannot be encoded.
    fn address(&self, now: Time, to: NodeId, message: Message) -> Option<(NodeId, Message)> {
        let route = self.routes.get(&to).filter(|route| route.expires_at > now);
        let Some(route) = route.filter(|_| !matches!(message, Message::Relayed(_))) else {
            return Some((to, message));
        };
        let relayed = Relayed {
            from: self.node,
            to,
            payload: Blob(frame::encode(&message).ok()?),
        };
        Some((route.forwarder, Message::Relayed(relayed)))
    }
}
