//! What each message among core processes and each request of HTTP does.

use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::election::Elected;
use crate::http_api::{parse_request, ApiRequest};
use crate::leadership::{Leadership, TermStatus};
use crate::node::{CoreNode, LearnAsker};
use crate::proposer::Decision;
use crate::quorum_read::ReadOutcome;
use crate::replica::ProcessStatus;
use sagetrail_protocol::control::{
    ControlMessage, Learn, Learned, Promise, ProposalNumber, Recover, RecoverReply, Rejected,
    Renew, RenewAck, VoteReply,
};
use sagetrail_protocol::node::{HttpEndpoint, HttpRequest, HttpRequestId};
use sagetrail_protocol::{Message, NodeId, Time};

/// So many processes wait to be told that a proposal number is learnt.
const MAX_LEARN_ASKERS: usize = 64;
/// After so many reads in a row whose answers differed, a round of the register settles its value.
const MAX_UNDECIDED_READS: u32 = 2;
/// After a read whose answers differed the next one comes so soon, in milliseconds.
const REREAD_MS: u64 = 50;

impl CoreNode {
    /// A message, however it came.
    pub(crate) fn on_message(&mut self, from: NodeId, message: Message) {
        let now = self.now.steady;
        match message {
            Message::Hello(hello) => self.on_hello(from, &hello),
            Message::Directory(directory) => self.on_directory(&directory),
            Message::ClientRequest(_) | Message::RunnerReport(_) => self.serve(from, message),
            Message::Subscribe(subscribe) => self.subscribers.on_subscribe(now, from, &subscribe),
            Message::Control(control) => self.on_control(from, control),
            _ => {}
        }
    }

    fn on_control(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        self.hear_core(from);
        match message {
            ControlMessage::Bootstrap(found) => self.on_bootstrap(from, found),
            ControlMessage::StateSynced(settled) => self.on_settled(from, &settled),
            ControlMessage::Promise(promised) => self.on_promised(from, promised),
            ControlMessage::Accepted(accepted) => {
                let decision = self.proposer.on_accepted(from, &accepted);
                self.on_decision(decision);
            }
            ControlMessage::Rejected(rejected) => self.on_rejected(&rejected),
            ControlMessage::ValueNeeded(needed) => {
                self.proposer
                    .on_value_needed(from, &needed, &mut self.effects);
            }
            ControlMessage::ReadReply(reply) => {
                if let Some(found) = self.reader.on_reply(from, reply) {
                    self.on_read(found);
                }
            }
            ControlMessage::Learn(learn) => self.on_learn(from, learn.proposal),
            ControlMessage::Learned(learned) => self.on_learned(from, &learned),
            ControlMessage::RecoverReply(reply) => {
                if let Some(recovery) = &mut self.membership_state.recovery {
                    recovery.on_reply(from, &reply, &mut self.effects);
                }
            }
            ControlMessage::VoteReply(reply) => self.on_vote_reply(from, &reply),
            ControlMessage::RenewAck(ack) => self.on_renew_ack(from, &ack),
            ControlMessage::RecordsSynced(stored) => {
                if from == self.settings.node {
                    self.replica.on_synced(stored.position);
                }
                if let Some(leadership) = &mut self.leadership {
                    leadership.on_records_synced(
                        now,
                        from,
                        stored.position,
                        &self.register_view.list,
                    );
                }
            }
            ControlMessage::ChangesRequest(request) => self.on_changes_request(from, &request),
            ControlMessage::ChangesReply(reply) => self.on_changes_reply(from, &reply),
            ControlMessage::MemberLeases(leases) => self.on_member_leases(from, &leases),
            ControlMessage::DirectoryRequest => self.send_directory(from),
            message if self.membership_state.ready => self.on_request(from, message),
            _ => {}
        }
    }

    /// Requests that only a process may answer that knows what it promised.
    fn on_request(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        let effects = &mut self.effects;
        match message {
            ControlMessage::Prepare(prepare) => {
                self.proposer.observe_proposal(prepare.proposal);
                self.acceptor.on_prepare(from, &prepare, effects);
            }
            ControlMessage::Accept(accept) => {
                self.acceptor
                    .on_accept(self.settings.node, from, accept, effects)
            }
            ControlMessage::AcceptChange(accept) => {
                self.acceptor
                    .on_accept_change(self.settings.node, from, &accept, effects);
            }
            ControlMessage::Read(read) => self.acceptor.on_read(from, &read, effects),
            ControlMessage::Recover(recover) => self.on_recover(from, &recover),
            ControlMessage::VoteRequest(request) => {
                let members_version = self.acceptor.members_version;
                self.replica
                    .on_vote_request(now, from, &request, members_version, effects);
            }
            ControlMessage::Renew(renew) => {
                let status = self.process_status(&renew);
                self.replica
                    .on_renew(now, from, &renew, status, &mut self.effects);
                self.on_newer_value_hint(renew.learned);
            }
            ControlMessage::Resign(resign) if self.replica.on_resign(now, from, resign.term) => {
                self.elections.hasten_next();
            }
            ControlMessage::RecordBatch(batch) => self.replica.on_batch(from, batch, effects),
            ControlMessage::FetchSnapshot(fetch) => {
                self.replica.on_fetch_snapshot(now, from, &fetch, effects)
            }
            ControlMessage::SnapshotChunk(chunk) => {
                self.replica.on_snapshot_chunk(now, from, chunk, effects)
            }
            _ => {}
        }
    }

    /// What this process says of itself to the leader of the term.
    fn process_status(&self, renew: &Renew) -> ProcessStatus {
        let caught_up = self.register_view.proposal() >= renew.learned && self.changes_caught_up();
        ProcessStatus {
            leaving: self.terminating.is_some(),
            caught_up,
        }
    }

