//! Sends messages to the leader: directly, and also through a relay while the direct connection is silent.

use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Incarnation, Message, NodeId, NodeKind, Time};

use crate::leader_discovery::LeaderDiscovery;
use crate::relay::{self, RelayRotation};
use crate::settings::GatewaySettings;

/// Finds the leader by discovery and sends messages to it.
#[derive(Debug)]
pub(crate) struct LeaderLink {
    own_node: NodeId,
    incarnation: Incarnation,
    /// The discovery that determines the leader.
    pub(crate) discovery: LeaderDiscovery,
    relay_rotation: RelayRotation,
}

impl LeaderLink {
    /// Creates a link whose discovery knows only the seeds.
    pub(crate) fn new(settings: &GatewaySettings, now: Time) -> LeaderLink {
        LeaderLink {
            own_node: settings.node,
            incarnation: settings.incarnation,
            discovery: LeaderDiscovery::new(settings.node, settings.seeds.clone(), now),
            relay_rotation: RelayRotation::new(settings.seed),
        }
    }

    /// Sends a message to the leader, and a second copy through a relay if the direct connection is silent. Returns the
    /// number of copies that were sent.
    pub(crate) fn send(
        &mut self,
        now: Time,
        leader: NodeId,
        message: Message,
        outbox: &mut Outbox,
    ) -> u32 {
        let mut copies = 1;
        if self.discovery.needs_relay(now) {
            let relay = self.relay_rotation.next(&self.discovery.message_relays());
            let wrapped = relay::wrap_message(self.own_node, leader, &message);
            if let (Some(relay), Some(wrapped)) = (relay, wrapped) {
                outbox.send(relay, wrapped);
                copies += 1;
            }
        }
        outbox.send(leader, message);
        copies
    }

    /// Sends the hellos that are due. Each contains the configuration version that this process has, or 0 if it has
    /// none.
    pub(crate) fn send_due_hellos(&mut self, now: Time, config_version: u64, outbox: &mut Outbox) {
        for target in self.discovery.hello_targets(now) {
            let hello = Message::Hello(Hello {
                kind: NodeKind::Frontend,
                incarnation: self.incarnation,
                config_version,
            });
            if self.discovery.leader() == Some(target) {
                self.send(now, target, hello, outbox);
            } else {
                outbox.send(target, hello);
            }
        }
    }
}
