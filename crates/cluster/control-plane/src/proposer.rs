//! The register's proposer: one job after the other, each in rounds until its outcome is known.

use crate::accept_change;
use crate::accepted_changes::AcceptedChanges;
use crate::change::{Job, Verdict};
use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::register_view::{Chosen, RegisterView};
use crate::timing::{BACKOFF_MAX_MS, BACKOFF_MS, RESEND_MS, ROUND_MS};
use crate::value::RegisterValue;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::control::{
    Accept, AcceptChange, Accepted, ControlMessage, Prepare, Promise, ProposalNumber, Rejected,
    ValueNeeded,
};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A job that is done.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub job: Job,
    pub verdict: Verdict,
    pub chosen: Chosen,
    /// The round began at this moment: everything chosen before is in the value.
    pub as_of: Time,
}

#[derive(Debug)]
struct FirstRound {
    replies: BTreeMap<NodeId, ProposalNumber>,
    newest: ProposalNumber,
    value: Option<Arc<RegisterValue>>,
}

#[derive(Debug)]
struct SecondRound {
    value: Arc<RegisterValue>,
    bytes: Blob,
    /// Sent in the place of the value, but to the members that need it whole.
    change: Option<AcceptChange>,
    need_value: BTreeSet<NodeId>,
    quorums: Vec<MemberList>,
    replies: BTreeSet<NodeId>,
    verdict: Verdict,
}

#[derive(Debug)]
enum Phase {
    First(FirstRound),
    Second(Box<SecondRound>),
}

#[derive(Debug)]
struct Round {
    proposal: ProposalNumber,
    list: MemberList,
    known: Option<Chosen>,
    started: Time,
    sent_at: Time,
    phase: Phase,
}

/// The proposer of one process.
#[derive(Debug)]
pub(crate) struct Proposer {
    node: NodeId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    counter: u64,
    queue: VecDeque<Job>,
    round: Option<Round>,
    retry_at: Time,
    failures: u32,
    /// A newer list seen in a value that is not known to be chosen.
    newer_list: MemberList,
    /// Whether the job in front has gone into a second round.
    accept_sent: bool,
}

impl Proposer {
    /// A proposer without jobs.
    pub(crate) fn new(node: NodeId, incarnation: Incarnation, seed: u64) -> Proposer {
        Proposer {
            node,
            incarnation,
            random: Pcg64Mcg::seed_from_u64(seed),
            counter: 0,
            queue: VecDeque::new(),
            round: None,
            retry_at: Time::default(),
            failures: 0,
            newer_list: MemberList::default(),
            accept_sent: false,
        }
    }

    /// Takes a job; one that waits already is not taken twice.
    pub(crate) fn push(&mut self, job: Job) {
        if !self.queue.contains(&job) {
            self.queue.push_back(job);
        }
    }

    /// Whether a job like this is under way.
    pub(crate) fn any(&self, wanted: impl Fn(&Job) -> bool) -> bool {
        self.queue.iter().any(wanted)
    }

    /// Gives an order up.
    pub(crate) fn cancel(&mut self, number: u64) {
        let is_order =
            |job: &Job| matches!(job, Job::Order { number: other, .. } if *other == number);
        let Some(position) = self.queue.iter().position(is_order) else {
            return;
        };
        self.queue.remove(position);
        if position == 0 {
            self.round = None;
            self.accept_sent = false;
            self.failures = 0;
        }
    }

    /// Whether this order may have been accepted somewhere.
    pub(crate) fn may_be_accepted(&self, number: u64) -> bool {
        let front = self.queue.front();
        self.accept_sent
            && matches!(front, Some(Job::Order { number: other, .. }) if *other == number)
    }

    /// Notes a proposal number that others have promised.
    pub(crate) fn note(&mut self, proposal: ProposalNumber) {
        self.counter = self.counter.max(proposal.counter);
    }

    /// Notes a member list that was accepted and may not be chosen.
    pub(crate) fn note_list(&mut self, list: MemberList) {
        if list.version > self.newer_list.version {
            self.newer_list = list;
        }
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        Some(
            self.round
                .as_ref()
                .map_or(self.retry_at, |round| round.sent_at.plus_millis(RESEND_MS)),
        )
    }

