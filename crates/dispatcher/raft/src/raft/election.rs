//! Elections: pre-vote, votes, terms.

use super::progress::LeaderState;
use super::{Candidacy, Raft, Role};
use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::message::{MessageBody, VoteReply, VoteRequest};
use crate::voter::Voter;
use std::collections::BTreeSet;

impl Raft {
    /// Asks all voters for their votes; with `pre_vote` only whether they would give them.
    pub(super) fn start_election(&mut self, now: f64, pre_vote: bool) {
        if !self.can_vote() {
            return;
        }
        if !pre_vote {
            (self.term, self.vote) = (self.term + 1, Some(self.id));
            self.write_term();
        }
        self.leader = None;
        let term = if pre_vote { self.term + 1 } else { self.term };
        let granted = BTreeSet::from([self.own_voter()]);
        self.role = Role::Candidate(Candidacy {
            pre_vote,
            term,
            granted,
        });
        self.request_votes(VoteRequest {
            pre_vote,
            election_term: term,
            last: self.log.last_position(),
        });
        self.count_votes(now);
    }

    fn request_votes(&mut self, request: VoteRequest) {
        let voters = self.voters().iter().map(|voter| voter.member);
        let others: Vec<u64> = voters.filter(|member| *member != self.id).collect();
        for to in others {
            self.send(to, MessageBody::VoteRequest(request));
        }
    }

    fn count_votes(&mut self, now: f64) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        if !self.is_quorum(|voter| candidacy.granted.contains(voter)) {
            return;
        }
        match candidacy.pre_vote {
            true => self.start_election(now, false),
            false => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: f64) {
        let last = self.log.last_position();
        self.leader = Some(self.id);
        self.role = Role::Leader(LeaderState::new(now, &self.other_members(), last.index));
        self.push(Entry::after(&last, self.term, EntryPayload::Noop));
        self.tick_leader(now);
    }

    /// Follows `leader` from now on, if it is known.
    pub(super) fn step_down(&mut self, now: f64, leader: Option<u64>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Takes up a later term.
    pub(super) fn raise_term(&mut self, now: f64, term: u64) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.write_term();
            self.step_down(now, None);
        }
    }

    pub(super) fn receive_vote_request(&mut self, now: f64, from: u64, request: VoteRequest) {
        let VoteRequest {
            pre_vote,
            election_term,
            last,
        } = request;
        // Guards against one that was cut off, or is being removed, unseating a leader that the others hear.
        if self.rollback_check.is_some() || self.has_live_leader(now) {
            return;
        }
        let up_to_date = self.is_up_to_date(last);
        let granted = if election_term < self.term {
            // So that it learns of the term: nobody else may be able to win.
            false
        } else if pre_vote {
            election_term > self.term && up_to_date
        } else {
            self.raise_term(now, election_term);
            up_to_date && self.grant_vote(now, from)
        };
        self.send(
            from,
            MessageBody::VoteReply(VoteReply {
                pre_vote,
                election_term,
                granted,
            }),
        );
    }

    fn has_live_leader(&self, now: f64) -> bool {
        let recent_contact = now < self.leader_contact_at + self.timing.election_timeout_s;
        self.is_leader() || self.leader.is_some() && recent_contact
    }

    /// A log that ends at `last` lacks nothing that this one has (Raft, 5.4.1).
    fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.log.last_position();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Votes for a candidate in the current term, unless it has voted for another.
    fn grant_vote(&mut self, now: f64, candidate: u64) -> bool {
        if self.vote.is_some_and(|member| member != candidate) {
            return false;
        }
        if self.vote.is_none() {
            self.vote = Some(candidate);
            self.write_term();
        }
        self.reset_election_timer(now);
        true
    }

    pub(super) fn receive_vote_reply(
        &mut self,
        now: f64,
        from: Voter,
        term: u64,
        reply: VoteReply,
    ) {
        // Of a later term: this member's own is over. A granted vote says nothing of terms.
        self.raise_term(now, term);
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let current = (reply.pre_vote, reply.election_term) == (candidacy.pre_vote, candidacy.term);
        if reply.granted && current {
            candidacy.granted.insert(from);
            self.count_votes(now);
        }
    }
}
