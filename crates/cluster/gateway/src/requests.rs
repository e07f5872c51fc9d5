//! Clients' requests: taken, sent, sent again, answered.

use crate::core_view::Leader;
use crate::node::GatewayNode;
use crate::pending::Question;
use crate::{relay, response};
use sagetrail_protocol::client::{ClientMethod, ClientReply, NotLeader};
use sagetrail_protocol::collections::{Blob, Text};
use sagetrail_protocol::node::{HttpReply, HttpRequest, HttpRequestId, Method, Outbox};
use sagetrail_protocol::{Message, NodeId, Time};

/// A client's patience where it names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 3000;
/// No client is waited for longer, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 30_000;
/// The answer leaves so long before the client's patience ends, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;
/// A request is sent to the same leader out of turn at most so often, in milliseconds.
const BOUNCE_PAUSE_MS: u64 = 100;

impl GatewayNode {
    /// Takes a request of a client.
    pub(crate) fn take_request(
        &mut self,
        now: Time,
        id: HttpRequestId,
        request: HttpRequest,
        outbox: &mut Outbox,
    ) {
        let Some(method) = client_method(request.method) else {
            return outbox.reply(id, response::method_not_allowed());
        };
        if let Some(refusal) = self.refusal(now, method, &request) {
            return outbox.reply(id, refusal);
        }
        let patience_ms = request
            .deadline_ms
            .unwrap_or(DEFAULT_DEADLINE_MS)
            .min(LONGEST_DEADLINE_MS);
        let answer_ms = patience_ms
            .saturating_sub(ANSWER_MARGIN_MS)
            .max(patience_ms / 2);
        let body = if method == ClientMethod::Submit {
            request.body
        } else {
            Vec::new()
        };
        let question = Question {
            id,
            method,
            host: Text(request.host),
            path: Text(request.path),
            body: Blob(body),
        };
        let (patience_end, answer_by) = (now.plus_millis(patience_ms), now.plus_millis(answer_ms));
        let number = self.pending.insert(now, question, patience_end, answer_by);
        if self.view.leader().is_none() {
            self.view.ask_soon(now);
        }
        self.send_request(now, number, outbox);
    }

    /// What must be said at once, before anything is sent.
    fn refusal(&self, now: Time, method: ClientMethod, request: &HttpRequest) -> Option<HttpReply> {
        if request.body.len() as u64 > self.subscription.limits().max_body_bytes {
            return Some(response::too_large());
        }
        if self.ended {
            return Some(response::refused("ending"));
        }
        if self.pending.is_full() {
            return Some(response::refused("too many requests under way"));
        }
        let leader = self.view.leader();
        if leader.is_none() && self.config_version() == 0 {
            return Some(response::refused("no configuration yet"));
        }
        let silent = leader.is_some() && !self.view.leader_responsive(now);
        if silent && method == ClientMethod::Submit {
            return Some(response::refused("the scheduler does not answer"));
        }
        None
    }

    /// Sends a request to the leader, through a relay as well if it is silent; parks it where no leader is known.
    pub(crate) fn send_request(&mut self, now: Time, number: u64, outbox: &mut Outbox) {
        let Some(leader) = self.view.leader() else {
            return self.pending.park(number);
        };
        let config_version = self.config_version();
        let Some(request) = self.pending.get(number) else {
            return;
        };
        let message = Message::ClientRequest(request.message(now, number, config_version));
        let copies = self.send_to_leader(now, leader, message, outbox);
        self.pending.note_sent(now, number, copies);
    }

    /// Sends a message to the leader; gives the number of copies.
    pub(crate) fn send_to_leader(
        &mut self,
        now: Time,
        leader: NodeId,
        message: Message,
        outbox: &mut Outbox,
    ) -> u32 {
        let mut copies = 1;
        if self.view.wants_relay(now) {
            let through = self.relay_turn.take(&self.view.relays());
            let wrapped = relay::wrap(self.settings.node, leader, &message);
            if let (Some(through), Some(wrapped)) = (through, wrapped) {
                outbox.send(through, wrapped);
                copies += 1;
            }
        }
        outbox.send(leader, message);
        copies
    }

    /// Sends every waiting request to a new leader.
    pub(crate) fn send_all(&mut self, now: Time, outbox: &mut Outbox) {
        for number in self.pending.numbers() {
            self.pending.restart_repeats(number);
            self.send_request(now, number, outbox);
        }
    }

    /// Sends again, or gives up, each request that is due.
    pub(crate) fn run_due_requests(&mut self, now: Time, outbox: &mut Outbox) {
        while let Some(number) = self.pending.next_due(now) {
            let over = self
                .pending
                .get(number)
                .is_some_and(|request| request.is_over(now));
            if over {
                self.give_up(number, outbox);
            } else {
                self.send_request(now, number, outbox);
            }
        }
    }

    /// Answers a request without the scheduler's word.
    pub(crate) fn give_up(&mut self, number: u64, outbox: &mut Outbox) {
        let Some(request) = self.pending.remove(number) else {
            return;
        };
        let reply = match request.copies_out {
            0 => response::refused("no scheduler"),
            _ => response::unknown(),
        };
        outbox.reply(request.question.id, reply);
    }

    /// Takes the scheduler's answer.
    pub(crate) fn take_reply(&mut self, reply: ClientReply, outbox: &mut Outbox) {
        self.newest_version = self.newest_version.max(reply.config_version);
        let Some(request) = self.pending.remove(reply.request) else {
            return;
        };
        // A copy that is still on its way could be taken after this one was refused.
        let another_out = request.question.method == ClientMethod::Submit && request.copies_out > 1;
        let answer = match another_out && response::is_refusal(reply.status) {
            true => response::unknown(),
            false => response::passed_on(reply),
        };
        outbox.reply(request.question.id, answer);
    }

    /// Takes the word of `from` that it is not the leader, so that a copy of a request came to nothing there.
    pub(crate) fn take_bounce(
        &mut self,
        now: Time,
        from: NodeId,
        bounce: &NotLeader,
        outbox: &mut Outbox,
    ) {
        let sent_there = self.view.leader() == Some(from);
        let named = Leader {
            node: bounce.leader,
            term: bounce.term,
        };
        let adopted = self.view.take_not_leader(now, from, named);
        self.pending.note_bounced(now, bounce.request);
        if adopted {
            return self.send_all(now, outbox);
        }
        if self.view.leader().is_none() {
            return self.pending.park(bounce.request);
        }
        let Some(request) = self.pending.get(bounce.request) else {
            return;
        };
        if sent_there || request.copies_out == 0 {
            let earliest = request
                .last_sent()
                .map_or(now, |sent| sent.plus_millis(BOUNCE_PAUSE_MS));
            self.pending.reschedule(bounce.request, earliest.max(now));
        }
    }
}

fn client_method(method: Method) -> Option<ClientMethod> {
    match method {
        Method::Post => Some(ClientMethod::Submit),
        Method::Get => Some(ClientMethod::Read),
        Method::Delete => Some(ClientMethod::Cancel),
        Method::Other => None,
    }
}