    /// Starts, repeats or gives up rounds.
    pub(crate) fn tick(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        if self.queue.is_empty() || register_view.list.version == 0 {
            return;
        }
        let Some(round) = &mut self.round else {
            if now >= self.retry_at {
                self.start(now, register_view, effects);
            }
            return;
        };
        if now >= round.started.plus_millis(ROUND_MS) {
            return self.back_off(now);
        }
        if now >= round.sent_at.plus_millis(RESEND_MS) {
            round.sent_at = now;
            if let Phase::Second(second) = &mut round.phase {
                second.change = None;
            }
            round.send(effects);
        }
    }

    fn start(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        self.counter += 1;
        let proposal = ProposalNumber {
            counter: self.counter,
            node: self.node,
            incarnation: self.incarnation,
        };
        let newer = self.newer_list.version > register_view.list.version;
        let list = if newer {
            self.newer_list.clone()
        } else {
            register_view.list.clone()
        };
        let first = FirstRound {
            replies: BTreeMap::new(),
            newest: ProposalNumber::default(),
            value: None,
        };
        let known = register_view.chosen.clone();
        let round = Round {
            proposal,
            list,
            known,
            started: now,
            sent_at: now,
            phase: Phase::First(first),
        };
        round.send(effects);
        self.round = Some(round);
    }

    /// A promise came.
    pub(crate) fn promised(
        &mut self,
        now: Time,
        from: NodeId,
        promised: Promise,
        changes: &AcceptedChanges,
        effects: &mut Effects,
    ) -> Option<Outcome> {
        let round = self
            .round
            .as_mut()
            .filter(|round| round.proposal == promised.proposal)?;
        if !round.take_promise(from, promised) {
            return None;
        }
        self.read_done(now, changes, effects)
    }

    fn read_done(
        &mut self,
        now: Time,
        changes: &AcceptedChanges,
        effects: &mut Effects,
    ) -> Option<Outcome> {
        let round = self.round.as_mut()?;
        let Phase::First(first) = &round.phase else {
            return None;
        };
        let Some(value) = first.value.clone() else {
            self.back_off(now);
            return None;
        };
        if value.members_version > round.list.version {
            self.newer_list = value.member_list();
            self.round = None;
            self.retry_at = now;
            return None;
        }
        let job = self.queue.front()?;
        let step = job.apply(&value, changes);
        let settled = first
            .replies
            .values()
            .all(|proposal| *proposal == first.newest);
        if step.value.is_none() && settled {
            let chosen = Chosen {
                proposal: first.newest,
                value,
            };
            return self.finish(chosen, step.verdict);
        }
        let next = step.value.map_or(value, Arc::new);
        self.accept_sent = true;
        let job = (step.verdict == Verdict::Taken).then_some(job);
        round.propose(self.node, next, step.verdict, job, effects);
        round.sent_at = now;
        None
    }

    /// A value was accepted.
    pub(crate) fn accepted(&mut self, from: NodeId, accepted: &Accepted) -> Option<Outcome> {
        let round = self
            .round
            .as_mut()
            .filter(|round| round.proposal == accepted.proposal)?;
        let Phase::Second(second) = &mut round.phase else {
            return None;
        };
        second.replies.insert(from);
        if !second
            .quorums
            .iter()
            .all(|list| list.reached_by(&second.replies))
        {
            return None;
        }
        let chosen = Chosen {
            proposal: round.proposal,
            value: second.value.clone(),
        };
        let verdict = second.verdict.clone();
        self.finish(chosen, verdict)
    }

    /// A member cannot make the value from the change.
    pub(crate) fn value_needed(
        &mut self,
        from: NodeId,
        needed: &ValueNeeded,
        effects: &mut Effects,
    ) {
        let Some(round) = self
            .round
            .as_mut()
            .filter(|round| round.proposal == needed.proposal)
        else {
            return;
        };
        let Phase::Second(second) = &mut round.phase else {
            return;
        };
        if second.need_value.insert(from) {
            effects.control(from, second.message(round.proposal, from));
        }
    }

