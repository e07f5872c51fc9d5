//! The compare-and-swap register at one process: its acceptor, proposer and quorum reader, its view of the chosen
//! values, and its archive of accepted changes.
//!
//! The protocol is CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): a proposer reads the
//! accepted value at a majority, applies a change to it and has a majority accept the result. The value holds the
//! core's member list, so a change of members is a change of the register like any other.

mod messages;

use sagetrail_protocol::control::{ControlMessage, Learned, ProposalNumber};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Time};

use crate::accepted_changes::AcceptedChanges;
use crate::acceptor::Acceptor;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::changes_fetch::ChangesFetch;
use crate::effects::Effects;
use crate::local_values::LocalValues;
use crate::persisted::{AcceptorNumbers, ControlState};
use crate::proposer::Proposer;
use crate::quorum::MemberList;
use crate::quorum_read::{QuorumReader, ReadOutcome};
use crate::register_view::{Chosen, RegisterView};
use crate::timing::POLL_MS;
use crate::undecided_reads::UndecidedReads;

/// The maximum number of processes that wait to be notified that this process has learned a proposal number.
const MAX_LEARN_WAITERS: usize = 64;
/// The delay in milliseconds between a read that found the value undecided and the next read.
const REREAD_DELAY_MS: u64 = 50;
/// The maximum number of accepted changes in one reply.
const MAX_CHANGES_IN_REPLY: usize = 1_000;

/// Which parts of the register view a newly learned value has changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ViewUpdate {
    /// Whether the view has a newer member list.
    pub members: bool,
    /// Whether the view has a newer configuration in force.
    pub config: bool,
}

/// A configuration change whose outcome is known.
#[derive(Debug)]
pub(crate) struct CompletedChange {
    /// The number that this process has given to the change.
    pub number: u64,
    /// The outcome of the change.
    pub outcome: ChangeOutcome,
    /// The proposal number of the value that decided it.
    pub proposal: ProposalNumber,
}

/// The results of a reply to the proposer.
#[derive(Debug, Default)]
pub(crate) struct RegisterProgress {
    /// The update of the register view, if a newer value was learned.
    pub update: Option<ViewUpdate>,
    /// The configuration change of this process whose outcome became known, if any.
    pub completed: Option<CompletedChange>,
}

/// The requirements that the other parts of the process place on the register in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterDemand {
    /// Whether this process may run rounds as a proposer.
    pub may_propose: bool,
    /// The view has to include every value chosen before this moment; `None` if nothing requires a fresh view.
    pub fresh_as_of: Option<Time>,
}

/// A process that is notified once this process has learned a proposal number.
#[derive(Debug)]
struct LearnWaiter {
    /// The process that is notified.
    node: NodeId,
    /// The proposal number that has to be learned.
    proposal: ProposalNumber,
}

/// The identity, seeds and stored data with which a register is created.
#[derive(Debug)]
pub(crate) struct RegisterOptions {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process, which is part of its proposal numbers.
    pub incarnation: Incarnation,
    /// The seed of the random backoff between competing rounds.
    pub proposer_seed: u64,
    /// The value at which the nonces of reads begin.
    pub reader_seed: u64,
    /// The archive of accepted changes, loaded from disk.
    pub accepted_changes: AcceptedChanges,
    /// The time of the start.
    pub now: Time,
}

/// The register at one process.
#[derive(Debug)]
pub(crate) struct Register {
    /// The address of this process.
    node: NodeId,
    view: RegisterView,
    acceptor: Acceptor,
    proposer: Proposer,
    reader: QuorumReader,
    /// The accepted changes of the configuration that this process knows.
    accepted_changes: AcceptedChanges,
    /// The fetches of missing accepted changes.
    changes_fetch: ChangesFetch,
    learn_waiters: Vec<LearnWaiter>,
    /// When another process indicated that a newer value is chosen; `None` once the view is at least that fresh.
    newer_value_hint_at: Option<Time>,
    /// When the register is read next if nothing requires an earlier read.
    poll_at: Time,
    /// The consecutive reads that found the value undecided.
    undecided_reads: UndecidedReads,
}

impl Register {
    /// Creates a register without a value.
    pub(crate) fn new(options: RegisterOptions) -> Register {
        Register {
            node: options.node,
            view: RegisterView::default(),
            acceptor: Acceptor::default(),
            proposer: Proposer::new(options.node, options.incarnation, options.proposer_seed),
            reader: QuorumReader::new(options.reader_seed),
            accepted_changes: options.accepted_changes,
            changes_fetch: ChangesFetch::default(),
            learn_waiters: Vec::new(),
            newer_value_hint_at: None,
            poll_at: options.now,
            undecided_reads: UndecidedReads::default(),
        }
    }

