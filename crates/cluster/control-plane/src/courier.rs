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
struct Way {
    forwarder: NodeId,
    until: Time,
}

/// The courier of one process.
#[derive(Debug)]
pub struct Courier {
    node: NodeId,
    ways: BTreeMap<NodeId, Way>,
    /// Messages of this process to itself.
    own: VecDeque<Message>,
    /// The same, waiting for a write.
    unsynced: BTreeMap<u64, Vec<Message>>,
    next_token: u64,
}

impl Courier {
    /// Without any ways.
    pub fn new(node: NodeId) -> Courier {
        Courier {
            node,
            ways: BTreeMap::new(),
            own: VecDeque::new(),
            unsynced: BTreeMap::new(),
            next_token: 1,
        }
    }

    /// The next message of this process to itself.
    pub fn next_own(&mut self) -> Option<Message> {
        self.own.pop_front()
    }

    /// A write has been synced.
    pub fn synced(&mut self, token: u64) {
        let messages = self.unsynced.remove(&token).unwrap_or_default();
        self.own.extend(messages);
    }

    /// A message of `from` came by a forwarder.
    pub fn came_by(&mut self, now: Time, from: NodeId, forwarder: NodeId) {
        self.ways.retain(|_, way| way.until > now);
        if self.ways.len() < MAX_ROUTES {
            self.ways.insert(
                from,
                Way {
                    forwarder,
                    until: now.plus_millis(RELAY_MS),
                },
            );
        }
    }

    /// A message of `from` came directly.
    pub fn came_directly(&mut self, from: NodeId) {
        self.ways.remove(&from);
    }

    /// Hands everything to the world.
    pub fn flush(&mut self, now: Time, effects: &mut Effects, outbox: &mut Outbox) {
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
                then,
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
        let way = self.ways.get(&to).filter(|way| way.until > now);
        match (way, &message) {
            (Some(way), message) if !matches!(message, Message::Relayed(_)) => {
                let payload = Blob(frame::encode(message).ok()?);
                Some((
                    way.forwarder,
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
