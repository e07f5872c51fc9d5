//! The replica's votes: a term is promised, and synced, only when no lease that was granted may still run.

use crate::effects::Effects;
use crate::persisted::{put_replica, TermPromise};
use crate::replica::Replica;
use crate::timing::LEASE_MS;
use sagetrail_protocol::control::{ControlMessage, VoteReply, VoteRequest};
use sagetrail_protocol::{NodeId, Term, Time};

impl Replica {
    /// Answers a candidate. `members_version`: the newest member list that this process has accepted.
    pub(crate) fn on_vote_request(
        &mut self,
        now: Time,
        from: NodeId,
        request: &VoteRequest,
        members_version: u64,
        effects: &mut Effects,
    ) {
        let granted =
            self.may_promise(now, from, request) && request.members_version >= members_version;
        let promises = granted && !request.pre_vote;
        if promises {
            self.state.promise = TermPromise {
                term: request.term,
                node: from,
                incarnation: request.incarnation,
            };
            self.lease_until = now.plus_millis(LEASE_MS);
            self.drop_transfers();
        }
        let reply = ControlMessage::VoteReply(VoteReply {
            term: request.term,
            incarnation: request.incarnation,
            pre_vote: request.pre_vote,
            granted,
            sent_at: request.sent_at,
            promised: self.state.promise.term,
            members_version,
            position: self.state.position,
        });
        if promises {
            effects.write(vec![put_replica(&self.state)], vec![(from, reply)]);
        } else {
            effects.control(from, reply);
        }
    }

    fn may_promise(&self, now: Time, from: NodeId, request: &VoteRequest) -> bool {
        if !self.state.complete {
            return false;
        }
        let promise = &self.state.promise;
        let same_candidate = promise.node == from && promise.incarnation == request.incarnation;
        if same_candidate && promise.term == request.term && !request.pre_vote {
            return true;
        }
        now >= self.lease_until && (request.pre_vote || request.term > promise.term)
    }

    /// A leader gave its lease up, or a candidate its candidacy; true where the term was promised to it.
    pub(crate) fn on_resign(&mut self, now: Time, from: NodeId, term: Term) -> bool {
        let followed = self.followed.filter(|followed| followed.term == term);
        let lease_holder = followed.map_or(self.state.promise.node, |followed| followed.leader);
        if self.state.promise.term != term || lease_holder != from {
            return false;
        }
        self.lease_until = self.lease_until.min(now);
        true
    }

    /// A process that does not take part yet said hello. Where the term promised by this replica was that process's,
    /// and the replica has had no message of the term since its own start, the term is over; true then.
    pub(crate) fn on_hello_of_lease_holder(&mut self, now: Time, from: NodeId) -> bool {
        if self.followed.is_some() || self.state.promise.node != from {
            return false;
        }
        self.lease_until = self.lease_until.min(now);
        true
    }
}
