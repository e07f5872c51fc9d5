//! The messages of processes outside the core: hellos, relayed messages, and requests to the scheduler.

use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::directory::{Directory, Hello};
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, List, Message, NodeId, NodeKind};

use super::CoreNode;
use crate::quorum::MemberList;
use crate::terms::KnownLeader;

impl CoreNode {
    /// Handles a message from another process.
    pub(super) fn on_remote_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Relayed(relayed) => self.on_relayed(from, relayed),
            message => {
                self.router.forget_route(from);
                self.on_message(from, message);
            }
        }
    }

    fn on_relayed(&mut self, forwarder: NodeId, relayed: Relayed) {
        if relayed.to != self.node {
            self.effects
                .sends
                .push((relayed.to, Message::Relayed(relayed)));
            return;
        }
        match frame::decode(&relayed.payload) {
            Ok(Message::Relayed(_)) | Err(_) => {}
            Ok(message) => {
                self.router
                    .learn_route(self.now.steady, relayed.from, forwarder);
                self.on_message(relayed.from, message);
            }
        }
    }

    /// Handles a hello, which renews the membership lease of its sender, and sends the directory in reply.
    pub(super) fn on_hello(&mut self, from: NodeId, hello: &Hello) {
        let now = self.now.steady;
        if hello.kind == NodeKind::Core {
            let members = self.register.members();
            self.membership.on_hello(now, from, members);
            self.reconfiguration
                .on_hello(now, from, hello.incarnation, members);
            self.terms.on_hello(now, from);
        } else {
            self.leases.renew(now, from, hello.kind);
        }
        self.send_directory(from);
    }

    /// Sends the directory, which names the members, the leader and the relays.
    pub(super) fn send_directory(&mut self, to: NodeId) {
        let now = self.now.steady;
        let KnownLeader { term, leader } = self.terms.known_leader();
        let view = self.register.view();
        let relays = self.leases.relays(now, view.list.members.len());
        let directory = Directory {
            members_version: view.list.version,
            members: List(view.list.members.clone()),
            next_members: List(view.list.next_members.clone()),
            term,
            leader,
            config_version: view.config_version(),
            relays: List(relays),
        };
        self.effects.sends.push((to, Message::Directory(directory)));
    }

    /// Handles the directory of another core process.
    pub(super) fn on_directory(&mut self, directory: &Directory) {
        let list = MemberList {
            version: directory.members_version,
            members: directory.members.0.clone(),
            next_members: directory.next_members.0.clone(),
        };
        self.register.on_members_reported(self.now.steady, list);
    }

    /// Passes a message to the scheduler, either at once or after the register has been read again. The latter is
    /// necessary if the sender has seen a newer configuration than this process.
    pub(super) fn on_scheduler_message(&mut self, from: NodeId, message: Message) {
        if self.terms.is_serving() && self.names_newer_config(&message) {
            return self.pending.push(self.now.steady, from, message);
        }
        self.deliver(from, message);
    }

    /// Returns whether the sender has seen a newer configuration than this process.
    fn names_newer_config(&self, message: &Message) -> bool {
        match message {
            Message::ClientRequest(request) => {
                request.config_version > self.register.view().config_version()
            }
            _ => false,
        }
    }

    /// Passes a message to the scheduler, or replies with the known leader if the scheduler does not run at this
    /// process.
    pub(super) fn deliver(&mut self, from: NodeId, message: Message) {
        match self.terms.service_mut() {
            Some(service) => service.message(self.now, from, message),
            None => self.send_not_leader(from, &message),
        }
    }

    fn send_not_leader(&mut self, to: NodeId, message: &Message) {
        let request = match message {
            Message::ClientRequest(request) => request.request,
            _ => 0,
        };
        let KnownLeader { term, leader } = self.terms.known_leader();
        let reply = NotLeader {
            request,
            term,
            leader,
        };
        self.effects.sends.push((to, Message::NotLeader(reply)));
    }
}