    /// Restores the state of the acceptor and the member list from disk.
    pub(crate) fn restore(&mut self, state: &ControlState) {
        self.acceptor.restore(state.proposals, state.value.clone());
        self.proposer.observe_proposal(state.proposals.promised);
        self.view.adopt_list(state.members.clone().into());
    }

    /// The chosen values that this process knows, and how fresh that knowledge is.
    pub(crate) fn view(&self) -> &RegisterView {
        &self.view
    }

    /// The newest known member list.
    pub(crate) fn members(&self) -> &MemberList {
        &self.view.list
    }

    /// Whether any member list is known.
    pub(crate) fn has_members(&self) -> bool {
        self.view.list.version > 0
    }

    /// The acceptor, with the proposals that this process has promised and accepted.
    pub(crate) fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// The accepted value of this process in the form of a chosen one. It is not necessarily chosen.
    pub(crate) fn accepted_value(&self) -> Option<Chosen> {
        self.acceptor.accepted_value()
    }

    /// Adopts acceptor state that was received from other processes and is being written to this disk.
    pub(crate) fn adopt(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.acceptor.adopt(proposals, value);
    }

    /// Handles the sync of the value that this process accepted under `proposal`.
    pub(crate) fn on_value_synced(&mut self, proposal: ProposalNumber) {
        self.acceptor.on_synced(proposal);
    }

    /// Makes the proposer use higher proposal numbers than the one that the acceptor has promised.
    pub(crate) fn observe_own_promise(&mut self) {
        self.proposer
            .observe_proposal(self.acceptor.proposals.promised);
    }

    /// Adopts a chosen member list; returns whether it is newer than the known one.
    pub(crate) fn adopt_members(&mut self, list: MemberList) -> bool {
        self.view.adopt_list(list)
    }

    /// Handles a member list that another process reported. A newer list belongs to a newer chosen value, so the
    /// register is read again.
    pub(crate) fn on_members_reported(&mut self, now: Time, list: MemberList) {
        let newer = self.view.adopt_list(list);
        if newer && self.view.chosen.is_some() {
            self.newer_value_hint_at = Some(now);
        }
    }

    /// Handles the report that another process knows a member list of this version. A newer version belongs to a newer
    /// chosen value, so the register is read again.
    pub(crate) fn on_members_version_reported(&mut self, now: Time, version: u64) {
        if version > self.view.list.version {
            self.newer_value_hint_at = self.newer_value_hint_at.or(Some(now));
        }
    }

    /// Queues a change function for the proposer, unless the same one is queued already.
    pub(crate) fn propose(&mut self, function: ChangeFunction) {
        self.proposer.push(function);
    }

    /// Stops proposing a configuration change.
    pub(crate) fn cancel_change(&mut self, number: u64) {
        self.proposer.cancel(number);
    }

    /// Whether some acceptor may have accepted this configuration change.
    pub(crate) fn may_be_accepted(&self, number: u64) -> bool {
        self.proposer.may_be_accepted(number)
    }

    /// Whether the proposer has a change of members queued or in a round.
    pub(crate) fn is_changing_members(&self) -> bool {
        self.proposer
            .has_pending(|function| matches!(function, ChangeFunction::Members { .. }))
    }

