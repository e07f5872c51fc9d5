//! Forwarding of clients' requests: admitted, sent, retried, answered.

use sagetrail_protocol::client::{ClientMethod, ClientReply, NotLeader};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::{HttpReply, HttpRequest, HttpRequestId, Method, Outbox};
use sagetrail_protocol::{Incarnation, Message, NodeId, Time};

use crate::admission::{Admission, LeaderStatus};
use crate::deadline::Deadlines;
use crate::error::GatewayError;
use crate::leader_discovery::{Discovery, Leader};
use crate::leader_link::LeaderLink;
use crate::pending::{PendingTable, RequestContent};
use crate::response;

/// The shortest time between two attempts at a leader that answers `NotLeader`, in milliseconds.
const MIN_BOUNCE_INTERVAL_MS: u64 = 100;

/// Forwards requests, and answers each exactly once.
#[derive(Debug)]
pub(crate) struct Forwarder {
    pending: PendingTable,
    /// The newest configuration version that was received or that an answer was based on, 0 for none. It travels with
    /// each request, so that a scheduler with an older configuration does not answer by that.
    config_version: u64,
    /// The graceful shutdown is over: nothing is accepted any more.
    is_shut_down: bool,
}

impl Forwarder {
    /// Without requests; numbers them differently from other incarnations of this process.
    pub(crate) fn new(incarnation: Incarnation) -> Forwarder {
        Forwarder {
            pending: PendingTable::new(incarnation),
            config_version: 0,
            is_shut_down: false,
        }
    }

    /// The newest configuration version seen, 0 for none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Records that a configuration of this version exists.
    pub(crate) fn record_config_version(&mut self, version: u64) {
        self.config_version = self.config_version.max(version);
    }