    fn on_promised(&mut self, from: NodeId, promised: Promise) {
        if let Some(recovery) = &mut self.membership_state.recovery {
            if let Some(recovered) = recovery.on_promise(from, promised) {
                self.on_recovered(recovered);
            }
            return;
        }
        let now = self.now.steady;
        let changes = &self.accepted_changes;
        let decision = self
            .proposer
            .on_promise(now, from, promised, changes, &mut self.effects);
        self.on_decision(decision);
    }

    fn on_rejected(&mut self, rejected: &Rejected) {
        if let Some(recovery) = &mut self.membership_state.recovery {
            recovery.on_rejected(rejected);
        }
        self.proposer.on_rejected(self.now.steady, rejected);
    }

    fn on_decision(&mut self, decision: Option<Decision>) {
        let Some(decision) = decision else { return };
        let proposal = decision.chosen.proposal;
        // Who is a member no more is told as well.
        let mut listeners = self.register_view.list.all();
        self.learn(decision.chosen);
        self.freshen(decision.as_of);
        if decision.outcome == ChangeOutcome::Applied {
            listeners.extend(self.register_view.list.all());
            let learn = ControlMessage::Learn(Learn { proposal });
            self.effects.broadcast(listeners, &learn);
        }
        if let ChangeFunction::Config { number, .. } = decision.function {
            let now = self.now.steady;
            let leader = self.replica.live_leader(now);
            let wait = leader.is_some_and(|leader| leader != self.settings.node);
            self.operator.outcome(
                now,
                number,
                &decision.outcome,
                proposal,
                wait,
                &mut self.effects,
            );
        }
    }

    /// A read is done.
    pub(crate) fn on_read(&mut self, found: ReadOutcome) {
        match found {
            ReadOutcome::Chosen { chosen, as_of } => {
                self.learn(chosen);
                self.freshen(as_of);
                self.undecided_reads = 0;
            }
            ReadOutcome::Undecided => self.on_undecided_read(),
        }
    }

    /// Mostly a change is under way, and the next read finds it chosen. A round would compete with it.
    fn on_undecided_read(&mut self) {
        self.undecided_reads += 1;
        if self.undecided_reads < MAX_UNDECIDED_READS {
            self.poll_at = self.now.steady.plus_millis(REREAD_MS);
            return;
        }
        self.undecided_reads = 0;
        self.proposer.push(ChangeFunction::Identity);
    }

    fn on_learn(&mut self, from: NodeId, proposal: ProposalNumber) {
        self.on_newer_value_hint(proposal);
        let known = self.register_view.proposal();
        if known >= proposal {
            return self
                .effects
                .control(from, ControlMessage::Learned(Learned { proposal: known }));
        }
        if self.learn_askers.len() < MAX_LEARN_ASKERS {
            self.learn_askers.push(LearnAsker {
                node: from,
                proposal,
            });
        }
    }

    /// Somebody says that the value of this proposal number is chosen.
    fn on_newer_value_hint(&mut self, proposal: ProposalNumber) {
        if proposal <= self.register_view.proposal() {
            return;
        }
        if self.acceptor.proposals.accepted == proposal {
            if let Some(chosen) = self.own_value() {
                return self.learn(chosen);
            }
        }
        if proposal > self.register_view.hinted {
            self.register_view.hinted = proposal;
            self.newer_value_hint_at = Some(self.now.steady);
        }
    }

    fn on_learned(&mut self, from: NodeId, learned: &Learned) {
        let leader: Option<NodeId> = self.replica.live_leader(self.now.steady);
        if leader.is_none_or(|leader| leader == from) {
            self.operator
                .leader_learned(learned.proposal, &mut self.effects);
        }
    }

    fn on_recover(&mut self, from: NodeId, recover: &Recover) {
        let promised = self.acceptor.proposals.promised;
        let term = self.replica.state.promise.term;
        let reply = RecoverReply {
            nonce: recover.nonce,
            promised,
            term,
        };
        let reply = ControlMessage::RecoverReply(reply);
        self.effects.write(Vec::new(), vec![(from, reply)]);
    }

    fn on_vote_reply(&mut self, from: NodeId, reply: &VoteReply) {
        let now: Time = self.now.steady;
        if reply.members_version > self.register_view.list.version {
            self.newer_value_hint_at = self.newer_value_hint_at.or(Some(now));
        }
        let list = &self.register_view.list;
        let elected: Option<Elected> =
            self.elections
                .on_vote_reply(now, from, reply, list, &mut self.effects);
        if let Some(elected) = elected.filter(|_| self.may_lead()) {
            self.leadership = Some(Leadership::new(self.settings.node, now, elected, list));
        }
    }

    fn on_renew_ack(&mut self, from: NodeId, ack: &RenewAck) {
        let now = self.now.steady;
        self.elections.observe_term(ack.promised);
        if from == self.settings.node {
            self.replica.on_leader_synced(ack.term);
        }
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let status = leadership.on_renew_ack(now, from, ack, &self.register_view.list);
        if status == TermStatus::Superseded {
            self.step_down();
        }
    }

    /// A request of HTTP.
    pub(crate) fn on_http(
        &mut self,
        id: HttpRequestId,
        endpoint: HttpEndpoint,
        request: HttpRequest,
    ) {
        let now = self.now.steady;
        let founded = self.register_view.list.version > 0;
        match parse_request(endpoint, request, founded) {
            ApiRequest::Status(status) => self.effects.status(id, status),
            ApiRequest::ReadBack => self.operator.read_back(now, id, &mut self.effects),
            ApiRequest::Change(change) => {
                self.operator
                    .order(now, id, change, &mut self.proposer, &mut self.effects)
            }
        }
    }
}
