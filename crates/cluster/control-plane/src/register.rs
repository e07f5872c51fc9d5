//! The compare-and-swap register as one process takes part in it: acceptor, proposer and reader, what is known of the
//! chosen values, and the archive of accepted changes.
//!
//! The protocol is CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): a proposer reads the
//! accepted value at a majority, applies a change to it and has a majority accept the result. The value holds the core's
//! member list, so a change of members is a change of the register like any other.

mod messages;

use sagetrail_protocol::control::{ControlMessage, Learned, ProposalNumber};
use sagetrail_protocol::{Blob, Incarnation, NodeId, Time};

use crate::accepted_changes::AcceptedChanges;
use crate::acceptor::Acceptor;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::changes_fetch::ChangesFetch;
use crate::differing_reads::DifferingReads;
use crate::effects::Effects;
use crate::local_values::LocalValues;
use crate::persisted::{AcceptorNumbers, ControlState};
use crate::proposer::Proposer;
use crate::quorum::MemberList;
use crate::quorum_read::{QuorumReader, ReadOutcome};
use crate::register_view::{Chosen, RegisterView};
use crate::timing::POLL_MS;

/// The most processes that wait for a notice that a proposal number is learned.
const MAX_LEARN_WAITERS: usize = 64;
/// The next read follows one whose replies differed after this time, in milliseconds.
const REREAD_MS: u64 = 50;
/// The most accepted changes in one reply.
const MAX_CHANGES_IN_REPLY: usize = 1_000;

/// What a newly learned value changed in the register view.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ViewUpdate {
    /// The member list is a newer one.
    pub members: bool,
    /// The configuration in force is a newer one.
    pub config: bool,
}

/// A configuration change whose outcome is known.
#[derive(Debug)]
pub(crate) struct CompletedChange {
    /// Its number at this process.
    pub number: u64,
    /// What became of it.
    pub outcome: ChangeOutcome,
    /// The proposal number of the value that decided it.
    pub proposal: ProposalNumber,
}

/// What an answer to the proposer led to.
#[derive(Debug, Default)]
pub(crate) struct RegisterProgress {
    /// A newer value is known.
    pub update: Option<ViewUpdate>,
    /// A configuration change of this process is decided.
    pub completed: Option<CompletedChange>,
}

/// What the other parts of the process require of the register in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RegisterDemand {
    /// Whether this process may run rounds of its own.
    pub may_propose: bool,
    /// Everything chosen before this moment has to be known.
    pub fresh_as_of: Option<Time>,
}

/// A process that is notified once a proposal number is learned here.
#[derive(Debug)]
struct LearnWaiter {
    node: NodeId,
    proposal: ProposalNumber,
}

/// With what a register starts.
#[derive(Debug)]
pub(crate) struct RegisterStart {
    /// This process.
    pub node: NodeId,
    /// Its incarnation, which stands in its proposal numbers.
    pub incarnation: Incarnation,
    /// Seeds the pauses between competing rounds.
    pub proposer_seed: u64,
    /// The first nonce of a read.
    pub reader_seed: u64,
    /// The archive as the disk holds it.
    pub accepted_changes: AcceptedChanges,
    /// The moment of the start.
    pub now: Time,
}

/// The register at one process.
#[derive(Debug)]
pub(crate) struct Register {
    node: NodeId,
    view: RegisterView,
    acceptor: Acceptor,
    proposer: Proposer,
    reader: QuorumReader,
    /// All accepted changes of the configuration, as far as this process knows them.
    accepted_changes: AcceptedChanges,
    changes_fetch: ChangesFetch,
    learn_waiters: Vec<LearnWaiter>,
    /// When another process last named a newer chosen value.
    newer_value_hint_at: Option<Time>,
    /// When the register is read next without any demand.
    poll_at: Time,
    differing_reads: DifferingReads,
}

