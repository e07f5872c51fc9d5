//! The gateway as a node: receives events, and leaves in an outbox what is to be sent and answered.

use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{Message, NodeId, Time};

use crate::contact::Route;
use crate::drain::Drain;
use crate::error::GatewayError;
use crate::forwarder::Forwarder;
use crate::leader_discovery::Discovery;
use crate::leader_link::LeaderLink;
use crate::relay;
use crate::response;
use crate::settings::GatewaySettings;
use crate::subscription::Subscription;

/// The end of the path of the platform's readiness check.
const READINESS_PATH_END: &str = "readyz";
/// A process with longer pauses between its events than this was suspended, in milliseconds: hellos alone come more
/// often.
const SUSPENDED_MS: u64 = 1_500;
/// Time in which a process that was suspended has read what waited in its sockets, in milliseconds. Those messages are
/// no sign of life.
const SOCKET_BACKLOG_MS: u64 = 100;

/// A gateway: one process that forwards clients' requests.
///
/// It spawns nothing and has no clock of its own; the host process calls [`Node::handle`] with each event, and with
/// `Event::Wake` at [`Node::next_wake`].
#[derive(Debug)]
pub struct GatewayNode {
    settings: GatewaySettings,
    link: LeaderLink,
    subscription: Subscription,
    forwarder: Forwarder,
    /// The graceful shutdown, once it has begun.
    drain: Option<Drain>,
    /// The graceful shutdown is over, and the process may end.
    is_finished: bool,
    last_event: Time,
}

impl GatewayNode {
    /// Starts, and sends hellos to the seeds.
    pub fn new(settings: GatewaySettings, now: Now, outbox: &mut Outbox) -> GatewayNode {
        let mut node = GatewayNode {
            link: LeaderLink::new(&settings, now.steady),
            subscription: Subscription::new(settings.node, settings.seed),
            forwarder: Forwarder::new(settings.incarnation),
            drain: None,
            is_finished: false,
            last_event: now.steady,
            settings,
        };
        node.run_due(now.steady, outbox);
        node
    }

    /// True while clients may be sent here: the configuration is current, the leader answers, and the process is not
    /// draining.
    pub fn is_ready(&self, now: Time) -> bool {
        self.drain.is_none()
            && self.subscription.is_current(now)
            && self.link.discovery.is_leader_answering(now)
    }

