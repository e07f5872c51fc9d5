//! Elections with pre-votes, votes and terms (Raft, 5.2 and 5.4.1; thesis, 9.6).

use std::collections::BTreeSet;

use super::leader_state::LeaderState;
use super::{Raft, Role};
use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::message::{MessageBody, VoteReply, VoteRequest};
use crate::voter::Voter;

/// A candidate's election.
#[derive(Clone, Debug)]
pub(super) struct Candidacy {
    /// Whether this is a pre-vote, which asks whether votes would be granted, before the term is raised.
    pre_vote: bool,
    /// The term of the election.
    term: u64,
    /// The voters that have granted their votes.
    granted: BTreeSet<Voter>,
}

impl Raft {
    /// Asks all voters whether they would grant this member their votes.
    pub(super) fn start_pre_vote(&mut self, now_s: f64) {
        if self.can_vote() {
            self.campaign(now_s, true, self.term + 1);
        }
    }

    /// Raises the term and asks all voters for their votes.
    fn start_election(&mut self, now_s: f64) {
        if !self.can_vote() {
            return;
        }
        (self.term, self.vote) = (self.term + 1, Some(self.id));
        self.write_term();
        self.campaign(now_s, false, self.term);
    }

    fn campaign(&mut self, now_s: f64, pre_vote: bool, election_term: u64) {
        self.leader = None;
        self.role = Role::Candidate(Candidacy {
            pre_vote,
            term: election_term,
            granted: BTreeSet::from([self.own_voter()]),
        });
        self.request_votes(VoteRequest {
            pre_vote,
            election_term,
            last: self.log.last_position(),
        });
        self.count_votes(now_s);
    }

    fn request_votes(&mut self, request: VoteRequest) {
        let voters = self.voters().iter().map(|voter| voter.member);
        let others: Vec<u64> = voters.filter(|member| *member != self.id).collect();
        for to in others {
            self.send(to, MessageBody::VoteRequest(request));
        }
    }

    fn count_votes(&mut self, now_s: f64) {
        let Role::Candidate(candidacy) = &self.role else {
            return;
        };
        if !self.is_quorum(|voter| candidacy.granted.contains(voter)) {
            return;
        }
        match candidacy.pre_vote {
            true => self.start_election(now_s),
            false => self.become_leader(now_s),
        }
    }

    fn become_leader(&mut self, now_s: f64) {
        let last = self.log.last_position();
        self.leader = Some(self.id);
        self.role = Role::Leader(LeaderState::new(now_s, &self.other_members(), last.index));
        self.append(Entry::after(&last, self.term, EntryPayload::Noop));
        self.tick_leader(now_s);
    }

    /// Becomes a follower; `leader` is the leader to follow, if it is known.
    pub(super) fn step_down(&mut self, now_s: f64, leader: Option<u64>) {
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now_s);
    }

    /// Adopts a higher term and steps down (Raft, 5.1).
    pub(super) fn raise_term(&mut self, now_s: f64, term: u64) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.write_term();
            self.step_down(now_s, None);
        }
    }

    /// Processes a candidate's request for a vote or pre-vote.
    pub(super) fn receive_vote_request(&mut self, now_s: f64, from: u64, request: VoteRequest) {
        let VoteRequest {
            pre_vote,
            election_term,
            last,
        } = request;
        // A partitioned or removed member must not depose a leader that is in contact with the other members (thesis,
        // 4.2.3). A member whose disk may have been rolled back must not vote.
        if self.rollback_check.is_some() || self.has_active_leader(now_s) {
            return;
        }
        let is_up_to_date = self.is_up_to_date(last);
        let granted = if election_term < self.term {
            // The rejection is sent so that the candidate learns of the higher term: it may be the only member that can
            // win an election.
            false
        } else if pre_vote {
            election_term > self.term && is_up_to_date
        } else {
            self.raise_term(now_s, election_term);
            is_up_to_date && self.grant_vote(now_s, from)
        };
        let reply = VoteReply {
            pre_vote,
            election_term,
            granted,
        };
        self.send(from, MessageBody::VoteReply(reply));
    }

    fn has_active_leader(&self, now_s: f64) -> bool {
        let has_recent_contact = now_s < self.leader_contact_s + self.timing.election_timeout_s;
        self.is_leader() || self.leader.is_some() && has_recent_contact
    }

    /// Whether a log that ends at `last` holds everything that this one may have committed (Raft, 5.4.1).
    fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.log.last_position();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Votes for a candidate in the current term. Returns false if this member has voted for another candidate.
    fn grant_vote(&mut self, now_s: f64, candidate: u64) -> bool {
        if self.vote.is_some_and(|member| member != candidate) {
            return false;
        }
        if self.vote.is_none() {
            self.vote = Some(candidate);
            self.write_term();
        }
        self.reset_election_timer(now_s);
        true
    }

    /// Processes the reply to a request for a vote or pre-vote, and counts the vote.
    pub(super) fn receive_vote_reply(
        &mut self,
        now_s: f64,
        from: Voter,
        term: u64,
        reply: VoteReply,
    ) {
        // A higher term ends this member's election. A reply that grants the vote never carries a higher term.
        self.raise_term(now_s, term);
        let Role::Candidate(candidacy) = &mut self.role else {
            return;
        };
        let is_current =
            (reply.pre_vote, reply.election_term) == (candidacy.pre_vote, candidacy.term);
        if reply.granted && is_current {
            candidacy.granted.insert(from);
            self.count_votes(now_s);
        }
    }
}
