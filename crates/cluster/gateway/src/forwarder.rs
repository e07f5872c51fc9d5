//! Forwards clients' requests to the scheduler: admits, sends, retries and answers them.

use sagetrail_protocol::client::{ClientMethod, ClientReply, NotLeader};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::{HttpReply, HttpRequest, HttpRequestId, Method, Outbox};
use sagetrail_protocol::{Incarnation, Message, NodeId, Time};

use crate::admission::{Admission, LeaderStatus};
use crate::deadline::Deadlines;
use crate::error::GatewayError;
use crate::leader_discovery::{Leader, LeaderChange};
use crate::leader_link::LeaderLink;
use crate::pending::{PendingTable, RequestContent};
use crate::response;

/// The shortest time between two attempts of a request that is answered with `NotLeader`, in milliseconds.
const MIN_REDIRECT_INTERVAL_MS: u64 = 100;

/// Forwards clients' requests to the scheduler and answers each one exactly once.
#[derive(Debug)]
pub(crate) struct Forwarder {
    pending: PendingTable,
    /// The newest configuration version that was received or on which an answer was based; 0 if there is none. It is
    /// sent with each request, so that a scheduler with an older configuration does not answer based on that one.
    config_version: u64,
    /// True once the graceful shutdown is over; every further request is rejected.
    is_shut_down: bool,
}

impl Forwarder {
    /// Creates a forwarder without requests. Its request numbers differ from those of other incarnations of this
    /// process.
    pub(crate) fn new(incarnation: Incarnation) -> Forwarder {
        Forwarder {
            pending: PendingTable::new(incarnation),
            config_version: 0,
            is_shut_down: false,
        }
    }

    /// Returns the newest configuration version seen, or 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Records that a configuration with this version exists.
    pub(crate) fn record_config_version(&mut self, version: u64) {
        self.config_version = self.config_version.max(version);
    }

    /// Returns whether every request has been answered.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the time at which the next pending request is due for a retry or has expired.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        self.pending.next_wake()
    }

    /// Ends admission: every later request is rejected.
    pub(crate) fn shut_down(&mut self) {
        self.is_shut_down = true;
    }

    /// Receives a client's request. Rejects it at once if it is not admitted, for example if its body is longer than
    /// `max_body_bytes`; otherwise stores it as pending and sends it to the leader if one is known.
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
        let content = request_content(id, method, request);
        let number = self.pending.insert(now, content, deadlines);
        if link.discovery.leader().is_none() {
            link.discovery.expedite_hello(now);
        }
        self.send(now, link, number, outbox);
    }

    /// Removes a pending request whose client has closed the connection.
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

    /// Sends a pending request to the leader; if no leader is known, the request waits for one.
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

    /// Sends every pending request to a newly discovered leader.
    pub(crate) fn resend_all(&mut self, now: Time, link: &mut LeaderLink, outbox: &mut Outbox) {
        for number in self.pending.numbers() {
            self.pending.reset_backoff(number);
            self.send(now, link, number, outbox);
        }
    }

    /// Retries each request that is due, or answers it with an error if it has expired.
    pub(crate) fn run_due(&mut self, now: Time, link: &mut LeaderLink, outbox: &mut Outbox) {
        while let Some(number) = self.pending.next_due(now) {
            let has_expired = self
                .pending
                .get(number)
                .is_some_and(|request| request.has_expired(now));
            if has_expired {
                self.fail_pending(number, outbox);
            } else {
                self.send(now, link, number, outbox);
            }
        }
    }

    /// Answers every pending request with an error, without waiting for the scheduler.
    pub(crate) fn fail_all_pending(&mut self, outbox: &mut Outbox) {
        for number in self.pending.numbers() {
            self.fail_pending(number, outbox);
        }
    }

    fn fail_pending(&mut self, number: u64, outbox: &mut Outbox) {
        let Some(request) = self.pending.remove(number) else {
            return;
        };
        let error = match request.copies_in_flight {
            0 => GatewayError::NoLeader,
            _ => GatewayError::OutcomeUnknown,
        };
        outbox.reply(request.content.id, HttpReply::from(error));
    }

    /// Receives the scheduler's answer to a request and forwards it to the client.
    pub(crate) fn receive_reply(&mut self, reply: ClientReply, outbox: &mut Outbox) {
        self.record_config_version(reply.config_version);
        let Some(request) = self.pending.remove(reply.request) else {
            return;
        };
        // Another copy that is still in flight could be accepted after this one was rejected.
        let may_be_accepted =
            request.content.method == ClientMethod::Submit && request.copies_in_flight > 1;
        let answer = if may_be_accepted && response::is_rejection(reply.status) {
            HttpReply::from(GatewayError::OutcomeUnknown)
        } else {
            response::forwarded(reply)
        };
        outbox.reply(request.content.id, answer);
    }

    /// Receives the message of `from` that it is not the leader. The copy of the request that it received had no
    /// effect.
    pub(crate) fn receive_not_leader(
        &mut self,
        now: Time,
        link: &mut LeaderLink,
        from: NodeId,
        not_leader: &NotLeader,
        outbox: &mut Outbox,
    ) {
        let was_leader = link.discovery.leader() == Some(from);
        let named = Leader {
            node: not_leader.leader,
            term: not_leader.term,
        };
        let change = link.discovery.receive_not_leader(now, from, named);
        self.pending.record_not_leader(now, not_leader.request);
        if change == LeaderChange::NewLeader {
            return self.resend_all(now, link, outbox);
        }
        if link.discovery.leader().is_none() {
            return self.pending.await_leader(not_leader.request);
        }
        self.retry_after_not_leader(now, was_leader, not_leader.request);
    }

    /// Reschedules a request that was answered with `NotLeader` to an earlier retry, unless another copy may still
    /// reach the leader.
    fn retry_after_not_leader(&mut self, now: Time, was_leader: bool, number: u64) {
        let Some(request) = self.pending.get(number) else {
            return;
        };
        if was_leader || request.copies_in_flight == 0 {
            let earliest = request
                .last_sent_at()
                .map_or(now, |sent| sent.plus_millis(MIN_REDIRECT_INTERVAL_MS));
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

/// Extracts the part of an HTTP request that is stored while it is pending. The body is kept only for a submission.
fn request_content(
    id: HttpRequestId,
    method: ClientMethod,
    request: HttpRequest,
) -> RequestContent {
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
