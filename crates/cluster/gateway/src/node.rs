//! The gateway as a `Node`: receives events, and writes messages and HTTP replies to an outbox.

use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{
    Event, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId, Method, Node, Now, Outbox,
};
use sagetrail_protocol::{Message, NodeId, Time};

use crate::contact::Route;
use crate::drain::Drain;
use crate::error::GatewayError;
use crate::forwarder::Forwarder;
use crate::leader_discovery::LeaderChange;
use crate::leader_link::LeaderLink;
use crate::relay;
use crate::response;
use crate::settings::GatewaySettings;
use crate::subscription::Subscription;

/// The suffix of the path at which the platform checks readiness.
const READINESS_PATH_SUFFIX: &str = "readyz";
/// The longest pause between two events, in milliseconds, before the process is assumed to have been suspended. In a
/// running process the hellos alone cause events more often.
const SUSPENSION_THRESHOLD_MS: u64 = 1_500;
/// The time that a resumed process needs to read the messages queued in its sockets, in milliseconds. Those messages do
/// not show that their sender is alive now.
const SOCKET_BACKLOG_READ_MS: u64 = 100;

/// The logic of a gateway process, which forwards clients' requests to the scheduler.
///
/// It starts no threads or tasks and reads no clock. The host process calls [`Node::handle`] with each event, and with
/// `Event::Wake` at the time that [`Node::next_wake`] returns.
#[derive(Debug)]
pub struct GatewayNode {
    settings: GatewaySettings,
    link: LeaderLink,
    subscription: Subscription,
    forwarder: Forwarder,
    /// The graceful shutdown; `None` until it has begun.
    drain: Option<Drain>,
    /// True once the graceful shutdown is over and the process may end.
    is_finished: bool,
    last_event_at: Time,
}

impl GatewayNode {
    /// Creates the logic of a gateway and sends hellos to the seeds.
    pub fn new(settings: GatewaySettings, now: Now, outbox: &mut Outbox) -> GatewayNode {
        let mut node = GatewayNode {
            link: LeaderLink::new(&settings, now.steady),
            subscription: Subscription::new(settings.node, settings.seed),
            forwarder: Forwarder::new(settings.incarnation),
            drain: None,
            is_finished: false,
            last_event_at: now.steady,
            settings,
        };
        node.run_due(now.steady, outbox);
        node
    }

    /// Returns whether clients may be sent to this process: the configuration is current, the leader answers, and the
    /// process is not draining.
    pub fn is_ready(&self, now: Time) -> bool {
        self.drain.is_none()
            && self.subscription.is_current(now)
            && self.link.discovery.is_leader_answering(now)
    }

    /// Returns the newest configuration version seen, or 0 if there is none.
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
                if change == LeaderChange::NewLeader {
                    self.forwarder.resend_all(now, &mut self.link, outbox);
                }
            }
            Message::ClientReply(reply) => {
                self.link.discovery.record_contact(now, from, route);
                self.forwarder.receive_reply(reply, outbox);
            }
            Message::NotLeader(not_leader) => {
                let link = &mut self.link;
                self.forwarder
                    .receive_not_leader(now, link, from, &not_leader, outbox);
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
            other => log::debug!("received unexpected message: node={from} message={other:?}"),
        }
    }

    /// Decodes a relayed message whose destination is this process; forwards one for another process unchanged.
    fn receive_relayed(&mut self, now: Time, relayed: Relayed, outbox: &mut Outbox) {
        if relayed.to != self.settings.node {
            return outbox.send(relayed.to, Message::Relayed(relayed));
        }
        let Some(message) = relay::unwrap_message(&relayed) else {
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
        if request.method != Method::Get || !request.path.ends_with(READINESS_PATH_SUFFIX) {
            return HttpReply::from(GatewayError::NotFound);
        }
        if self.is_ready(now) {
            response::ready()
        } else {
            HttpReply::from(GatewayError::NotReady)
        }
    }

    /// Detects a suspension of the process by the time since the last event. After one, messages that were queued in
    /// the sockets do not count as contact or confirmation, because they are older than their arrival suggests.
    fn detect_suspension(&mut self, now: Time) {
        if now.millis_since(self.last_event_at) > SUSPENSION_THRESHOLD_MS {
            let until = now.plus_millis(SOCKET_BACKLOG_READ_MS);
            self.link.discovery.ignore_contact_until(until);
            self.subscription.ignore_confirmations_until(until);
        }
        self.last_event_at = now;
    }

    /// Sends the hellos, subscription renewals and retries that are due, and advances the drain.
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
        if now >= drain.latest_end {
            self.forwarder.fail_all_pending(outbox);
        }
        if now >= drain.earliest_end && self.forwarder.is_idle() {
            self.is_finished = true;
            self.forwarder.shut_down();
        }
        outbox.finished = self.is_finished;
    }

    fn drain_wake(&self) -> Option<Time> {
        let drain = self.drain.filter(|_| !self.is_finished)?;
        Some(if self.forwarder.is_idle() {
            drain.earliest_end
        } else {
            drain.latest_end
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
