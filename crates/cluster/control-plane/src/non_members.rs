//! Between this process and those outside the core: who is who, relayed messages, what goes to the service.

use crate::node::{CoreNode, Delayed};
use crate::quorum::MemberList;
use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::directory::{Directory, Hello};
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, List, Message, NodeId, NodeKind};

/// So many messages wait for fresh knowledge.
const MAX_DELAYED: usize = 256;

impl CoreNode {
    /// A message from another process.
    pub(crate) fn on_remote_message(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Relayed(relayed) => self.on_relayed(from, relayed),
            message => {
                self.router.forget_route(from);
                self.on_message(from, message);
            }
        }
    }

    fn on_relayed(&mut self, forwarder: NodeId, relayed: Relayed) {
        if relayed.to != self.settings.node {
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

    /// A process renews its lease of membership and is told who is who.
    pub(crate) fn on_hello(&mut self, from: NodeId, hello: &Hello) {
        let now = self.now.steady;
        if hello.kind == NodeKind::Core {
            self.hear_core(from);
            if let Some(bootstrap) = &mut self.membership_state.bootstrap {
                bootstrap.hear(now, from);
            }
            if !self.register_view.list.contains(from) {
                self.joiners.hear(now, from, hello.incarnation);
            }
            if self.replica.on_hello_of_lease_holder(now, from) {
                self.elections.hasten_next();
            }
        } else {
            self.leases.renew(now, from, hello.kind);
        }
        self.send_directory(from);
    }

    /// Tells who is who.
    pub(crate) fn send_directory(&mut self, to: NodeId) {
        let now = self.now.steady;
        let (term, leader) = self.known_leader();
        let directory = Directory {
            members_version: self.register_view.list.version,
            members: List(self.register_view.list.members.clone()),
            next_members: List(self.register_view.list.next_members.clone()),
            term,
            leader,
            config_version: self.register_view.config_version(),
            relays: List(
                self.leases
                    .relays(now, self.register_view.list.members.len()),
            ),
        };
        self.effects.sends.push((to, Message::Directory(directory)));
    }

    /// Another core process told who is who.
    pub(crate) fn on_directory(&mut self, directory: &Directory) {
        let newer = self.register_view.adopt_list(MemberList {
            version: directory.members_version,
            members: directory.members.0.clone(),
            next_members: directory.next_members.0.clone(),
        });
        if newer && self.register_view.chosen.is_some() {
            self.newer_value_hint_at = Some(self.now.steady);
        }
    }

    /// The newest term known, and who schedules in it. This process names itself only under its lease: its replica
    /// goes on following the term after the lease is over.
    fn known_leader(&self) -> (u64, NodeId) {
        if let Some(leadership) = &self.leadership {
            let leader = if leadership.service.is_some() {
                self.settings.node
            } else {
                NodeId::default()
            };
            return (leadership.term, leader);
        }
        let (term, leader) = self.replica.promised_term();
        (
            term,
            if leader == self.settings.node {
                NodeId::default()
            } else {
                leader
            },
        )
    }

    /// Hands a message to the service, at once or once the register was read again.
    pub(crate) fn serve(&mut self, from: NodeId, message: Message) {
        let serving = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.service.is_some());
        if !serving || !self.knows_less(&message) {
            return self.deliver(from, message);
        }
        if self.delayed.len() < MAX_DELAYED {
            let arrived = self.now.steady;
            self.delayed.push_back(Delayed {
                from,
                message,
                arrived,
            });
        }
    }

    /// Whether the sender has seen a newer configuration.
    fn knows_less(&self, message: &Message) -> bool {
        match message {
            Message::ClientRequest(request) => {
                request.config_version > self.register_view.config_version()
            }
            _ => false,
        }
    }

    /// Hands a message to the service, or says that it is not here.
    pub(crate) fn deliver(&mut self, from: NodeId, message: Message) {
        match self
            .leadership
            .as_mut()
            .and_then(|leadership| leadership.service.as_mut())
        {
            Some(service) => service.message(self.now, from, message),
            None => self.not_leader(from, &message),
        }
    }

    fn not_leader(&mut self, from: NodeId, message: &Message) {
        let request = match message {
            Message::ClientRequest(request) => request.request,
            _ => 0,
        };
        let (term, leader) = self.known_leader();
        self.effects.sends.push((
            from,
            Message::NotLeader(NotLeader {
                request,
                term,
                leader,
            }),
        ));
    }
}
