//! The dispatch of messages between core processes and of HTTP requests to the parts that handle them.

use sagetrail_protocol::control::{
    ControlMessage, Learned, MemberLeases, Promise, Recover, RecoverReply, Rejected, Renew,
    VoteReply,
};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, HttpRequestId};
use sagetrail_protocol::{Message, NodeId};

use super::CoreNode;
use crate::http_api::{parse_request, ApiRequest};
use crate::register::RegisterProgress;
use crate::replica::ProcessStatus;

impl CoreNode {
    /// Handles a message, regardless of the route on which it arrived.
    pub(super) fn on_message(&mut self, from: NodeId, message: Message) {
        let now = self.now.steady;
        match message {
            Message::Hello(hello) => self.on_hello(from, &hello),
            Message::Directory(directory) => self.on_directory(&directory),
            Message::ClientRequest(_) | Message::RunnerReport(_) => {
                self.on_scheduler_message(from, message);
            }
            Message::Subscribe(subscribe) => self.subscribers.on_subscribe(now, from, &subscribe),
            Message::Control(control) => self.on_control(from, control),
            _ => {}
        }
    }

    fn on_control(&mut self, from: NodeId, message: ControlMessage) {
        self.membership.on_contact(from, self.register.members());
        match message {
            ControlMessage::MemberLeases(leases) => self.on_member_leases(from, &leases),
            ControlMessage::DirectoryRequest => self.send_directory(from),
            ControlMessage::Bootstrap(_)
            | ControlMessage::StateSynced(_)
            | ControlMessage::RecoverReply(_) => self.on_membership_message(from, message),
            ControlMessage::Promise(_)
            | ControlMessage::Accepted(_)
            | ControlMessage::Rejected(_)
            | ControlMessage::ValueNeeded(_)
            | ControlMessage::ReadReply(_)
            | ControlMessage::Learn(_)
            | ControlMessage::Learned(_)
            | ControlMessage::ChangesRequest(_)
            | ControlMessage::ChangesReply(_) => self.on_register_message(from, message),
            ControlMessage::VoteReply(_)
            | ControlMessage::RenewAck(_)
            | ControlMessage::RecordsSynced(_) => self.on_term_reply(from, message),
            request if self.membership.is_active() => self.on_request(from, request),
            _ => {}
        }
    }

    fn on_member_leases(&mut self, from: NodeId, leases: &MemberLeases) {
        if self.register.members().contains(from) && from != self.node {
            self.leases.on_report(self.now.steady, from, leases);
        }
    }

    fn on_membership_message(&mut self, from: NodeId, message: ControlMessage) {
        let effects = &mut self.effects;
        match message {
            ControlMessage::Bootstrap(bootstrap) => self.membership.on_bootstrap(
                from,
                bootstrap,
                &mut self.register,
                &mut self.terms,
                effects,
            ),
            ControlMessage::StateSynced(synced) => {
                let update =
                    self.membership
                        .on_state_synced(from, &synced, &mut self.register, effects);
                self.on_view_update(update);
            }
            ControlMessage::RecoverReply(reply) => {
                self.membership.on_recover_reply(from, &reply, effects);
            }
            _ => {}
        }
    }

    /// Handles a message to the proposer, the reader or the learner of the register.
    fn on_register_message(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        let effects = &mut self.effects;
        match message {
            ControlMessage::Promise(promise) => self.on_promise(from, promise),
            ControlMessage::Accepted(accepted) => {
                let progress = self.register.on_accepted(now, from, &accepted, effects);
                self.on_register_progress(progress);
            }
            ControlMessage::Rejected(rejected) => self.on_rejected(&rejected),
            ControlMessage::ValueNeeded(needed) => {
                self.register.on_value_needed(from, &needed, effects);
            }
            ControlMessage::ReadReply(reply) => {
                let update = self.register.on_read_reply(now, from, reply, effects);
                self.on_view_update(update);
            }
            ControlMessage::Learn(learn) => {
                let update = self.register.on_learn(now, from, learn.proposal, effects);
                self.on_view_update(update);
            }
            ControlMessage::Learned(learned) => self.on_learned(from, &learned),
            ControlMessage::ChangesRequest(request) => {
                self.register.on_changes_request(from, &request, effects);
            }
            ControlMessage::ChangesReply(reply) => self.register.on_changes_reply(from, &reply),
            _ => {}
        }
    }

    /// Handles a reply to this process as a candidate or a leader.
    fn on_term_reply(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        let members = self.register.members();
        match message {
            ControlMessage::VoteReply(reply) => self.on_vote_reply(from, &reply),
            ControlMessage::RenewAck(ack) => {
                self.terms
                    .on_renew_ack(now, from, &ack, members, &mut self.effects);
            }
            ControlMessage::RecordsSynced(synced) => {
                self.terms.on_records_synced(now, from, &synced, members);
            }
            _ => {}
        }
    }

