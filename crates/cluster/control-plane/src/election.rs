//! Elections. After the lease that it granted has expired, a process first asks the members whether they would promise
//! it a term (pre-vote, Ongaro's thesis, 9.6), and then requests the promise of the term itself.

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

/// A granted vote or pre-vote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Vote {
    /// The position of the voter's newest records.
    pub position: RecordsPosition,
    /// When the vote was requested, in microseconds of the candidate's steady clock.
    pub sent_at: u64,
}

/// The result of an election that this process has won.
#[derive(Debug)]
pub(crate) struct Elected {
    /// The term that this process leads from now on.
    pub term: Term,
    /// The position of the newest records among the voters. The term builds on these records.
    pub base: RecordsPosition,
    /// A voter that has these records. It is this process if this process has them.
    pub source: NodeId,
    /// The votes that won the election, by voter.
    pub votes: BTreeMap<NodeId, Vote>,
}

impl Elected {
    /// Returns the voters other than the source that have the newest records.
    pub(crate) fn other_sources(&self) -> Vec<NodeId> {
        let with_base = self
            .votes
            .iter()
            .filter(|(voter, vote)| vote.position == self.base && **voter != self.source);
        with_base.map(|(voter, _)| *voter).collect()
    }
}

/// The kind of the vote that a candidate requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum VoteKind {
    /// The voter tells whether it would promise the term, and promises nothing.
    PreVote,
    /// The voter promises the term.
    Vote,
}

/// A candidacy in progress.
#[derive(Debug)]
struct Candidacy {
    /// The term that is requested.
    term: Term,
    /// The kind of votes that are requested.
    kind: VoteKind,
    /// The version of the member list at the start of the candidacy. An election cannot be won by votes under two
    /// different member lists.
    members_version: u64,
    /// When the candidacy started.
    started: Time,
    /// When requests were last sent.
    sent_at: Time,
    /// The granted votes, by voter.
    votes: BTreeMap<NodeId, Vote>,
    /// The members that did not grant the vote.
    rejections: BTreeSet<NodeId>,
}

/// The elections of one process.
#[derive(Debug)]
pub(crate) struct Elections {
    /// The address of this process.
    node: NodeId,
    /// The incarnation of this process. Votes for a former incarnation do not count.
    incarnation: Incarnation,
    /// The random numbers for the delays of candidacies.
    random: Pcg64Mcg,
    /// The delay between the end of the granted lease and the next candidacy, in milliseconds.
    jitter_ms: u64,
    /// The earliest time at which the next candidacy may begin.
    not_before: Time,
    /// The highest term that this process has seen promised or has requested for itself.
    highest_term: Term,
    /// The candidacy in progress.
    candidacy: Option<Candidacy>,
}

impl Elections {
    /// Creates the elections of a process without a candidacy. `seed` is the seed of the random delays.
    pub(crate) fn new(node: NodeId, incarnation: Incarnation, seed: u64) -> Elections {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let jitter_ms = random.random_range(0..ELECTION_JITTER_MS);
        Elections {
            node,
            incarnation,
            random,
            jitter_ms,
            not_before: Time::default(),
            highest_term: 0,
            candidacy: None,
        }
    }

    /// Returns when the next candidacy, or the next step of the candidacy in progress, is due. `lease_until` is the end
    /// of the lease that this process has granted.
    pub(crate) fn next_wake(&self, lease_until: Time) -> Time {
        match &self.candidacy {
            Some(candidacy) => candidacy
                .sent_at
                .plus_millis(RESEND_MS)
                .min(candidacy.ends_at()),
            None => lease_until.plus_millis(self.jitter_ms).max(self.not_before),
        }
    }

    /// Shortens the delay of the next candidacy after the leader has resigned its lease.
    pub(crate) fn hasten_next(&mut self) {
        self.jitter_ms = self.random.random_range(0..RESIGNED_JITTER_MS);
    }

    /// Records a term that some process has promised, so that the next candidacy requests a higher one.
    pub(crate) fn observe_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Ends the candidacy, if there is one, and delays the next one by a random time.
    pub(crate) fn withdraw(&mut self, now: Time) {
        self.candidacy = None;
        self.jitter_ms = self.random.random_range(0..ELECTION_JITTER_MS);
        self.not_before = now.plus_millis(self.jitter_ms);
    }

    /// Ends the candidacy and releases the members that promised its term from the lease that they granted with it.
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

    /// Begins a candidacy, sends the requests of the current one again, or gives it up, if one of these is due.
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
        let term = self.highest_term + 1;
        if kind == VoteKind::Vote {
            self.highest_term = term;
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

    /// Handles a reply to a request for a vote. Returns the result of the election if this vote wins it.
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

    /// Requests the votes after a quorum has granted the pre-vote. If a member has promised the term to another
    /// candidate in the meantime, that candidate may already have been elected, and votes for a higher term would end
    /// its term. As in Raft (Ongaro's thesis, 3.4 and 9.6), a candidate that learns of such a term withdraws.
    fn after_pre_vote(&mut self, now: Time, term: Term, list: &MemberList, effects: &mut Effects) {
        if self.highest_term >= term {
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
        let duration_ms = match self.kind {
            VoteKind::PreVote => PRE_VOTE_MS,
            VoteKind::Vote => LEADER_LEASE_MS,
        };
        self.started.plus_millis(duration_ms)
    }

    /// Returns whether the reply answers a request of this candidacy. A pre-vote counts regardless of the term for
    /// which it was requested.
    fn is_answered_by(&self, reply: &VoteReply) -> bool {
        match self.kind {
            VoteKind::PreVote => reply.pre_vote,
            VoteKind::Vote => !reply.pre_vote && reply.term == self.term,
        }
    }

    /// Sends the request to each member that has not granted its vote.
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

    /// Returns the result of the election. The term builds on the newest records among the voters. If several voters
    /// have the newest records, those of this process, `node`, are preferred.
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