    /// A higher proposal number is about.
    pub(crate) fn refused(&mut self, now: Time, refused: &Rejected) {
        self.note(refused.promised);
        if self
            .round
            .as_ref()
            .is_some_and(|round| round.proposal == refused.proposal)
        {
            self.back_off(now);
        }
    }

    fn finish(&mut self, chosen: Chosen, verdict: Verdict) -> Option<Outcome> {
        let round = self.round.take()?;
        let job = self.queue.pop_front()?;
        self.failures = 0;
        self.accept_sent = false;
        self.retry_at = Time::default();
        Some(Outcome {
            job,
            verdict,
            chosen,
            as_of: round.started,
        })
    }

    fn back_off(&mut self, now: Time) {
        self.round = None;
        let longest = (BACKOFF_MS << self.failures.min(8)).min(BACKOFF_MAX_MS);
        self.failures += 1;
        self.retry_at = now.plus_millis(self.random.random_range(longest / 2..=longest));
    }
}

impl Round {
    fn send(&self, effects: &mut Effects) {
        match &self.phase {
            Phase::First(first) => {
                let have = self
                    .known
                    .as_ref()
                    .map(|known| known.proposal)
                    .unwrap_or_default();
                let prepare = ControlMessage::Prepare(Prepare {
                    proposal: self.proposal,
                    known: have,
                });
                let members = self.list.all().into_iter();
                effects.broadcast(
                    members.filter(|member| !first.replies.contains_key(member)),
                    &prepare,
                );
            }
            Phase::Second(second) => {
                let members: BTreeSet<NodeId> =
                    second.quorums.iter().flat_map(MemberList::all).collect();
                for member in members.difference(&second.replies) {
                    effects.control(*member, second.message(self.proposal, *member));
                }
            }
        }
    }

    /// True once a majority has promised.
    fn take_promise(&mut self, from: NodeId, promised: Promise) -> bool {
        let Phase::First(first) = &mut self.phase else {
            return false;
        };
        first.replies.insert(from, promised.accepted);
        if promised.accepted > first.newest {
            let known = self
                .known
                .as_ref()
                .filter(|known| known.proposal == promised.accepted);
            let sent = || RegisterValue::decode(&promised.value).ok().map(Arc::new);
            let value = known.map(|known| known.value.clone()).or_else(sent);
            if value.is_none() {
                first.replies.remove(&from);
                return false;
            }
            first.newest = promised.accepted;
            first.value = value;
        }
        self.list
            .reached_by(&first.replies.keys().copied().collect())
    }

    /// `job`: what made the value of the one that was read; `None` where that is only finished.
    fn propose(
        &mut self,
        node: NodeId,
        value: Arc<RegisterValue>,
        verdict: Verdict,
        job: Option<&Job>,
        effects: &mut Effects,
    ) {
        let Phase::First(first) = &self.phase else {
            return;
        };
        let mut quorums = vec![self.list.clone()];
        if value.members_version != self.list.version {
            quorums.push(value.member_list());
        }
        let bytes = Blob(value.encode());
        let change =
            job.and_then(|job| accept_change::compose(job, self.proposal, first.newest, &bytes));
        let need_value = first.need_value(node);
        let replies = BTreeSet::new();
        let second = SecondRound {
            value,
            bytes,
            change,
            need_value,
            quorums,
            replies,
            verdict,
        };
        self.phase = Phase::Second(Box::new(second));
        self.send(effects);
    }
}

impl FirstRound {
    /// Members that accepted another value than the one read, and `node` itself, to which nothing travels.
    fn need_value(&self, node: NodeId) -> BTreeSet<NodeId> {
        let differs = self
            .replies
            .iter()
            .filter(|(_, accepted)| **accepted != self.newest);
        differs.map(|(member, _)| *member).chain([node]).collect()
    }
}

impl SecondRound {
    /// The change alone for a member that may hold the value before it, else the whole value.
    fn message(&self, proposal: ProposalNumber, member: NodeId) -> ControlMessage {
        match &self.change {
            Some(change) if !self.need_value.contains(&member) => {
                ControlMessage::AcceptChange(change.clone())
            }
            _ => ControlMessage::Accept(Accept {
                proposal,
                value: self.bytes.clone(),
            }),
        }
    }
}