impl Register {
    /// A register without a value.
    pub(crate) fn new(start: RegisterStart) -> Register {
        Register {
            node: start.node,
            view: RegisterView::default(),
            acceptor: Acceptor::default(),
            proposer: Proposer::new(start.node, start.incarnation, start.proposer_seed),
            reader: QuorumReader::new(start.reader_seed),
            accepted_changes: start.accepted_changes,
            changes_fetch: ChangesFetch::default(),
            learn_waiters: Vec::new(),
            newer_value_hint_at: None,
            poll_at: start.now,
            differing_reads: DifferingReads::default(),
        }
    }

    /// Takes up what was on disk.
    pub(crate) fn restore(&mut self, state: &ControlState) {
        self.acceptor.restore(state.proposals, state.value.clone());
        self.proposer.observe_proposal(state.proposals.promised);
        self.view.adopt_list(state.members.clone().into());
    }

    /// What is known of the chosen values.
    pub(crate) fn view(&self) -> &RegisterView {
        &self.view
    }

    /// The newest member list that is known.
    pub(crate) fn members(&self) -> &MemberList {
        &self.view.list
    }

    /// Whether any member list is known.
    pub(crate) fn has_members(&self) -> bool {
        self.view.list.version > 0
    }

    /// What this process has promised and accepted.
    pub(crate) fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// The accepted value of this process as a chosen one.
    pub(crate) fn accepted_value(&self) -> Option<Chosen> {
        self.acceptor.accepted_value()
    }

    /// Takes a value that other processes hold and that is being written here.
    pub(crate) fn adopt(&mut self, proposals: AcceptorNumbers, value: Blob) {
        self.acceptor.adopt(proposals, value);
    }

    /// The accepted value of this process has been synced.
    pub(crate) fn value_synced(&mut self, proposal: ProposalNumber) {
        self.acceptor.on_synced(proposal);
    }

    /// The proposer goes above what the acceptor has promised.
    pub(crate) fn note_own_promise(&mut self) {
        self.proposer
            .observe_proposal(self.acceptor.proposals.promised);
    }

    /// Takes a member list that was chosen; true where it is newer.
    pub(crate) fn adopt_members(&mut self, list: MemberList) -> bool {
        self.view.adopt_list(list)
    }

    /// Another process reported a member list. A newer one stands in a newer value.
    pub(crate) fn members_reported(&mut self, now: Time, list: MemberList) {
        let newer = self.view.adopt_list(list);
        if newer && self.view.chosen.is_some() {
            self.newer_value_hint_at = Some(now);
        }
    }

    /// Another process knows a member list of this version.
    pub(crate) fn members_version_reported(&mut self, now: Time, version: u64) {
        if version > self.view.list.version {
            self.newer_value_hint_at = self.newer_value_hint_at.or(Some(now));
        }
    }

    /// Takes a change function for the proposer; one that waits already is not taken twice.
    pub(crate) fn propose(&mut self, function: ChangeFunction) {
        self.proposer.push(function);
    }

    /// Gives a configuration change up.
    pub(crate) fn cancel_change(&mut self, number: u64) {
        self.proposer.cancel(number);
    }

    /// Whether this configuration change may have been accepted somewhere.
    pub(crate) fn may_be_accepted(&self, number: u64) -> bool {
        self.proposer.may_be_accepted(number)
    }

    /// Whether a change of members is being proposed.
    pub(crate) fn is_changing_members(&self) -> bool {
        self.proposer
            .has_pending(|function| matches!(function, ChangeFunction::Members { .. }))
    }

    /// Whether this process knows the register's value and, as far as the members can tell, all accepted changes.
    pub(crate) fn is_caught_up(&self) -> bool {
        self.view.chosen.is_some() && self.changes_fetch.is_done(&self.accepted_changes)
    }