    /// Whether this process knows a chosen value of the register and has all accepted changes that the other members
    /// could supply.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.view.chosen.is_some() && self.changes_fetch.is_done(&self.accepted_changes)
    }

    /// Runs the rounds and reads that are due.
    pub(crate) fn step(
        &mut self,
        now: Time,
        demand: RegisterDemand,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        if demand.may_propose {
            let local = LocalValues {
                acceptor: &self.acceptor,
                view: &self.view,
            };
            self.proposer.tick(now, &local, effects);
        }
        let outcome = self.reader.tick(now, effects);
        let update = outcome.and_then(|outcome| self.on_read_finished(now, outcome, effects));
        if self.needs_read(now, demand.fresh_as_of) {
            self.read(now, demand.may_propose, effects);
        }
        update
    }

    /// When the next round or read is due.
    pub(crate) fn next_wake(&self, may_propose: bool) -> Option<Time> {
        let round = if may_propose {
            self.proposer.next_wake()
        } else {
            None
        };
        let read = if self.has_members() {
            self.next_read_wake()
        } else {
            None
        };
        round.into_iter().chain(read).min()
    }

    /// Reads the register. If this process has accepted a value with a newer member list, the members of the known list
    /// may no longer exist, so a round with the members of the newer list decides whether that value is chosen.
    fn read(&mut self, now: Time, may_propose: bool, effects: &mut Effects) {
        let needs_round = self.acceptor.members_version > self.view.list.version && may_propose;
        match needs_round.then(|| self.accepted_value()).flatten() {
            Some(accepted) => {
                self.proposer.observe_list(accepted.value.member_list());
                self.proposer.push(ChangeFunction::Identity);
            }
            None => self.reader.start(now, &self.view.list, effects),
        }
    }

    fn needs_read(&self, now: Time, fresh_as_of: Option<Time>) -> bool {
        if !self.has_members() || self.has_pending_identity() || !self.reader.is_idle() {
            return false;
        }
        let required_as_of = fresh_as_of.max(self.newer_value_hint_at);
        now >= self.poll_at || required_as_of.is_some_and(|moment| !self.view.is_fresh(moment))
    }

    fn has_pending_identity(&self) -> bool {
        self.proposer
            .has_pending(|function| *function == ChangeFunction::Identity)
    }

    fn next_read_wake(&self) -> Option<Time> {
        let poll_at = (!self.has_pending_identity()).then_some(self.poll_at);
        self.reader.next_wake().or(poll_at)
    }

    fn on_read_finished(
        &mut self,
        now: Time,
        outcome: ReadOutcome,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        match outcome {
            ReadOutcome::Chosen { chosen, as_of } => {
                let update = self.learn(chosen, effects);
                self.mark_fresh(now, as_of);
                self.undecided_reads = UndecidedReads::default();
                self.proposer.on_value_chosen();
                update
            }
            ReadOutcome::Undecided { newest } => {
                self.on_undecided_read(now, newest);
                None
            }
        }
    }

    /// Handles a read that left the value undecided. Usually a change is in flight and the next read finds it chosen,
    /// while a round would compete with that change. A round therefore follows only several undecided reads.
    fn on_undecided_read(&mut self, now: Time, newest: ProposalNumber) {
        self.undecided_reads.record(newest);
        let failures = self.proposer.failures();
        if !self.undecided_reads.requires_round(failures) {
            self.poll_at = now.plus_millis(REREAD_DELAY_MS);
            return;
        }
        self.undecided_reads = UndecidedReads::default();
        self.proposer.push(ChangeFunction::Identity);
    }

    /// Records that every value chosen before `moment` is known now.
    fn mark_fresh(&mut self, now: Time, moment: Time) {
        self.view.mark_fresh(moment);
        self.poll_at = now.plus_millis(POLL_MS);
        if self
            .newer_value_hint_at
            .is_some_and(|hint_at| self.view.is_fresh(hint_at))
        {
            self.newer_value_hint_at = None;
        }
    }

    /// Learns a chosen value and notifies the processes that wait for it; returns `None` if it is not newer than the
    /// known one.
    pub(crate) fn learn(&mut self, chosen: Chosen, effects: &mut Effects) -> Option<ViewUpdate> {
        let config_version = self.view.config_version();
        let members_version = self.view.list.version;
        let value = chosen.value.clone();
        if !self.view.learn(chosen.proposal, chosen.value) {
            return None;
        }
        let update = ViewUpdate {
            members: self.view.list.version > members_version,
            config: self.view.config_version() > config_version,
        };
        if update.members {
            log::info!("member list changed: node={} {}", self.node, self.view.list);
        }
        self.accepted_changes.insert_all(&value.recent);
        self.notify_learn_waiters(effects);
        Some(update)
    }

    fn notify_learn_waiters(&mut self, effects: &mut Effects) {
        let known = self.view.proposal();
        let (done, waiting): (Vec<LearnWaiter>, Vec<LearnWaiter>) =
            std::mem::take(&mut self.learn_waiters)
                .into_iter()
                .partition(|waiter| waiter.proposal <= known);
        self.learn_waiters = waiting;
        let learned = ControlMessage::Learned(Learned { proposal: known });
        effects.broadcast(done.into_iter().map(|waiter| waiter.node), &learned);
    }

    /// Requests accepted changes that are missing in the archive.
    pub(crate) fn fetch_changes(&mut self, now: Time, effects: &mut Effects) {
        if self.has_members() {
            self.changes_fetch.tick(
                now,
                self.node,
                &self.accepted_changes,
                &self.view.list,
                effects,
            );
        }
    }

    /// Writes accepted changes that are not on disk yet, once there are enough of them for a batch.
    pub(crate) fn write_changes(&mut self, effects: &mut Effects) {
        if self.accepted_changes.needs_writing() {
            let operations = self.accepted_changes.take_writes();
            effects.write(operations, Vec::new());
        }
    }

    /// When the next request for missing changes is due.
    pub(crate) fn next_changes_wake(&self) -> Option<Time> {
        self.has_members()
            .then(|| self.changes_fetch.next_wake(&self.accepted_changes))
            .flatten()
    }
}
