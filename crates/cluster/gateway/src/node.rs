//! The gateway as a node: events in, an outbox out.

use crate::core_view::CoreView;
use crate::drain::Drain;
use crate::pending::PendingTable;
use crate::relay::{self, RelayTurn};
use crate::response;
use crate::settings::GatewaySettings;
use crate::subscription::Subscription;
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{Message, NodeId, NodeKind, Time};

/// The platform's readiness check asks for a path that ends so.
const READINESS_PATH_END: &str = "readyz";

/// A gateway greets more often than this, in milliseconds: after a longer pause it had been standing still.
const STALL_MS: u64 = 1_500;
/// What waited in its sockets meanwhile is taken within this, in milliseconds, and is no sign of life.
const BACKLOG_MS: u64 = 100;

/// A gateway.
#[derive(Debug)]
pub struct GatewayNode {
    pub(crate) settings: GatewaySettings,
    pub(crate) view: CoreView,
    pub(crate) subscription: Subscription,
    pub(crate) pending: PendingTable,
    pub(crate) relay_turn: RelayTurn,
    /// The newest version of the configuration that any answer was given by.
    pub(crate) newest_version: u64,
    drain: Option<Drain>,
    last_event: Time,
    /// True once the process may end.
    pub(crate) ended: bool,
}

impl GatewayNode {
    /// Starts, and greets the seeds.
    pub fn new(settings: GatewaySettings, now: Now, outbox: &mut Outbox) -> GatewayNode {
        let mut node = GatewayNode {
            view: CoreView::new(settings.node, settings.seeds.clone(), now.steady),
            subscription: Subscription::new(settings.node, settings.seed),
            pending: PendingTable::new(settings.incarnation),
            relay_turn: RelayTurn::new(settings.seed),
            newest_version: 0,
            drain: None,
            last_event: now.steady,
            ended: false,
            settings,
        };
        node.run_due(now.steady, outbox);
        node
    }

    /// True where clients may be sent here.
    pub fn is_ready(&self, now: Time) -> bool {
        self.drain.is_none() && self.subscription.is_current(now) && self.view.leader_answers(now)
    }

    /// The newest version of the configuration seen, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.newest_version
            .max(self.subscription.held().unwrap_or(0))
    }

    fn take_message(
        &mut self,
        now: Time,
        from: NodeId,
        direct: bool,
        message: Message,
        outbox: &mut Outbox,
    ) {
        match message {
            Message::Directory(directory) => {
                if self.view.take_directory(now, from, direct, directory) {
                    self.send_all(now, outbox);
                }
            }
            Message::ClientReply(reply) => {
                self.view.heard_from(now, from, direct);
                self.take_reply(reply, outbox);
            }
            Message::NotLeader(bounce) => self.take_bounce(now, from, &bounce, outbox),
            Message::ConfigUpdate(update) => self.subscription.take_update(now, from, update),
            Message::ConfigCurrent(current) => self.subscription.take_current(now, from, &current),
            Message::Relayed(relayed) => self.take_relayed(now, relayed, outbox),
            other => log::debug!("unexpected from {from}: {other:?}"),
        }
    }

    fn take_relayed(&mut self, now: Time, relayed: Relayed, outbox: &mut Outbox) {
        if relayed.to != self.settings.node {
            return outbox.send(relayed.to, Message::Relayed(relayed));
        }
        let Some(message) = relay::unwrap(&relayed) else {
            return log::debug!("no message inside of one relayed from {}", relayed.from);
        };
        self.take_message(now, relayed.from, false, message, outbox);
    }

    fn readiness(&self, now: Time, request: &HttpRequest) -> HttpReply {
        if request.method != Method::Get || !request.path.ends_with(READINESS_PATH_END) {
            return response::not_found();
        }
        if self.is_ready(now) {
            response::ready()
        } else {
            response::not_ready()
        }
    }

    /// After a pause, words that waited are older than they look.
    fn note_pause(&mut self, now: Time) {
        if now.millis_since(self.last_event) > STALL_MS {
            let until = now.plus_millis(BACKLOG_MS);
            self.view.distrust(until);
            self.subscription.distrust(until);
        }
        self.last_event = now;
    }

    /// Does whatever is due.
    fn run_due(&mut self, now: Time, outbox: &mut Outbox) {
        self.greet(now, outbox);
        self.renew_subscription(now, outbox);
        self.run_due_requests(now, outbox);
        self.run_drain(now, outbox);
    }

    fn greet(&mut self, now: Time, outbox: &mut Outbox) {
        let targets = self.view.hello_targets(now);
        for target in targets {
            let hello = Message::Hello(Hello {
                kind: NodeKind::Frontend,
                incarnation: self.settings.incarnation,
                config_version: self.subscription.held().unwrap_or(0),
            });
            if self.view.leader() == Some(target) {
                self.send_to_leader(now, target, hello, outbox);
            } else {
                outbox.send(target, hello);
            }
        }
    }

    fn renew_subscription(&mut self, now: Time, outbox: &mut Outbox) {
        self.subscription
            .candidates(self.view.core(), self.view.config_relays());
        let due = self.subscription.wake(now);
        due.into_iter()
            .for_each(|(parent, message)| outbox.send(parent, message));
    }

    fn run_drain(&mut self, now: Time, outbox: &mut Outbox) {
        let Some(drain) = self.drain else { return };
        if now >= drain.latest {
            for number in self.pending.numbers() {
                self.give_up(number, outbox);
            }
        }
        self.ended = self.ended || (now >= drain.earliest && self.pending.is_empty());
        outbox.finished = self.ended;
    }

    fn drain_wake(&self) -> Option<Time> {
        let drain = self.drain.filter(|_| !self.ended)?;
        Some(if self.pending.is_empty() {
            drain.earliest
        } else {
            drain.latest
        })
    }
}

impl Node for GatewayNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        let steady = now.steady;
        self.note_pause(steady);
        match event {
            Event::Message { from, message } => {
                self.take_message(steady, from, true, message, outbox)
            }
            Event::Http {
                id,
                endpoint: HttpEndpoint::Frontend,
                request,
            } => self.take_request(steady, id, request, outbox),
            Event::Http {
                id,
                endpoint: HttpEndpoint::Readiness,
                request,
            } => {
                outbox.reply(id, self.readiness(steady, &request));
            }
            Event::Http {
                id,
                endpoint: HttpEndpoint::Control,
                ..
            } => outbox.reply(id, response::not_found()),
            Event::HttpAbandoned { id } => self.pending.abandon(id),
            Event::SeedsChanged(seeds) => self.view.set_seeds(seeds),
            Event::Terminate => {
                let grace_s = self.settings.bounds.grace_s;
                self.drain
                    .get_or_insert_with(|| Drain::start(steady, grace_s));
            }
            Event::Synced { .. } | Event::HealthCheck { .. } | Event::Wake => {}
        }
        self.run_due(steady, outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        let greeting = self.view.next_hello();
        let regular = self
            .subscription
            .next_wake()
            .map_or(greeting, |wake| wake.min(greeting));
        let pending = self.pending.next_wake().unwrap_or(regular);
        let drain = self.drain_wake().unwrap_or(regular);
        Some(regular.min(pending).min(drain))
    }
}
