//! The register's proposer (CASPaxos, Rystsov, 2018, section 2.2): one change function after the other, each in rounds
//! until its outcome is known.

use crate::accepted_changes::AcceptedChanges;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::effects::Effects;
use crate::local_values::LocalValues;
use crate::quorum::MemberList;
use crate::register_view::Chosen;
use crate::round::{Phase, Round};
use crate::timing::{BACKOFF_MAX_MS, BACKOFF_MS, RESEND_MS, ROUND_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::control::{Accepted, Promise, ProposalNumber, Rejected, ValueNeeded};
use sagetrail_protocol::{Incarnation, NodeId, Time};
use std::collections::VecDeque;
use std::sync::Arc;

/// After so many failures in a row the backoff doubles no more.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A change function whose outcome is known.
#[derive(Debug)]
pub(crate) struct Decision {
    /// The function.
    pub function: ChangeFunction,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The value that is chosen now.
    pub chosen: Chosen,
    /// The round began at this moment: everything chosen before is in the value.
    pub as_of: Time,
}

/// The proposer of one process.
#[derive(Debug)]
pub(crate) struct Proposer {
    node: NodeId,
    incarnation: Incarnation,
    random: Pcg64Mcg,
    /// The highest counter of a proposal number that this process has used or seen.
    counter: u64,
    /// Functions that wait; the one in front is proposed by `round`.
    queue: VecDeque<ChangeFunction>,
    round: Option<Round>,
    /// No round starts before.
    retry_at: Time,
    /// Rounds of the function in front that failed.
    failures: u32,
    /// A newer list seen in a value that is not known to be chosen.
    newer_list: MemberList,
    /// Whether the function in front has gone into an accept phase.
    accept_sent: bool,
}

impl Proposer {
    /// A proposer with nothing to propose.
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

    /// Queues a function, unless the same one is queued already.
    pub(crate) fn push(&mut self, function: ChangeFunction) {
        if !self.queue.contains(&function) {
            self.queue.push_back(function);
        }
    }

    /// Whether such a function is queued or being proposed.
    pub(crate) fn has_pending(&self, wanted: impl Fn(&ChangeFunction) -> bool) -> bool {
        self.queue.iter().any(wanted)
    }

    /// Gives up the operator's change of this number.
    pub(crate) fn cancel(&mut self, number: u64) {
        let position = self
            .queue
            .iter()
            .position(|function| function.is_config_change(number));
        let Some(position) = position else {
            return;
        };
        self.queue.remove(position);
        if position == 0 {
            self.round = None;
            self.accept_sent = false;
            self.failures = 0;
        }
    }

    /// Whether the operator's change of this number may have been accepted somewhere.
    pub(crate) fn may_be_accepted(&self, number: u64) -> bool {
        let front = self.queue.front();
        self.accept_sent && front.is_some_and(|function| function.is_config_change(number))
    }

    /// Later rounds take a higher number than one that others have promised.
    pub(crate) fn observe_proposal(&mut self, proposal: ProposalNumber) {
        self.counter = self.counter.max(proposal.counter);
    }

    /// A member list was accepted that may not be chosen: the next round asks its members.
    pub(crate) fn observe_list(&mut self, list: MemberList) {
        if list.version > self.newer_list.version {
            self.newer_list = list;
        }
    }

    /// When something is due.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        let due = match &self.round {
            Some(round) => round.sent_at.plus_millis(RESEND_MS),
            None => self.retry_at,
        };
        Some(due)
    }

    /// Starts rounds, sends again what had no answer, and gives up rounds that last too long.
    pub(crate) fn tick(&mut self, now: Time, local: &LocalValues, effects: &mut Effects) {
        if self.queue.is_empty() || local.view.list.version == 0 {
            return;
        }
        let Some(round) = &mut self.round else {
            if now >= self.retry_at {
                self.start(now, local, effects);
            }
            return;
        };
        if now >= round.started.plus_millis(ROUND_MS) {
            return self.back_off(now);
        }
        if now >= round.sent_at.plus_millis(RESEND_MS) {
            round.resend(now, effects);
        }
    }

    fn start(&mut self, now: Time, local: &LocalValues, effects: &mut Effects) {
        self.counter += 1;
        let proposal = ProposalNumber {
            counter: self.counter,
            node: self.node,
            incarnation: self.incarnation,
        };
        let known_list = &local.view.list;
        let list = if self.newer_list.version > known_list.version {
            self.newer_list.clone()
        } else {
            known_list.clone()
        };
        let round = Round::new(now, proposal, list, local.newest());
        round.send(effects);
        self.round = Some(round);
    }

    /// A member has promised. `changes`: accepted changes that are older than the value's recent ones.
    pub(crate) fn on_promise(
        &mut self,
        now: Time,
        from: NodeId,
        promise: Promise,
        changes: &AcceptedChanges,
        effects: &mut Effects,
    ) -> Option<Decision> {
        let round = self.current_round(promise.proposal)?;
        if !round.on_promise(from, promise) {
            return None;
        }
        self.on_prepared(now, changes, effects)
    }

    /// A majority has promised: the function is applied to the newest accepted value.
    fn on_prepared(
        &mut self,
        now: Time,
        changes: &AcceptedChanges,
        effects: &mut Effects,
    ) -> Option<Decision> {
        let round = self.round.as_mut()?;
        let Phase::Prepare(prepare) = &round.phase else {
            return None;
        };
        let Some(value) = prepare.value.clone() else {
            self.back_off(now);
            return None;
        };
        if value.members_version > round.list.version {
            self.newer_list = value.member_list();
            self.round = None;
            self.retry_at = now;
            return None;
        }
        let function = self.queue.front()?;
        let transition = function.apply(&value, changes);
        if transition.next.is_none() && prepare.is_unanimous() {
            let chosen = Chosen {
                proposal: prepare.newest,
                value,
            };
            return self.finish(chosen, transition.outcome);
        }
        let next = transition.next.map_or(value, Arc::new);
        self.accept_sent = true;
        let function = (transition.outcome == ChangeOutcome::Applied).then_some(function);
        round.begin_accept(self.node, next, transition.outcome, function, effects);
        round.sent_at = now;
        None
    }

    /// A member has accepted the value and has it on disk.
    pub(crate) fn on_accepted(&mut self, from: NodeId, accepted: &Accepted) -> Option<Decision> {
        let round = self.current_round(accepted.proposal)?;
        let Phase::Accept(accept) = &mut round.phase else {
            return None;
        };
        if !accept.on_accepted(from) {
            return None;
        }
        let chosen = Chosen {
            proposal: round.proposal,
            value: accept.value.clone(),
        };
        let outcome = accept.outcome.clone();
        self.finish(chosen, outcome)
    }

    /// A member cannot make the value from the change.
    pub(crate) fn on_value_needed(
        &mut self,
        from: NodeId,
        needed: &ValueNeeded,
        effects: &mut Effects,
    ) {
        let Some(round) = self.current_round(needed.proposal) else {
            return;
        };
        if let Phase::Accept(accept) = &mut round.phase {
            accept.on_value_needed(from, needed.proposal, effects);
        }
    }

    /// A member has promised a higher proposal number to another process.
    pub(crate) fn on_rejected(&mut self, now: Time, rejected: &Rejected) {
        self.observe_proposal(rejected.promised);
        if self.current_round(rejected.proposal).is_some() {
            self.back_off(now);
        }
    }

    /// The round under way, if it has this proposal number: answers to earlier rounds count no more.
    fn current_round(&mut self, proposal: ProposalNumber) -> Option<&mut Round> {
        self.round
            .as_mut()
            .filter(|round| round.proposal == proposal)
    }

    fn finish(&mut self, chosen: Chosen, outcome: ChangeOutcome) -> Option<Decision> {
        let round = self.round.take()?;
        let function = self.queue.pop_front()?;
        self.failures = 0;
        self.accept_sent = false;
        self.retry_at = Time::default();
        Some(Decision {
            function,
            outcome,
            chosen,
            as_of: round.started,
        })
    }

    /// Rounds that failed since the last one that was finished, or since a read found the value chosen.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// A read found the newest value chosen: nobody competes any more.
    pub(crate) fn value_is_chosen(&mut self) {
        if self.queue.is_empty() {
            self.failures = 0;
        }
    }

    /// Ends the round. A change is proposed again after a pause; a round that only completes another proposer's is not:
    /// that one is under way, and where it is not, the next reads say so. Members that all went on would reject each
    /// other's rounds for as long as a round, with its value on thin links, takes longer than the pauses.
    fn back_off(&mut self, now: Time) {
        self.round = None;
        if self.queue.front() == Some(&ChangeFunction::Identity) {
            self.queue.pop_front();
            self.accept_sent = false;
        }
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let longest = (BACKOFF_MS << doublings).min(BACKOFF_MAX_MS);
        self.failures += 1;
        self.retry_at = now.plus_millis(self.random.random_range(longest / 2..=longest));
    }
}
