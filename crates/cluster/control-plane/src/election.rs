//! Elections: a process whose granted lease is over first asks whether it would be promised a term (pre-vote, Ongaro's
//! thesis, 9.6), then for the term itself.

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

/// A vote that was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vote {
    /// The voter's newest records.
    pub position: RecordsPosition,
    /// When it was requested, in microseconds of the candidate's steady clock.
    pub sent_at: u64,
}

/// An election that was won.
#[derive(Debug)]
pub(crate) struct Elected {
    /// The term that the process leads from now on.
    pub term: Term,
    /// The newest records among the voters, on which the term builds.
    pub base: RecordsPosition,
    /// A voter that has them; this process where it has them itself.
    pub source: NodeId,
    /// The votes that won it, by voter.
    pub votes: BTreeMap<NodeId, Vote>,
}

impl Elected {
    /// Voters with the newest records besides the source.
    pub(crate) fn other_sources(&self) -> Vec<NodeId> {
        let with_base = self
            .votes
            .iter()
            .filter(|(voter, vote)| vote.position == self.base && **voter != self.source);
        with_base.map(|(voter, _)| *voter).collect()
    }
}

/// What a candidate requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum VoteKind {
    /// Whether the voter would promise the term; nothing is promised.
    PreVote,
    /// The promise of the term.
    Vote,
}

/// A candidacy under way.
#[derive(Debug)]
struct Candidacy {
    term: Term,
    kind: VoteKind,
    /// The member list's version at the start: an election is not won by votes of two lists.
    members_version: u64,
    started: Time,
    sent_at: Time,
    votes: BTreeMap<NodeId, Vote>,
    /// Members that promised the term, or a higher one, to another candidate.
    rejections: BTreeSet<NodeId>,
}

/// The elections of one process.
#[derive(Debug)]
pub(crate) struct Elections {
    node: NodeId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    /// From the end of the granted lease to the next candidacy.
    jitter_ms: u64,
    /// No candidacy begins before.
    not_before: Time,
    /// The highest term that was seen promised or was stood for.
    highest: Term,
    candidacy: Option<Candidacy>,
}

impl Elections {
    /// Without a candidacy.
    pub(crate) fn new(node: NodeId, incarnation: Incarnation, seed: u64) -> Elections {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let jitter_ms = random.random_range(0..ELECTION_JITTER_MS);
        Elections {
            node,
            incarnation,
            random,
            jitter_ms,
            not_before: Time::default(),
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
                .min(candidacy.ends_at()),
            None => lease_until.plus_millis(self.jitter_ms).max(self.not_before),
        }
    }

    /// The leader gave its lease up: the next election comes soon.
    pub(crate) fn hasten_next(&mut self) {
        self.jitter_ms = self.random.random_range(0..RESIGNED_JITTER_MS);
    }