    /// True where every request is answered.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// When the next request is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending.next_wake()
    }

    /// Rejects all further requests.
    pub(crate) fn shut_down(&mut self) {
        self.is_shut_down = true;
    }

    /// Receives a client's request; bodies of submissions are at most `max_body_bytes` long.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        link: &mut LeaderLink,
        max_body_bytes: u64,
        (id, request): (HttpRequestId, HttpRequest),
        outbox: &mut Outbox,
    ) {
        let admitted = client_method(request.method).and_then(|method| {
            self.admission(now, link, max_body_bytes)
                .check(method, request.body.len())?;
            Ok(method)
        });
        let method = match admitted {
            Ok(method) => method,
            Err(error) => return outbox.reply(id, HttpReply::from(error)),
        };
        let deadlines = Deadlines::new(now, request.deadline_ms);
        let content = content(id, method, request);
        let number = self.pending.insert(now, content, deadlines);
        if link.discovery.leader().is_none() {
            link.discovery.expedite_hello(now);
        }
        self.send(now, link, number, outbox);
    }

    /// Forgets a request whose client has closed the connection.
    pub(crate) fn abandon(&mut self, id: HttpRequestId) {
        self.pending.abandon(id);
    }

    fn admission(&self, now: Time, link: &LeaderLink, max_body_bytes: u64) -> Admission {
        let leader = match link.discovery.leader() {
            None => LeaderStatus::Unknown,
            Some(_) if link.discovery.is_leader_responsive(now) => LeaderStatus::Responsive,
            Some(_) => LeaderStatus::Unresponsive,
        };
        Admission {
            max_body_bytes,
            is_shut_down: self.is_shut_down,
            is_full: self.pending.is_full(),
            has_configuration: self.config_version > 0,
            leader,
        }
    }

    /// Sends a request to the leader; lets it wait where none is known.
    fn send(&mut self, now: Time, link: &mut LeaderLink, number: u64, outbox: &mut Outbox) {
        let Some(leader) = link.discovery.leader() else {
            return self.pending.await_leader(number);
        };
        let Some(request) = self.pending.get(number) else {
            return;
        };
        let message = request.message(now, number, self.config_version);
        let copies = link.send(now, leader, Message::ClientRequest(message), outbox);
        self.pending.record_sent(now, number, copies);
    }

    /// Sends every pending request to a new leader.
    pub(crate) fn resend_all(&mut self, now: Time, link: &mut LeaderLink, outbox: &mut Outbox) {
        for number in self.pending.numbers() {
            self.pending.reset_backoff(number);
            self.send(now, link, number, outbox);
        }
    }

    /// Retries, or gives up, each request that is due.
    pub(crate) fn run_due(&mut self, now: Time, link: &mut LeaderLink, outbox: &mut Outbox) {
        while let Some(number) = self.pending.next_due(now) {
            let has_expired = self
                .pending
                .get(number)
                .is_some_and(|request| request.has_expired(now));
            if has_expired {
                self.give_up(number, outbox);
            } else {
                self.send(now, link, number, outbox);
            }
        }
    }

    /// Answers every pending request without the scheduler.
    pub(crate) fn give_up_all(&mut self, outbox: &mut Outbox) {
        for number in self.pending.numbers() {
            self.give_up(number, outbox);
        }
    }

    fn give_up(&mut self, number: u64, outbox: &mut Outbox) {
        let Some(request) = self.pending.remove(number) else {
            return;
        };
        let error = match request.copies_in_flight {
            0 => GatewayError::NoLeader,
            _ => GatewayError::OutcomeUnknown,
        };
        outbox.reply(request.content.id, HttpReply::from(error));
    }

    /// Receives the scheduler's answer.
    pub(crate) fn receive_reply(&mut self, reply: ClientReply, outbox: &mut Outbox) {
        self.record_config_version(reply.config_version);
        let Some(request) = self.pending.remove(reply.request) else {
            return;
        };
        // A copy that is still in flight could be accepted after this one was rejected.
        let may_be_accepted =
            request.content.method == ClientMethod::Submit && request.copies_in_flight > 1;
        let answer = if may_be_accepted && response::is_rejection(reply.status) {
            HttpReply::from(GatewayError::OutcomeUnknown)
        } else {
            response::forwarded(reply)
        };
        outbox.reply(request.content.id, answer);
    }

    /// Receives the message of `from` that it is not the leader: a copy of a request had no effect there.
    pub(crate) fn receive_not_leader(
        &mut self,
        now: Time,
        link: &mut LeaderLink,
        from: NodeId,
        bounce: &NotLeader,
        outbox: &mut Outbox,
    ) {
        let was_leader = link.discovery.leader() == Some(from);
        let named = Leader {
            node: bounce.leader,
            term: bounce.term,
        };
        let discovery = link.discovery.receive_not_leader(now, from, named);
        self.pending.record_bounced(now, bounce.request);
        if discovery == Discovery::NewLeader {
            return self.resend_all(now, link, outbox);
        }
        if link.discovery.leader().is_none() {
            return self.pending.await_leader(bounce.request);
        }
        self.retry_bounced(now, was_leader, bounce.request);
    }

    /// Brings the retry of a bounced request forward, unless a copy may still reach the leader.
    fn retry_bounced(&mut self, now: Time, was_leader: bool, number: u64) {
        let Some(request) = self.pending.get(number) else {
            return;
        };
        if was_leader || request.copies_in_flight == 0 {
            let earliest = request
                .last_sent()
                .map_or(now, |sent| sent.plus_millis(MIN_BOUNCE_INTERVAL_MS));
            self.pending.reschedule(number, earliest.max(now));
        }
    }
}

fn client_method(method: Method) -> Result<ClientMethod, GatewayError> {
    match method {
        Method::Post => Ok(ClientMethod::Submit),
        Method::Get => Ok(ClientMethod::Read),
        Method::Delete => Ok(ClientMethod::Cancel),
        Method::Other => Err(GatewayError::MethodNotAllowed),
    }
}

/// What is kept of a request; only a submission has a body.
fn content(id: HttpRequestId, method: ClientMethod, request: HttpRequest) -> RequestContent {
    let body = if method == ClientMethod::Submit {
        request.body
    } else {
        Vec::new()
    };
    RequestContent {
        id,
        method,
        host: Text(request.host),
        path: Text(request.path),
        body: Blob(body),
    }
}
