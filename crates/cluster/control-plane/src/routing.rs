//! Addresses the messages of the parts: to this process itself, directly, or by the process that forwards.
//!
//! A process that cannot be reached directly is reached by the route over which its latest message came.

use crate::effects::{Effects, PlannedWrite};
use crate::timing::ROUTE_MS;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{DiskWrite, Outbox};
use sagetrail_protocol::{frame, Blob, Message, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The most routes that are remembered.
const MAX_ROUTES: usize = 1024;

/// The forwarder by which a process is reached.
#[derive(Debug)]
struct Route {
    forwarder: NodeId,
    until: Time,
}

/// The router of one process.
#[derive(Debug)]
pub(crate) struct MessageRouter {
    node: NodeId,
    routes: BTreeMap<NodeId, Route>,
    /// Messages of this process to itself.
    own: VecDeque<Message>,
    /// Messages of this process to itself that wait for a sync of the disk, by its token.
    unsynced: BTreeMap<u64, Vec<Message>>,
    next_token: u64,
}

impl MessageRouter {
    /// Without any routes.
    pub(crate) fn new(node: NodeId) -> MessageRouter {
        MessageRouter {
            node,
            routes: BTreeMap::new(),
            own: VecDeque::new(),
            unsynced: BTreeMap::new(),
            next_token: 1,
        }
    }

    /// The next message of this process to itself.
    pub(crate) fn next_own(&mut self) -> Option<Message> {
        self.own.pop_front()
    }

    /// A write has been synced.
    pub(crate) fn synced(&mut self, token: u64) {
        let messages = self.unsynced.remove(&token).unwrap_or_default();
        self.own.extend(messages);
    }

    /// A message of `from` came by a forwarder.
    pub(crate) fn learn_route(&mut self, now: Time, from: NodeId, forwarder: NodeId) {
        self.routes.retain(|_, route| route.until > now);
        if self.routes.len() < MAX_ROUTES {
            let until = now.plus_millis(ROUTE_MS);
            self.routes.insert(from, Route { forwarder, until });
        }
    }

    /// A message of `from` came directly.
    pub(crate) fn forget_route(&mut self, from: NodeId) {
        self.routes.remove(&from);
    }

    /// Moves all effects to the outbox, but for the messages of this process to itself.
    pub(crate) fn flush(&mut self, now: Time, effects: &mut Effects, outbox: &mut Outbox) {
        for write in effects.writes.drain(..) {
            let write = self.disk_write(now, write);
            outbox.writes.push(write);
        }
        for (to, message) in effects.sends.drain(..) {
            if to == self.node {
                self.own.push_back(message);
            } else if let Some((to, message)) = self.address(now, to, message) {
                outbox.send(to, message);
            }
        }
        outbox.replies.append(&mut effects.replies);
    }

    fn disk_write(&mut self, now: Time, write: PlannedWrite) -> DiskWrite {
        let (own, others): (Vec<_>, Vec<_>) =
            write.then.into_iter().partition(|(to, _)| *to == self.node);
        let then = others
            .into_iter()
            .filter_map(|(to, message)| self.address(now, to, message))
            .collect();
        let own: Vec<Message> = own.into_iter().map(|(_, message)| message).collect();
        DiskWrite {
            operations: write.operations,
            send_when_synced: then,
            token: (!own.is_empty()).then(|| self.await_sync(own)),
        }
    }

    /// The token with whose sync these messages are delivered.
    fn await_sync(&mut self, own: Vec<Message>) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.unsynced.insert(token, own);
        token
    }

    /// Where a message goes, wrapped for the forwarder where there is one; `None` where it cannot be wrapped.
    fn address(&self, now: Time, to: NodeId, message: Message) -> Option<(NodeId, Message)> {
        let route = self.routes.get(&to).filter(|route| route.until > now);
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