    /// Runs rounds and reads, as far as they are due.
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
        let update = outcome.and_then(|outcome| self.read_finished(now, outcome, effects));
        if self.wants_read(now, demand.fresh_as_of) {
            self.read(now, demand.may_propose, effects);
        }
        update
    }

    /// When a round or a read is due.
    pub(crate) fn next_wake(&self, may_propose: bool) -> Option<Time> {
        let round = if may_propose {
            self.proposer.next_wake()
        } else {
            None
        };
        let read = if self.has_members() {
            self.read_wake()
        } else {
            None
        };
        round.into_iter().chain(read).min()
    }

    /// Reads the register. Where this process has accepted a newer member list, the members of the list that it knows
    /// may have gone, so a round of the newer list's members decides whether that one is chosen.
    fn read(&mut self, now: Time, may_propose: bool, effects: &mut Effects) {
        let newer = self.acceptor.members_version > self.view.list.version && may_propose;
        match newer.then(|| self.accepted_value()).flatten() {
            Some(own) => {
                self.proposer.observe_list(own.value.member_list());
                self.proposer.push(ChangeFunction::Identity);
            }
            None => self.reader.start(now, &self.view.list, effects),
        }
    }

    fn wants_read(&self, now: Time, fresh_as_of: Option<Time>) -> bool {
        if !self.has_members() || self.is_refreshing() || !self.reader.is_idle() {
            return false;
        }
        let demanded = fresh_as_of.max(self.newer_value_hint_at);
        now >= self.poll_at || demanded.is_some_and(|moment| !self.view.is_fresh(moment))
    }

    fn is_refreshing(&self) -> bool {
        self.proposer
            .has_pending(|function| *function == ChangeFunction::Identity)
    }

    fn read_wake(&self) -> Option<Time> {
        let poll_at = (!self.is_refreshing()).then_some(self.poll_at);
        self.reader.next_wake().or(poll_at)
    }

    fn read_finished(
        &mut self,
        now: Time,
        outcome: ReadOutcome,
        effects: &mut Effects,
    ) -> Option<ViewUpdate> {
        match outcome {
            ReadOutcome::Chosen { chosen, as_of } => {
                let update = self.learn(chosen, effects);
                self.freshen(now, as_of);
                self.differing_reads = DifferingReads::default();
                self.proposer.value_is_chosen();
                update
            }
            ReadOutcome::Undecided { newest } => {
                self.replies_differed(now, newest);
                None
            }
        }
    }

    /// Mostly a change is in flight, and the next read finds it chosen. A round would compete with it.
    fn replies_differed(&mut self, now: Time, newest: ProposalNumber) {
        self.differing_reads.record(newest);
        let failures = self.proposer.failures();
        if !self.differing_reads.need_a_round(failures) {
            self.poll_at = now.plus_millis(REREAD_MS);
            return;
        }
        self.differing_reads = DifferingReads::default();
        self.proposer.push(ChangeFunction::Identity);
    }

    /// Everything chosen before `moment` is known now.
    fn freshen(&mut self, now: Time, moment: Time) {
        self.view.freshen(moment);
        self.poll_at = now.plus_millis(POLL_MS);
        if self
            .newer_value_hint_at
            .is_some_and(|hint_at| self.view.is_fresh(hint_at))
        {
            self.newer_value_hint_at = None;
        }
    }

    /// Takes a chosen value and notifies those who wait for it; `None` where it is not newer.
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
            log::info!("members changed: node={} {}", self.node, self.view.list);
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

    /// Requests accepted changes that are missing.
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

    /// Writes accepted changes that are not on disk yet, once there are enough of them.
    pub(crate) fn write_changes(&mut self, effects: &mut Effects) {
        if self.accepted_changes.needs_writing() {
            let operations = self.accepted_changes.take_writes();
            effects.write(operations, Vec::new());
        }
    }

    /// When a request for missing changes is due.
    pub(crate) fn changes_wake(&self) -> Option<Time> {
        self.has_members()
            .then(|| self.changes_fetch.next_wake(&self.accepted_changes))
            .flatten()
    }
}
