//! Elections: a process whose granted lease is over first asks whether it would be promised a term, then for it.

use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::timing::{
    ELECTION_JITTER_MS, LEADER_LEASE_MS, PRE_VOTE_MS, RESEND_MS, RESIGNED_JITTER_MS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::control::{
    ControlMessage, RecordsPosition, Resign, VoteReply, VoteRequest,
};
use sagetrail_protocol::{Incarnation, NodeId, Term, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A vote that was given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vote {
    pub position: RecordsPosition,
    /// When it was asked for, in microseconds of the candidate's steady clock.
    pub sent_at: u64,
}

/// An election that was won.
#[derive(Debug)]
pub(crate) struct Elected {
    pub term: Term,
    /// The newest records among the voters, and who has them.
    pub base: RecordsPosition,
    pub source: NodeId,
    pub votes: BTreeMap<NodeId, Vote>,
}

impl Elected {
    /// Voters with the newest records besides the source.
    pub(crate) fn other_sources(&self) -> Vec<NodeId> {
        let holders = self
            .votes
            .iter()
            .filter(|(voter, vote)| vote.position == self.base && **voter != self.source);
        holders.map(|(voter, _)| *voter).collect()
    }
}

#[derive(Debug)]
struct Candidacy {
    term: Term,
    pre_vote: bool,
    members_version: u64,
    started: Time,
    sent_at: Time,
    votes: BTreeMap<NodeId, Vote>,
    /// Who promised the term, or a higher one, to somebody else.
    refusals: BTreeSet<NodeId>,
}

/// The elections of one process.
#[derive(Debug)]
pub(crate) struct Elections {
    node: NodeId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    jitter_ms: u64,
    not_before: Time,
    highest: Term,
    candidacy: Option<Candidacy>,
}

impl Elections {
    /// Without a candidacy.
    pub(crate) fn new(node: NodeId, incarnation: Incarnation, seed: u64) -> Elections {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let jitter_ms = random.random_range(0..ELECTION_JITTER_MS);
        let not_before = Time::default();
        Elections {
            node,
            incarnation,
            random,
            jitter_ms,
            not_before,
            highest: 0,
            candidacy: None,
        }
    }

    /// When an election or its next step is due, with the granted lease running until `lease_until`.
    pub(crate) fn next_wake(&self, lease_until: Time) -> Time {
        match &self.candidacy {
            Some(candidacy) => candidacy
                .sent_at
                .plus_millis(RESEND_MS)
                .min(candidacy.ends()),
            None => lease_until.plus_millis(self.jitter_ms).max(self.not_before),
        }
    }

    /// The leader gave its lease up: the next election comes soon.
    pub(crate) fn hasten(&mut self) {
        self.jitter_ms = self.random.random_range(0..RESIGNED_JITTER_MS);
    }

    /// Notes a term that was promised somewhere.
    pub(crate) fn note(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// Gives a candidacy up.
    pub(crate) fn stand_back(&mut self, now: Time) {
        self.candidacy = None;
        self.jitter_ms = self.random.random_range(0..ELECTION_JITTER_MS);
        self.not_before = now.plus_millis(self.jitter_ms);
    }

    /// Gives a candidacy up and frees those who promised its term.
    fn give_up(&mut self, now: Time, list: &MemberList, effects: &mut Effects) {
        let leadership = self
            .candidacy
            .as_ref()
            .filter(|candidacy| !candidacy.pre_vote)
            .map(|candidacy| candidacy.term);
        self.stand_back(now);
        if let Some(term) = leadership {
            effects.broadcast(list.all(), &ControlMessage::Resign(Resign { term }));
        }
    }

    /// Starts, repeats or gives up a candidacy.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        lease_until: Time,
        list: &MemberList,
        effects: &mut Effects,
    ) {
        if now < self.next_wake(lease_until) {
            return;
        }
        match &mut self.candidacy {
            None => self.stand(now, true, list, effects),
            Some(candidacy) if now >= candidacy.ends() => self.give_up(now, list, effects),
            Some(candidacy) => {
                candidacy.sent_at = now;
                candidacy.send(self.incarnation, list, effects);
            }
        }
    }

    fn stand(&mut self, now: Time, pre_vote: bool, list: &MemberList, effects: &mut Effects) {
        let term = self.highest + 1;
        if !pre_vote {
            self.highest = term;
        }
        let (votes, refusals) = (BTreeMap::new(), BTreeSet::new());
        let members_version = list.version;
        let candidacy = Candidacy {
            term,
            pre_vote,
            members_version,
            started: now,
            sent_at: now,
            votes,
            refusals,
        };
        candidacy.send(self.incarnation, list, effects);
        self.candidacy = Some(candidacy);
    }

    /// An answer came.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        from: NodeId,
        reply: &VoteReply,
        list: &MemberList,
        effects: &mut Effects,
    ) -> Option<Elected> {
        self.highest = self.highest.max(reply.promised);
        let candidacy = self.candidacy.as_mut()?;
        if reply.incarnation != self.incarnation {
            return None;
        }
        let same = reply.pre_vote == candidacy.pre_vote
            && (reply.pre_vote || reply.term == candidacy.term);
        if !same || !list.contains(from) {
            return None;
        }
        if !reply.granted {
            candidacy.refusals.insert(from);
            if !list.has_quorum_without(&candidacy.refusals) {
                self.give_up(now, list, effects);
            }
            return None;
        }
        if now >= Time(reply.sent_at).plus_millis(LEADER_LEASE_MS) {
            return None;
        }
        candidacy.votes.insert(
            from,
            Vote {
                position: reply.position,
                sent_at: reply.sent_at,
            },
        );
        let voters: BTreeSet<NodeId> = candidacy.votes.keys().copied().collect();
        if !list.has_quorum(&voters) {
            return None;
        }
        if candidacy.pre_vote {
            self.stand(now, false, list, effects);
            return None;
        }
        if candidacy.members_version != list.version || !voters.contains(&self.node) {
            return None;
        }
        self.candidacy
            .take()
            .map(|candidacy| candidacy.won(self.node))
    }
}

impl Candidacy {
    fn ends(&self) -> Time {
        let span_ms = if self.pre_vote {
            PRE_VOTE_MS
        } else {
            LEADER_LEASE_MS
        };
        self.started.plus_millis(span_ms)
    }

    fn send(&self, incarnation: Incarnation, list: &MemberList, effects: &mut Effects) {
        let request = VoteRequest {
            term: self.term,
            incarnation,
            members_version: self.members_version,
            pre_vote: self.pre_vote,
            sent_at: self.sent_at.0,
        };
        let silent = list
            .all()
            .into_iter()
            .filter(|member| !self.votes.contains_key(member));
        effects.broadcast(silent, &ControlMessage::VoteRequest(request));
    }

    /// The newest records count; among equals, this process's own.
    fn won(self, node: NodeId) -> Elected {
        let newest = self
            .votes
            .iter()
            .max_by_key(|(voter, vote)| (vote.position, **voter == node));
        let (source, base) = newest
            .map(|(voter, vote)| (*voter, vote.position))
            .unwrap_or_default();
        Elected {
            term: self.term,
            base,
            source,
            votes: self.votes,
        }
    }
}
