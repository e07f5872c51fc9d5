//! Addresses what the parts want said: to this process itself, directly, or by the process that forwards.

use crate::effects::Effects;
use crate::timing::RELAY_MS;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{DiskWrite, Outbox};
use sagetrail_protocol::{frame, Blob, Message, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// So many ways by a forwarder are remembered.
const MAX_ROUTES: usize = 1024;

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
    /// The same, waiting for a write.
    unsynced: BTreeMap<u64, Vec<Message>>,
    next_token: u64,
}

impl MessageRouter {
    /// Without any ways.
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
            self.routes.insert(
                from,
                Route {
                    forwarder,
                    until: now.plus_millis(RELAY_MS),
                },
            );
        }
    }

    /// A message of `from` came directly.
    pub(crate) fn forget_route(&mut self, from: NodeId) {
        self.routes.remove(&from);
    }

    /// Hands everything to the world.
    pub(crate) fn flush(&mut self, now: Time, effects: &mut Effects, outbox: &mut Outbox) {
        for write in effects.writes.drain(..) {
            let (own, others): (Vec<_>, Vec<_>) =
                write.then.into_iter().partition(|(to, _)| *to == self.node);
            let then = others
                .into_iter()
                .filter_map(|(to, message)| self.address(now, to, message))
                .collect();
            let token = (!own.is_empty()).then(|| self.wait(own));
            outbox.writes.push(DiskWrite {
                operations: write.operations,
                send_when_synced: then,
                token,
            });
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

    fn wait(&mut self, own: Vec<(NodeId, Message)>) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.unsynced
            .insert(token, own.into_iter().map(|(_, message)| message).collect());
        token
    }

    /// `None` where the message cannot be wrapped.
    fn address(&self, now: Time, to: NodeId, message: Message) -> Option<(NodeId, Message)> {
        let route = self.routes.get(&to).filter(|route| route.until > now);
        match (route, &message) {
            (Some(route), message) if !matches!(message, Message::Relayed(_)) => {
                let payload = Blob(frame::encode(message).ok()?);
                Some((
                    route.forwarder,
                    Message::Relayed(Relayed {
                        from: self.node,
                        to,
                        payload,
                    }),
                ))
            }
            _ => Some((to, message)),
        }
    }
}
