//! Messages of other processes.

use super::AgentNode;
use crate::orders::Adoption;
use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Outbox;
use sagetrail_protocol::{Message, NodeId, Time};

impl AgentNode {
    pub(super) fn message(
        &mut self,
        now: Time,
        from: NodeId,
        relay: Option<NodeId>,
        message: Message,
        outbox: &mut Outbox,
    ) {
        match message {
            Message::Directory(directory) => self.uplink.directory(now, directory),
            Message::NotLeader(refusal) => self.uplink.not_leader(from, &refusal),
            Message::RunnerCommands(orders) => self.take_orders(now, from, relay, orders),
            Message::Relayed(relayed) if relay.is_none() => {
                self.relayed(now, from, relayed, outbox)
            }
            message => self.config.message(now, from, message, outbox),
        }
    }

    fn take_orders(
        &mut self,
        now: Time,
        from: NodeId,
        relay: Option<NodeId>,
        orders: RunnerCommands,
    ) {
        let (term, answer) = (orders.term, orders.agent == self.settings.incarnation);
        match self.orders.receive(now, orders) {
            Adoption::Adopted | Adoption::Known => self.uplink.heard(from, term, relay, answer),
            Adoption::Older => self.counters.older_orders += 1,
        }
    }

    /// Unwraps what is for this process; passes on, once, what its author asks it to pass on.
    fn relayed(&mut self, now: Time, from: NodeId, relayed: Relayed, outbox: &mut Outbox) {
        if relayed.to == self.settings.node {
            match frame::decode(&relayed.payload) {
                Ok(message) => self.message(now, relayed.from, Some(from), message, outbox),
                Err(error) => log::debug!("relayed by {from}: {error}"),
            }
            return;
        }
        if relayed.from == from && relayed.to != from {
            outbox.send(relayed.to, Message::Relayed(relayed));
        }
    }
}