    /// Handles a request that only a process that knows its own promises may answer.
    fn on_request(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        let effects = &mut self.effects;
        match message {
            ControlMessage::Prepare(prepare) => self.register.on_prepare(from, &prepare, effects),
            ControlMessage::Accept(accept) => self.register.on_accept(from, accept, effects),
            ControlMessage::AcceptChange(accept) => {
                self.register.on_accept_change(from, &accept, effects);
            }
            ControlMessage::Read(read) => self.register.on_read(from, &read, effects),
            ControlMessage::Recover(recover) => self.on_recover(from, &recover),
            ControlMessage::VoteRequest(request) => {
                let members_version = self.register.acceptor().members_version;
                self.terms
                    .on_vote_request(now, from, &request, members_version, effects);
            }
            ControlMessage::Renew(renew) => self.on_renew(from, &renew),
            ControlMessage::Resign(resign) => self.terms.on_resign(now, from, &resign),
            ControlMessage::RecordBatch(batch) => self.terms.on_batch(from, batch, effects),
            ControlMessage::FetchSnapshot(fetch) => {
                self.terms.on_fetch(now, from, &fetch, effects);
            }
            ControlMessage::SnapshotChunk(chunk) => {
                self.terms.on_chunk(now, from, chunk, effects);
            }
            _ => {}
        }
    }

    fn on_renew(&mut self, from: NodeId, renew: &Renew) {
        let now = self.now.steady;
        let status = self.process_status(renew);
        let effects = &mut self.effects;
        self.terms.on_renew(now, from, renew, status, effects);
        let update = self
            .register
            .on_newer_value_hint(now, renew.learned, effects);
        self.on_view_update(update);
    }

    /// Returns the status that this process reports to the leader of the term.
    fn process_status(&self, renew: &Renew) -> ProcessStatus {
        let knows_newest = self.register.view().proposal() >= renew.learned;
        ProcessStatus {
            leaving: self.termination.is_requested(),
            caught_up: knows_newest && self.register.is_caught_up(),
        }
    }

    /// Handles a promise. A recovering process runs no rounds of its own, so the promise belongs to the recovery.
    fn on_promise(&mut self, from: NodeId, promise: Promise) {
        let effects = &mut self.effects;
        if self.membership.is_recovering() {
            let (register, terms) = (&mut self.register, &mut self.terms);
            return self
                .membership
                .on_promise(from, promise, register, terms, effects);
        }
        let now = self.now.steady;
        let progress = self.register.on_promise(now, from, promise, effects);
        self.on_register_progress(progress);
    }

    fn on_rejected(&mut self, rejected: &Rejected) {
        self.membership.on_rejected(rejected);
        self.register.on_rejected(self.now.steady, rejected);
    }

    fn on_register_progress(&mut self, progress: RegisterProgress) {
        self.on_view_update(progress.update);
        let Some(completed) = progress.completed else {
            return;
        };
        let now = self.now.steady;
        let leader = self.terms.live_leader(now);
        let awaits_leader = leader.is_some_and(|leader| leader != self.node);
        self.operator
            .on_change_completed(now, &completed, awaits_leader, &mut self.effects);
    }

    fn on_learned(&mut self, from: NodeId, learned: &Learned) {
        let leader = self.terms.live_leader(self.now.steady);
        if leader.is_none_or(|leader| leader == from) {
            self.operator
                .on_leader_learned(learned.proposal, &mut self.effects);
        }
    }

    /// Handles the request of a member that recovers. The reply waits until all earlier promises are on disk.
    fn on_recover(&mut self, from: NodeId, recover: &Recover) {
        let reply = ControlMessage::RecoverReply(RecoverReply {
            nonce: recover.nonce,
            promised: self.register.acceptor().proposals.promised,
            term: self.terms.replica_state().promise.term,
        });
        self.effects.write(Vec::new(), vec![(from, reply)]);
    }

    fn on_vote_reply(&mut self, from: NodeId, reply: &VoteReply) {
        let now = self.now.steady;
        self.register
            .on_members_version_reported(now, reply.members_version);
        let may_lead = self.may_lead();
        let members = self.register.members();
        self.terms
            .on_vote_reply(now, from, reply, may_lead, members, &mut self.effects);
    }

    /// Handles an HTTP request.
    pub(super) fn on_http(
        &mut self,
        id: HttpRequestId,
        endpoint: HttpEndpoint,
        request: HttpRequest,
    ) {
        let now = self.now.steady;
        let effects = &mut self.effects;
        match parse_request(endpoint, request, self.register.has_members()) {
            ApiRequest::Status(status) => effects.reply_status(id, status),
            ApiRequest::Read => self.operator.submit_read(now, id, effects),
            ApiRequest::Change(change) => {
                self.operator
                    .submit_change(now, id, change, &mut self.register, effects);
            }
        }
    }
}
