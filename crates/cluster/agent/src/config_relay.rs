//! The agent's place in the relay tree: it receives configurations and relays them to the processes below it.

use sagetrail_config_distribution::Relay;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Message, NodeId, Time};

/// Time that a due renewal waits for another reason to wake, in milliseconds: an idle agent wakes for nothing else.
const WAKE_SLACK_MS: u64 = 300;

/// A process of the relay tree, and the candidates for its parent that it was last given.
#[derive(Debug)]
pub(crate) struct ConfigRelay {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
}

impl ConfigRelay {
    /// Without a configuration or a parent.
    pub(crate) fn new(node: NodeId, seed: u64) -> ConfigRelay {
        ConfigRelay {
            relay: Relay::new(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
        }
    }

    /// The version of the configuration, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.relay.newest().map_or(0, |(version, _)| version)
    }

    /// Receives a message of the relay tree; ignores any other.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: NodeId,
        message: Message,
        outbox: &mut Outbox,
    ) {
        let answers = match message {
            Message::Subscribe(subscribe) => self.relay.receive_subscribe(from, subscribe, now),
            Message::ConfigUpdate(update) => self.relay.receive_update(from, update, now),
            Message::ConfigCurrent(current) => {
                self.relay.receive_current(from, &current, now);
                Vec::new()
            }
            _ => Vec::new(),
        };
        send_all(answers, outbox);
    }

    /// Sets the processes that make up the tree.
    pub(crate) fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        if self.core == core && self.relays == relays {
            return;
        }
        self.core = core.to_vec();
        self.relays = relays.to_vec();
        self.relay.set_candidates(&self.core, &self.relays);
    }

    /// Renews the subscription with the parent where that is due.
    pub(crate) fn send_due(&mut self, now: Time, outbox: &mut Outbox) {
        send_all(self.relay.wake(now), outbox);
    }

    /// When `send_due` is due at the latest.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.relay
            .next_wake()
            .map(|due| due.plus_millis(WAKE_SLACK_MS))
    }
}

fn send_all(messages: Vec<(NodeId, Message)>, outbox: &mut Outbox) {
    for (to, message) in messages {
        outbox.send(to, message);
    }
}
