//! The votes of a replica. A replica promises a term only when every lease that it granted has expired, and syncs the
//! promise before it replies.

use crate::effects::Effects;
use crate::persisted::{put_replica, TermPromise};
use crate::replica::Replica;
use crate::timing::LEASE_MS;
use sagetrail_protocol::control::{ControlMessage, VoteReply, VoteRequest};
use sagetrail_protocol::{NodeId, Term, Time};

impl Replica {
    /// Answers a candidate's request for a vote. `members_version` is the version of the newest member list that this
    /// process has accepted.
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
            effects.send_control(from, reply);
        }
    }

    /// Returns whether the replica may promise the requested term to the candidate `from`. The promise of a term to the
    /// same incarnation of the same candidate may be repeated.
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

    /// Handles the resignation of a leader or of a candidate. Returns whether the term was promised to that process.
    pub(crate) fn on_resign(&mut self, now: Time, from: NodeId, term: Term) -> bool {
        let followed = self.followed.filter(|followed| followed.term == term);
        let lease_holder = followed.map_or(self.state.promise.node, |followed| followed.leader);
        if self.state.promise.term != term || lease_holder != from {
            return false;
        }
        self.lease_until = self.lease_until.min(now);
        true
    }

    /// Handles a hello of a process that does not participate yet. If this replica promised its term to that process
    /// and has received no message of the term since its own start, the term is over. Returns whether that is so.
    pub(crate) fn on_hello_of_lease_holder(&mut self, now: Time, from: NodeId) -> bool {
        if self.followed.is_some() || self.state.promise.node != from {
            return false;
        }
        self.lease_until = self.lease_until.min(now);
        true
    }
}