    /// The newest configuration version seen, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.forwarder.config_version()
    }

    fn receive_message(
        &mut self,
        now: Time,
        from: NodeId,
        route: Route,
        message: Message,
        outbox: &mut Outbox,
    ) {
        match message {
            Message::Directory(directory) => {
                let discovery = &mut self.link.discovery;
                let change = discovery.receive_directory(now, from, route, directory);
                if change == Discovery::NewLeader {
                    self.forwarder.resend_all(now, &mut self.link, outbox);
                }
            }
            Message::ClientReply(reply) => {
                self.link.discovery.record_contact(now, from, route);
                self.forwarder.receive_reply(reply, outbox);
            }
            Message::NotLeader(bounce) => {
                let link = &mut self.link;
                self.forwarder
                    .receive_not_leader(now, link, from, &bounce, outbox);
            }
            Message::ConfigUpdate(update) => {
                self.subscription.receive_update(now, from, update);
                self.forwarder
                    .record_config_version(self.subscription.version());
            }
            Message::ConfigCurrent(current) => {
                self.subscription.receive_current(now, from, &current);
            }
            Message::Relayed(relayed) => self.receive_relayed(now, relayed, outbox),
            other => log::debug!("unexpected message: node={from} message={other:?}"),
        }
    }

    /// Opens a relayed message to this process; sends one to another process on, unopened.
    fn receive_relayed(&mut self, now: Time, relayed: Relayed, outbox: &mut Outbox) {
        if relayed.to != self.settings.node {
            return outbox.send(relayed.to, Message::Relayed(relayed));
        }
        let Some(message) = relay::unwrap(&relayed) else {
            return log::debug!("relayed message cannot be decoded: node={}", relayed.from);
        };
        self.receive_message(now, relayed.from, Route::Relayed, message, outbox);
    }

    fn receive_http(
        &mut self,
        now: Time,
        endpoint: HttpEndpoint,
        (id, request): (HttpRequestId, HttpRequest),
        outbox: &mut Outbox,
    ) {
        match endpoint {
            HttpEndpoint::Frontend => {
                let max_body_bytes = self.subscription.limits().max_body_bytes;
                let link = &mut self.link;
                self.forwarder
                    .receive(now, link, max_body_bytes, (id, request), outbox);
            }
            HttpEndpoint::Readiness => outbox.reply(id, self.readiness(now, &request)),
            HttpEndpoint::Control => outbox.reply(id, HttpReply::from(GatewayError::NotFound)),
        }
    }

    fn readiness(&self, now: Time, request: &HttpRequest) -> HttpReply {
        if request.method != Method::Get || !request.path.ends_with(READINESS_PATH_END) {
            return HttpReply::from(GatewayError::NotFound);
        }
        if self.is_ready(now) {
            response::ready()
        } else {
            HttpReply::from(GatewayError::NotReady)
        }
    }

    /// After a suspension, the messages that waited in the sockets are older than they appear.
    fn detect_suspension(&mut self, now: Time) {
        if now.millis_since(self.last_event) > SUSPENDED_MS {
            let until = now.plus_millis(SOCKET_BACKLOG_MS);
            self.link.discovery.ignore_contact_until(until);
            self.subscription.ignore_confirmations_until(until);
        }
        self.last_event = now;
    }

    /// Does everything that is due.
    fn run_due(&mut self, now: Time, outbox: &mut Outbox) {
        let config_version = self.subscription.version();
        self.link.send_due_hellos(now, config_version, outbox);
        self.renew_subscription(now, outbox);
        self.forwarder.run_due(now, &mut self.link, outbox);
        self.run_drain(now, outbox);
    }

    fn renew_subscription(&mut self, now: Time, outbox: &mut Outbox) {
        let discovery = &self.link.discovery;
        self.subscription
            .set_candidates(discovery.core(), discovery.config_relays());
        self.subscription.send_due(now, outbox);
    }

    fn start_drain(&mut self, now: Time) {
        let grace_s = self.settings.bounds.grace_s;
        self.drain.get_or_insert_with(|| Drain::start(now, grace_s));
    }

    fn run_drain(&mut self, now: Time, outbox: &mut Outbox) {
        let Some(drain) = self.drain else { return };
        if now >= drain.latest {
            self.forwarder.give_up_all(outbox);
        }
        if now >= drain.earliest && self.forwarder.is_idle() {
            self.is_finished = true;
            self.forwarder.shut_down();
        }
        outbox.finished = self.is_finished;
    }

    fn drain_wake(&self) -> Option<Time> {
        let drain = self.drain.filter(|_| !self.is_finished)?;
        Some(if self.forwarder.is_idle() {
            drain.earliest
        } else {
            drain.latest
        })
    }
}

impl Node for GatewayNode {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        let now = now.steady;
        self.detect_suspension(now);
        match event {
            Event::Message { from, message } => {
                self.receive_message(now, from, Route::Direct, message, outbox);
            }
            Event::Http {
                id,
                endpoint,
                request,
            } => self.receive_http(now, endpoint, (id, request), outbox),
            Event::HttpAbandoned { id } => self.forwarder.abandon(id),
            Event::SeedsChanged(seeds) => self.link.discovery.set_seeds(seeds),
            Event::Terminate => self.start_drain(now),
            Event::Synced { .. } | Event::HealthCheck { .. } | Event::Wake => {}
        }
        self.run_due(now, outbox);
    }

    fn next_wake(&self) -> Option<Time> {
        let wakes = [
            Some(self.link.discovery.next_hello()),
            self.subscription.next_wake(),
            self.forwarder.next_wake(),
            self.drain_wake(),
        ];
        wakes.into_iter().flatten().min()
    }
}
