//! The connection to the leader: directly, and through a relay while the direct connection is silent.

use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Incarnation, Message, NodeId, NodeKind, Time};

use crate::leader_discovery::LeaderDiscovery;
use crate::relay::{self, RelayRotation};
use crate::settings::GatewaySettings;

/// Finds the leader and sends messages to it.
#[derive(Debug)]
pub(crate) struct LeaderLink {
    own: NodeId,
    incarnation: Incarnation,
    /// Who the leader is.
    pub(crate) discovery: LeaderDiscovery,
    rotation: RelayRotation,
}

impl LeaderLink {
    /// A link that knows the seeds only.
    pub(crate) fn new(settings: &GatewaySettings, now: Time) -> LeaderLink {
        LeaderLink {
            own: settings.node,
            incarnation: settings.incarnation,
            discovery: LeaderDiscovery::new(settings.node, settings.seeds.clone(), now),
            rotation: RelayRotation::new(settings.seed),
        }
    }

    /// Sends a message to the leader, through a relay too if it is silent; the number of copies that left.
    pub(crate) fn send(
        &mut self,
        now: Time,
        leader: NodeId,
        message: Message,
        outbox: &mut Outbox,
    ) -> u32 {
        let mut copies = 1;
        if self.discovery.needs_relay(now) {
            let relay = self.rotation.next(&self.discovery.message_relays());
            let wrapped = relay::wrap(self.own, leader, &message);
            if let (Some(relay), Some(wrapped)) = (relay, wrapped) {
                outbox.send(relay, wrapped);
                copies += 1;
            }
        }
        outbox.send(leader, message);
        copies
    }

    /// Sends the hellos that are due; they name the configuration version that this process holds, 0 for none.
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
