//! The agent's part in the relay tree: the agent receives configurations and relays them to the processes below it.

use sagetrail_config_distribution::Relay;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Message, NodeId, Time};

/// The time by which a due action of the relay, such as the renewal of its subscription, may be delayed until the agent
/// wakes for another reason, in milliseconds. Without this delay an idle agent would wake for the renewal alone.
const WAKE_SLACK_MS: u64 = 300;

/// A process of the relay tree, together with the latest candidates for its parent.
#[derive(Debug)]
pub(crate) struct ConfigRelay {
    relay: Relay,
    core: Vec<NodeId>,
    relays: Vec<NodeId>,
}

impl ConfigRelay {
    /// Creates a relay that has no configuration and no parent.
    pub(crate) fn new(node: NodeId, seed: u64) -> ConfigRelay {
        ConfigRelay {
            relay: Relay::new(node, seed),
            core: Vec::new(),
            relays: Vec::new(),
        }
    }

    /// Returns the version of the newest configuration, 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.relay.newest().map_or(0, |(version, _)| version)
    }

    /// Receives a message of the relay tree and ignores any other message.
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

    /// Sets the core processes and relays that make up the tree.
    pub(crate) fn set_candidates(&mut self, core: &[NodeId], relays: &[NodeId]) {
        if self.core == core && self.relays == relays {
            return;
        }
        self.core = core.to_vec();
        self.relays = relays.to_vec();
        self.relay.set_candidates(&self.core, &self.relays);
    }

    /// Renews the subscription or changes the parent if that is due.
    pub(crate) fn send_due(&mut self, now: Time, outbox: &mut Outbox) {
        send_all(self.relay.wake(now), outbox);
    }

    /// Returns the latest time at which `send_due` must be called.
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
