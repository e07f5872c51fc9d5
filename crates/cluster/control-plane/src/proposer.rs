//! The register's proposer (CASPaxos, Rystsov, 2018, section 2.2): it proposes one change function at a time, in as
//! many rounds as it takes until the outcome is known.

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

/// The number of consecutive failed rounds after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// A change function whose outcome is known.
#[derive(Debug)]
pub(crate) struct Decision {
    /// The change function that was proposed.
    pub function: ChangeFunction,
    /// The outcome of the function.
    pub outcome: ChangeOutcome,
    /// The value that was chosen when the outcome became known.
    pub chosen: Chosen,
    /// When the round began. The value includes every change that was chosen before this moment.
    pub as_of: Time,
}

/// The proposer of one process.
#[derive(Debug)]
pub(crate) struct Proposer {
    /// The address of this process.
    node: NodeId,
    /// The incarnation of this process, which is part of its proposal numbers.
    incarnation: Incarnation,
    /// The random numbers for the backoff.
    random: Pcg64Mcg,
    /// The highest counter of a proposal number that this process has used or seen.
    counter: u64,
    /// The change functions to propose; `round` proposes the one at the front.
    queue: VecDeque<ChangeFunction>,
    /// The round that is running.
    round: Option<Round>,
    /// The earliest time at which the next round may start.
    retry_at: Time,
    /// The number of consecutive rounds that failed, as returned by [`Proposer::failures`].
    failures: u32,
    /// The newest member list seen in an accepted value that is not known to be chosen.
    newer_list: MemberList,
    /// Whether the function at the front of the queue has entered an accept phase, so that it may have been accepted.
    accept_sent: bool,
}

impl Proposer {
    /// Creates a proposer with an empty queue; `seed` is the seed of the random backoff.
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

    /// Queues a change function, unless the same one is queued already.
    pub(crate) fn push(&mut self, function: ChangeFunction) {
        if !self.queue.contains(&function) {
            self.queue.push_back(function);
        }
    }

    /// Whether a change function that matches `wanted` is queued or being proposed.
    pub(crate) fn has_pending(&self, wanted: impl Fn(&ChangeFunction) -> bool) -> bool {
        self.queue.iter().any(wanted)
    }

    /// Stops proposing the operator's change with this number.
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

    /// Whether some acceptor may have accepted the operator's change with this number.
    pub(crate) fn may_be_accepted(&self, number: u64) -> bool {
        let front = self.queue.front();
        self.accept_sent && front.is_some_and(|function| function.is_config_change(number))
    }

    /// Makes later rounds use a higher proposal number than `proposal`, which an acceptor has promised.
    pub(crate) fn observe_proposal(&mut self, proposal: ProposalNumber) {
        self.counter = self.counter.max(proposal.counter);
    }

    /// Takes the member list of an accepted value that is not known to be chosen. If it is newer than the known list,
    /// the next round runs with its members.
    pub(crate) fn observe_list(&mut self, list: MemberList) {
        if list.version > self.newer_list.version {
            self.newer_list = list;
        }
    }

    /// When the next start or resend of a round is due.
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

    /// Starts a round when one is due, resends messages without a reply, and ends a round after `ROUND_MS`.
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

    /// Handles a promise. `changes` holds the accepted changes that are older than the value's recent ones.
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

    /// Applies the change function to the newest accepted value, after a majority has promised.
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

    /// Handles the reply of a member that has accepted the value and has synced it to disk.
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

    /// Handles the reply of a member that cannot compute the value from the change.
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

    /// Handles the rejection by a member that has promised a higher proposal number to another process.
    pub(crate) fn on_rejected(&mut self, now: Time, rejected: &Rejected) {
        self.observe_proposal(rejected.promised);
        if self.current_round(rejected.proposal).is_some() {
            self.back_off(now);
        }
    }

    /// The current round, if it has this proposal number. Replies to earlier rounds are ignored.
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

    /// The number of rounds that failed since the last one that succeeded, since a read found the value chosen while
    /// the queue was empty, or since the change at the front of the queue was cancelled.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Handles a read that found the newest value chosen, so that no process competes any more: if nothing is queued
    /// here, the number of failed rounds is reset.
    pub(crate) fn on_value_chosen(&mut self) {
        if self.queue.is_empty() {
            self.failures = 0;
        }
    }

    /// Ends the round as failed. A change is proposed again after a random backoff. A round with the identity function,
    /// which only completes the round of another proposer, is not repeated: that other round is still running, and if
    /// it is not, the next reads find the value undecided again. If all members repeated such rounds, they would reject
    /// each other's rounds for as long as a round takes longer than the backoff, as it does when the value is sent over
    /// links of low bandwidth.
    fn back_off(&mut self, now: Time) {
        self.round = None;
        if self.queue.front() == Some(&ChangeFunction::Identity) {
            self.queue.pop_front();
            self.accept_sent = false;
        }
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        let max_backoff_ms = (BACKOFF_MS << doublings).min(BACKOFF_MAX_MS);
        self.failures += 1;
        let backoff_ms = self
            .random
            .random_range(max_backoff_ms / 2..=max_backoff_ms);
        self.retry_at = now.plus_millis(backoff_ms);
    }
}