    /// A term was promised somewhere: the next candidacy is for a higher one.
    pub(crate) fn observe_term(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// Ends a candidacy, if there is one, and puts the next off by a random delay.
    pub(crate) fn withdraw(&mut self, now: Time) {
        self.candidacy = None;
        self.jitter_ms = self.random.random_range(0..ELECTION_JITTER_MS);
        self.not_before = now.plus_millis(self.jitter_ms);
    }

    /// Ends a candidacy and frees those who promised its term.
    fn give_up(&mut self, now: Time, list: &MemberList, effects: &mut Effects) {
        let requested_term = self
            .candidacy
            .as_ref()
            .filter(|candidacy| candidacy.kind == VoteKind::Vote)
            .map(|candidacy| candidacy.term);
        self.withdraw(now);
        if let Some(term) = requested_term {
            effects.broadcast(list.all(), &ControlMessage::Resign(Resign { term }));
        }
    }

    /// Begins a candidacy, sends its requests again, or gives it up.
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
            None => self.begin(now, VoteKind::PreVote, list, effects),
            Some(candidacy) if now >= candidacy.ends_at() => self.give_up(now, list, effects),
            Some(candidacy) => {
                candidacy.sent_at = now;
                candidacy.send_requests(self.incarnation, list, effects);
            }
        }
    }

    fn begin(&mut self, now: Time, kind: VoteKind, list: &MemberList, effects: &mut Effects) {
        let term = self.highest + 1;
        if kind == VoteKind::Vote {
            self.highest = term;
        }
        let candidacy = Candidacy {
            term,
            kind,
            members_version: list.version,
            started: now,
            sent_at: now,
            votes: BTreeMap::new(),
            rejections: BTreeSet::new(),
        };
        candidacy.send_requests(self.incarnation, list, effects);
        self.candidacy = Some(candidacy);
    }

    /// A voter has answered; the election where this vote wins it.
    pub(crate) fn on_vote_reply(
        &mut self,
        now: Time,
        from: NodeId,
        reply: &VoteReply,
        list: &MemberList,
        effects: &mut Effects,
    ) -> Option<Elected> {
        self.observe_term(reply.promised);
        let candidacy = self.candidacy.as_mut()?;
        if reply.incarnation != self.incarnation
            || !candidacy.is_answered_by(reply)
            || !list.contains(from)
        {
            return None;
        }
        if !reply.granted {
            candidacy.rejections.insert(from);
            if !list.has_quorum_without(&candidacy.rejections) {
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
        self.on_vote_granted(now, list, effects)
    }

    /// A majority would vote. Where the term has been promised to another candidate meanwhile, that one may have been
    /// elected already, and a vote for a higher term would end its term: as in Raft (Ongaro's thesis, 3.4 and 9.6), a
    /// candidate that learns of such a term withdraws.
    fn after_pre_vote(&mut self, now: Time, term: Term, list: &MemberList, effects: &mut Effects) {
        if self.highest >= term {
            self.withdraw(now);
        } else {
            self.begin(now, VoteKind::Vote, list, effects);
        }
    }

    fn on_vote_granted(
        &mut self,
        now: Time,
        list: &MemberList,
        effects: &mut Effects,
    ) -> Option<Elected> {
        let candidacy = self.candidacy.as_ref()?;
        let voters: BTreeSet<NodeId> = candidacy.votes.keys().copied().collect();
        if !list.has_quorum(&voters) {
            return None;
        }
        if candidacy.kind == VoteKind::PreVote {
            self.after_pre_vote(now, candidacy.term, list, effects);
            return None;
        }
        if candidacy.members_version != list.version || !voters.contains(&self.node) {
            return None;
        }
        self.candidacy
            .take()
            .map(|candidacy| candidacy.into_elected(self.node))
    }
}

impl Candidacy {
    fn ends_at(&self) -> Time {
        let span_ms = match self.kind {
            VoteKind::PreVote => PRE_VOTE_MS,
            VoteKind::Vote => LEADER_LEASE_MS,
        };
        self.started.plus_millis(span_ms)
    }

    /// Whether the reply is to a request of this candidacy. Pre-votes count for whichever term they were asked.
    fn is_answered_by(&self, reply: &VoteReply) -> bool {
        match self.kind {
            VoteKind::PreVote => reply.pre_vote,
            VoteKind::Vote => !reply.pre_vote && reply.term == self.term,
        }
    }

    /// Sends the request to each member that has not granted it.
    fn send_requests(&self, incarnation: Incarnation, list: &MemberList, effects: &mut Effects) {
        let request = VoteRequest {
            term: self.term,
            incarnation,
            members_version: self.members_version,
            pre_vote: self.kind == VoteKind::PreVote,
            sent_at: self.sent_at.0,
        };
        let without_vote = list
            .all()
            .into_iter()
            .filter(|member| !self.votes.contains_key(member));
        effects.broadcast(without_vote, &ControlMessage::VoteRequest(request));
    }

    /// The term builds on the newest records among the voters; of equally new ones, on those of `node`, this process.
    fn into_elected(self, node: NodeId) -> Elected {
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
