//! What each message among core processes and each request of HTTP does.
use crate::candidate::Elected;
use crate::change::{Job, Verdict};
use crate::door::{asked, Asked};
use crate::node::{CoreNode, LearnAsker};
use crate::proposer::Outcome;
use crate::reader::Found;
use crate::replica::Condition;
use crate::term::Term;
use sagetrail_protocol::control::{
    Ballot, ControlMessage, Learn, Learned, Promised, Recover, RecoverReply, Refused, Renew,
    RenewAck, VoteReply,
};
use sagetrail_protocol::node::{Door, HttpRequest, HttpRequestId};
use sagetrail_protocol::{Message, NodeId, Time};

/// So many processes wait to be told that a ballot is learnt.
const MAX_LEARN_ASKERS: usize = 64;
/// After so many reads in a row whose answers differed, a round of the register settles its value.
const MOST_UNSETTLED_READS: u32 = 2;
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
            Message::Subscribe(subscribe) => self.subscribers.subscribe(now, from, &subscribe),
            Message::Control(control) => self.on_control(from, control),
            _ => {}
        }
    }

    fn on_control(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        self.hear_core(from);
        match message {
            ControlMessage::Found(found) => self.on_found(from, found),
            ControlMessage::Settled(settled) => self.on_settled(from, &settled),
            ControlMessage::Promised(promised) => self.on_promised(from, promised),
            ControlMessage::Accepted(accepted) => {
                let outcome = self.proposer.accepted(from, &accepted);
                self.on_outcome(outcome);
            }
            ControlMessage::Refused(refused) => self.on_refused(&refused),
            ControlMessage::ValueNeeded(needed) => {
                self.proposer.value_needed(from, &needed, &mut self.effects);
            }
            ControlMessage::ReadReply(reply) => {
                if let Some(found) = self.reader.reply(from, reply) {
                    self.on_read(found);
                }
            }
            ControlMessage::Learn(learn) => self.on_learn(from, learn.ballot),
            ControlMessage::Learned(learned) => self.on_learned(from, &learned),
            ControlMessage::RecoverReply(reply) => {
                if let Some(recovery) = &mut self.standing.recovery {
                    recovery.reply(from, &reply, &mut self.effects);
                }
            }
            ControlMessage::VoteReply(reply) => self.on_vote_reply(from, &reply),
            ControlMessage::RenewAck(ack) => self.on_renew_ack(from, &ack),
            ControlMessage::Stored(stored) => {
                if from == self.settings.node {
                    self.replica.stored(stored.tag);
                }
                if let Some(term) = &mut self.term {
                    term.stored(now, from, stored.tag, &self.knowledge.list);
                }
            }
            ControlMessage::ChangesRequest(request) => self.on_changes_request(from, &request),
            ControlMessage::ChangesReply(reply) => self.on_changes_reply(from, &reply),
            ControlMessage::MemberLeases(leases) => self.on_member_leases(from, &leases),
            ControlMessage::DirectoryRequest => self.send_directory(from),
            message if self.standing.ready => self.on_request(from, message),
            _ => {}
        }
    }

    /// Requests that only a process may answer that knows what it promised.
    fn on_request(&mut self, from: NodeId, message: ControlMessage) {
        let now = self.now.steady;
        let effects = &mut self.effects;
        match message {
            ControlMessage::Prepare(prepare) => {
                self.proposer.note(prepare.ballot);
                self.acceptor.prepare(from, &prepare, effects);
            }
            ControlMessage::Accept(accept) => {
                self.acceptor
                    .accept(self.settings.node, from, accept, effects)
            }
            ControlMessage::AcceptChange(accept) => {
                self.acceptor
                    .accept_change(self.settings.node, from, &accept, effects);
            }
            ControlMessage::Read(read) => self.acceptor.read(from, &read, effects),
            ControlMessage::Recover(recover) => self.on_recover(from, &recover),
            ControlMessage::VoteRequest(request) => {
                let members_version = self.acceptor.members_version;
                self.replica
                    .vote(now, from, &request, members_version, effects);
            }
            ControlMessage::Renew(renew) => {
                let condition = self.condition(&renew);
                self.replica
                    .renew(now, from, &renew, condition, &mut self.effects);
                self.on_rumour(renew.learned);
            }
            ControlMessage::Resign(resign) if self.replica.resigned(now, from, resign.epoch) => {
                self.elections.hasten();
            }
            ControlMessage::RecordBatch(batch) => self.replica.batch(from, batch, effects),
            ControlMessage::FetchSnapshot(fetch) => self.replica.fetch(now, from, &fetch, effects),
            ControlMessage::SnapshotChunk(chunk) => self.replica.chunk(now, from, chunk, effects),
            _ => {}
        }
    }

    /// What this process says of itself to the owner of the term.
    fn condition(&self, renew: &Renew) -> Condition {
        let caught_up = self.knowledge.ballot() >= renew.learned && self.changes_caught_up();
        Condition {
            leaving: self.terminating.is_some(),
            caught_up,
        }
    }

    fn on_promised(&mut self, from: NodeId, promised: Promised) {
        if let Some(recovery) = &mut self.standing.recovery {
            if let Some(recovered) = recovery.promised(from, promised) {
                self.on_recovered(recovered);
            }
            return;
        }
        let now = self.now.steady;
        let changes = &self.accepted_changes;
        let outcome = self
            .proposer
            .promised(now, from, promised, changes, &mut self.effects);
        self.on_outcome(outcome);
    }

    fn on_refused(&mut self, refused: &Refused) {
        if let Some(recovery) = &mut self.standing.recovery {
            recovery.refused(refused);
        }
        self.proposer.refused(self.now.steady, refused);
    }

    fn on_outcome(&mut self, outcome: Option<Outcome>) {
        let Some(outcome) = outcome else { return };
        let ballot = outcome.chosen.ballot;
        // Who is a member no more is told as well.
        let mut listeners = self.knowledge.list.all();
        self.learn(outcome.chosen);
        self.freshen(outcome.as_of);
        if outcome.verdict == Verdict::Taken {
            listeners.extend(self.knowledge.list.all());
            let learn = ControlMessage::Learn(Learn { ballot });
            self.effects.broadcast(listeners, &learn);
        }
        if let Job::Order { number, .. } = outcome.job {
            let now = self.now.steady;
            let owner = self.replica.live_owner(now);
            let wait = owner.is_some_and(|owner| owner != self.settings.node);
            self.operator.outcome(
                now,
                number,
                &outcome.verdict,
                ballot,
                wait,
                &mut self.effects,
            );
        }
    }

    /// A read is done.
    pub(crate) fn on_read(&mut self, found: Found) {
        match found {
            Found::Chosen { chosen, as_of } => {
                self.learn(chosen);
                self.freshen(as_of);
                self.unsettled_reads = 0;
            }
            Found::Unsettled => self.on_unsettled_read(),
        }
    }

    /// Mostly a change is under way, and the next read finds it chosen. A round would compete with it.
    fn on_unsettled_read(&mut self) {
        self.unsettled_reads += 1;
        if self.unsettled_reads < MOST_UNSETTLED_READS {
            self.poll_at = self.now.steady.plus_millis(REREAD_MS);
            return;
        }
        self.unsettled_reads = 0;
        self.proposer.push(Job::Refresh);
    }

    fn on_learn(&mut self, from: NodeId, ballot: Ballot) {
        self.on_rumour(ballot);
        let known = self.knowledge.ballot();
        if known >= ballot {
            return self
                .effects
                .control(from, ControlMessage::Learned(Learned { ballot: known }));
        }
        if self.learn_askers.len() < MAX_LEARN_ASKERS {
            self.learn_askers.push(LearnAsker { node: from, ballot });
        }
    }

    /// Somebody says that the value of this ballot is chosen.
    fn on_rumour(&mut self, ballot: Ballot) {
        if ballot <= self.knowledge.ballot() {
            return;
        }
        if self.acceptor.ballots.accepted == ballot {
            if let Some(chosen) = self.own_value() {
                return self.learn(chosen);
            }
        }
        if ballot > self.knowledge.rumoured {
            self.knowledge.rumoured = ballot;
            self.rumour_at = Some(self.now.steady);
        }
    }

    fn on_learned(&mut self, from: NodeId, learned: &Learned) {
        let owner: Option<NodeId> = self.replica.live_owner(self.now.steady);
        if owner.is_none_or(|owner| owner == from) {
            self.operator
                .owner_learned(learned.ballot, &mut self.effects);
        }
    }

    fn on_recover(&mut self, from: NodeId, recover: &Recover) {
        let promised = self.acceptor.ballots.promised;
        let epoch = self.replica.state.promise.epoch;
        let reply = RecoverReply {
            nonce: recover.nonce,
            promised,
            epoch,
        };
        let reply = ControlMessage::RecoverReply(reply);
        self.effects.write(Vec::new(), vec![(from, reply)]);
    }

    fn on_vote_reply(&mut self, from: NodeId, reply: &VoteReply) {
        let now: Time = self.now.steady;
        if reply.members_version > self.knowledge.list.version {
            self.rumour_at = self.rumour_at.or(Some(now));
        }
        let list = &self.knowledge.list;
        let elected: Option<Elected> =
            self.elections
                .reply(now, from, reply, list, &mut self.effects);
        if let Some(elected) = elected.filter(|_| self.may_lead()) {
            self.term = Some(Term::new(self.settings.node, now, elected, list));
        }
    }

    fn on_renew_ack(&mut self, from: NodeId, ack: &RenewAck) {
        let now = self.now.steady;
        self.elections.note(ack.promised);
        if from == self.settings.node {
            self.replica.owner_kept(ack.epoch);
        }
        let Some(term) = &mut self.term else { return };
        if !term.renew_ack(now, from, ack, &self.knowledge.list) {
            self.step_down();
        }
    }

    /// A request of HTTP.
    pub(crate) fn on_http(&mut self, id: HttpRequestId, door: Door, request: HttpRequest) {
        let now = self.now.steady;
        let founded = self.knowledge.list.version > 0;
        match asked(door, request, founded) {
            Asked::Status(status) => self.effects.status(id, status),
            Asked::ReadBack => self.operator.read_back(now, id, &mut self.effects),
            Asked::Change(change) => {
                self.operator
                    .order(now, id, change, &mut self.proposer, &mut self.effects)
            }
        }
    }
}
