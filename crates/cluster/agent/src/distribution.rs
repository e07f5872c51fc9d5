//! The agent's place in the relay tree: it takes configurations and passes them on to the processes below it.

use crate::uplink::Uplink;
use sagetrail_config_distribution::Relay;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Message, NodeId, Time};

/// What is due waits so long for another reason to wake: an idle agent wakes for nothing else, in milliseconds.
const PATIENCE_MS: u64 = 300;

/// A process of the relay tree, and the candidates it was last given.
#[derive(Debug)]
pub(crate) struct ConfigRelay {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
}

impl ConfigRelay {
    /// Holds nothing and knows nobody.
    pub(crate) fn new(node: NodeId, seed: u64) -> ConfigRelay {
        ConfigRelay {
            relay: Relay::new(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
        }
    }

    /// The version held, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.relay.newest().map_or(0, |(version, _)| version)
    }

    /// Takes a message of the tree; any other is none of its business.
    pub(crate) fn message(
        &mut self,
        now: Time,
        from: NodeId,
        message: Message,
        outbox: &mut Outbox,
    ) {
        let answers = match message {
            Message::Subscribe(subscribe) => self.relay.subscribe(from, subscribe, now),
            Message::ConfigUpdate(update) => self.relay.update(from, update, now),
            Message::ConfigCurrent(current) => {
                self.relay.current(from, &current, now);
                Vec::new()
            }
            _ => Vec::new(),
        };
        send(answers, outbox);
    }

    /// Does what is due, among the processes that the uplink knows.
    pub(crate) fn poll(&mut self, now: Time, uplink: &mut Uplink, outbox: &mut Outbox) {
        self.take_candidates(uplink);
        uplink.holds(self.version());
        send(self.relay.wake(now), outbox);
    }

    /// When `poll` is due at the latest.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.relay
            .next_wake()
            .map(|due| due.plus_millis(PATIENCE_MS))
    }

    fn take_candidates(&mut self, uplink: &Uplink) {
        if self.core == uplink.core() && self.relays == uplink.config_relays() {
            return;
        }
        self.core = uplink.core().to_vec();
        self.relays = uplink.config_relays().to_vec();
        self.relay.candidates(&self.core, &self.relays);
    }
}

fn send(messages: Vec<(NodeId, Message)>, outbox: &mut Outbox) {
    messages
        .into_iter()
        .for_each(|(to, message)| outbox.send(to, message));
}
