//! One process's participation in terms: its replica, which promises terms and grants leases, its candidacies, and the
//! term that it leads.
//!
//! Elections follow Raft with pre-vote (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 3 and 9.6). A
//! leader acts only under a lease that a quorum grants (Gray and Cheriton, "Leases", SOSP 1989), so at most one process
//! schedules at any time.

mod messages;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use sagetrail_protocol::control::ControlMessage;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{ConfigInForce, Restored, Service, ServiceFactory};
use sagetrail_protocol::{Incarnation, NodeId, Term, Time};

use crate::effects::Effects;
use crate::election::Elections;
use crate::leadership::Leadership;
use crate::persisted::{ReplicaState, TermPromise};
use crate::quorum::MemberList;
use crate::records::Records;
use crate::register_view::RegisterView;
use crate::replica::Replica;
use crate::resignation::FormerTermResignation;
use crate::timing::ELECTION_YIELD_MS;

/// The newest term that a process knows and the leader of that term.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct KnownLeader {
    /// The term, or 0 before the first term.
    pub term: Term,
    /// The process under whose lease the scheduler runs, or the default node if it is unknown.
    pub leader: NodeId,
}

/// The initial state and the parts with which a process starts to participate in terms.
pub(crate) struct TermsOptions {
    /// The address of this process.
    pub node: NodeId,
    /// The incarnation of this process. Votes for a former incarnation do not count.
    pub incarnation: Incarnation,
    /// When the process started, on its steady clock.
    pub started: Time,
    /// The records that were read from the disk.
    pub records: Records,
    /// The seed of the random delays of elections.
    pub election_seed: u64,
    /// Creates the scheduler of a term.
    pub factory: ServiceFactory,
    /// The random numbers from which the schedulers are seeded.
    pub random: Pcg64Mcg,
}

/// The state of one process in terms.
pub(crate) struct Terms {
    /// The address of this process.
    node: NodeId,
    /// When the process started, on its steady clock.
    started: Time,
    /// The replica of this process.
    replica: Replica,
    /// The candidacies of this process.
    elections: Elections,
    /// The state of the term that this process leads; `None` if it leads none.
    leadership: Option<Leadership>,
    /// The resignation of the term of this process's former incarnation, while it is sent.
    former_term: Option<FormerTermResignation>,
    /// Creates the scheduler of a term.
    factory: ServiceFactory,
    /// The random numbers from which the schedulers are seeded.
    random: Pcg64Mcg,
}

impl Terms {
    /// Creates the state of a process that has promised no term.
    pub(crate) fn new(options: TermsOptions) -> Terms {
        let state = ReplicaState::default();
        Terms {
            node: options.node,
            started: options.started,
            replica: Replica::new(options.node, options.started, state, options.records),
            elections: Elections::new(options.node, options.incarnation, options.election_seed),
            leadership: None,
            former_term: None,
            factory: options.factory,
            random: options.random,
        }
    }

    /// Restores the state that was on disk and begins to resign the term of the former incarnation.
    pub(crate) fn restore(&mut self, state: ReplicaState) {
        self.elections.observe_term(state.promise.term);
        let records = std::mem::take(&mut self.replica.records);
        self.replica = Replica::new(self.node, self.started, state, records);
        self.former_term =
            FormerTermResignation::of_promise(state.promise, self.node, self.started);
        if self.former_term.is_some() {
            // The process granted this lease to its own former incarnation, which has ended.
            self.replica.lease_until = self.started;
            self.elections.hasten_next();
        }
    }

    /// Returns the state of the replica, with its promise and the position of its records.
    pub(crate) fn replica_state(&self) -> &ReplicaState {
        &self.replica.state
    }

    /// Marks the records of this process as complete. At the bootstrap of the cluster there are no records, so a
    /// process without records has all of them.
    pub(crate) fn mark_records_complete(&mut self) {
        self.replica.state.complete = true;
    }

    /// Adopts `term` as the promised term. The members know that this process has promised no higher term.
    pub(crate) fn adopt_promised_term(&mut self, term: Term) {
        self.replica.state.promise = TermPromise {
            term,
            ..TermPromise::default()
        };
    }

    /// Returns the state of the term that this process leads.
    pub(crate) fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        self.leadership.as_mut()
    }

    /// Returns whether this process leads a term and its scheduler runs.
    pub(crate) fn is_serving(&self) -> bool {
        self.service().is_some()
    }

    fn service(&self) -> Option<&(dyn Service + Send)> {
        self.leadership.as_ref()?.service.as_deref()
    }

    /// Returns the scheduler if it runs at this process.
    pub(crate) fn service_mut(&mut self) -> Option<&mut Box<dyn Service + Send>> {
        self.leadership.as_mut()?.service.as_mut()
    }

    /// Passes a newer configuration to the scheduler.
    pub(crate) fn on_config_changed(&mut self, now: Now, config: ConfigInForce) {
        if let Some(service) = self.service_mut() {
            service.config(now, config);
        }
    }

    /// Returns the newest known term and its leader. A process names itself as the leader only while it holds the
    /// lease, because its replica continues to follow the term after the lease has expired.
    pub(crate) fn known_leader(&self) -> KnownLeader {
        if let Some(leadership) = &self.leadership {
            let leader = if leadership.service.is_some() {
                self.node
            } else {
                NodeId::default()
            };
            let term = leadership.term;
            return KnownLeader { term, leader };
        }
        let (term, leader) = self.replica.promised_term();
        let leader = if leader == self.node {
            NodeId::default()
        } else {
            leader
        };
        KnownLeader { term, leader }
    }

    /// Returns the leader while its lease may not have expired.
    pub(crate) fn live_leader(&self, now: Time) -> Option<NodeId> {
        self.replica.live_leader(now)
    }

    /// Returns the time until which rounds of the register wait for the election, or `None` if a leader is live or the
    /// wait is over. A change of a long configuration takes a small core machine a tenth of a second at each member.
    /// Votes that are queued behind such a change would arrive too late.
    pub(crate) fn election_yield_until(&self, now: Time) -> Option<Time> {
        let until = self.replica.lease_until.plus_millis(ELECTION_YIELD_MS);
        (self.replica.live_leader(now).is_none() && now < until).then_some(until)
    }

    /// Returns the time as of which the register has to be known before the scheduler of this process's term may start.
    pub(crate) fn fresh_as_of(&self) -> Option<Time> {
        self.leadership
            .as_ref()
            .filter(|leadership| leadership.service.is_none())
            .map(|leadership| leadership.elected_at)
    }

    /// Ends the term if its lease has expired. This has to run before any other step.
    pub(crate) fn end_expired_term(&mut self, now: Time) {
        if self
            .leadership
            .as_ref()
            .is_some_and(|leadership| now >= leadership.lease_until)
        {
            self.leadership = None;
            self.elections.withdraw(now);
        }
    }

    /// Resigns the term, so that the other members can elect a leader at once.
    pub(crate) fn step_down(&mut self, now: Time, members: &MemberList, effects: &mut Effects) {
        if let Some(leadership) = self.leadership.take() {
            leadership.resign(members, effects);
            self.elections.withdraw(now);
        }
    }
}

/// The steps that are due at a given time.
impl Terms {
    /// Runs the steps that are due. `may_stand` tells whether this process is an active member that may lead.
    pub(crate) fn step(
        &mut self,
        now: Now,
        may_stand: bool,
        view: &RegisterView,
        effects: &mut Effects,
    ) {
        let steady = now.steady;
        self.replica.tick(steady, effects);
        self.resign_former_term(steady, &view.list, effects);
        self.step_election(steady, may_stand, &view.list, effects);
        self.check_base_source(steady, &view.list, effects);
        self.step_leadership(now, view, effects);
    }

    /// Returns when the next step is due.
    pub(crate) fn next_wake(&self, may_stand: bool) -> Option<Time> {
        let election = self
            .is_candidate(may_stand)
            .then(|| self.elections.next_wake(self.replica.lease_until));
        let wakes = [
            self.replica.next_wake(),
            election,
            self.former_term
                .as_ref()
                .map(FormerTermResignation::next_wake),
            self.leadership.as_ref().map(Leadership::next_wake),
            self.service().and_then(Service::next_wake),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Sends the resignation of the former incarnation's term if it is due.
    fn resign_former_term(&mut self, now: Time, members: &MemberList, effects: &mut Effects) {
        let promised = self.replica.state.promise.term;
        let leads = self.leadership.is_some();
        self.former_term = self
            .former_term
            .filter(|former| !leads && !former.is_over(now, promised));
        if let Some(resign) = self
            .former_term
            .as_mut()
            .and_then(|former| former.take_due(now))
        {
            effects.broadcast(members.all(), &ControlMessage::Resign(resign));
        }
    }

    /// Returns whether this process may start or continue a candidacy.
    fn is_candidate(&self, may_stand: bool) -> bool {
        may_stand && self.replica.state.complete && self.leadership.is_none()
    }

    fn step_election(
        &mut self,
        now: Time,
        may_stand: bool,
        members: &MemberList,
        effects: &mut Effects,
    ) {
        if self.is_candidate(may_stand) {
            self.elections
                .tick(now, self.replica.lease_until, members, effects);
        }
    }

    /// Returns whether this process leads a term and has the term's base, possibly with batches of the term.
    fn holds_base(&self) -> bool {
        let term = self.leadership.as_ref().map(|leadership| leadership.term);
        term == Some(self.replica.state.position.term) && self.replica.state.complete
    }

    /// Replaces the source of the term's base by another voter with the same state if the source is silent. If there is
    /// no such voter, the term ends: the voters of the next election may have the newest state without that source.
    fn check_base_source(&mut self, now: Time, members: &MemberList, effects: &mut Effects) {
        let silent = !self.holds_base() && self.replica.source_is_silent(now);
        let Some(leadership) = self.leadership.as_mut().filter(|_| silent) else {
            return;
        };
        if !leadership.try_next_source(now) {
            let (node, term) = (self.node, leadership.term);
            log::info!("no reachable source of the term's base records: node={node} term={term}");
            self.step_down(now, members, effects);
        }
    }

    /// Renews the lease, advances the commit position, and starts and runs the scheduler.
    fn step_leadership(&mut self, now: Now, view: &RegisterView, effects: &mut Effects) {
        let holds_base = self.holds_base();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if holds_base {
            leadership.become_source(now.steady);
        }
        leadership.renew(now.steady, &view.list, view.proposal(), effects);
        let advanced = leadership.advance_commit(&view.list);
        if let (Some(number), Some(service)) = (advanced, &mut leadership.service) {
            service.committed(now, number);
        }
        self.start_service(now, holds_base, view);
        self.run_service(now, view, effects);
    }

    /// Starts the scheduler once a quorum has the term's base and the register is known as of the election.
    fn start_service(&mut self, now: Now, holds_base: bool, view: &RegisterView) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_fresh = view.is_fresh(leadership.elected_at);
        let is_base_committed = holds_base && leadership.base_is_committed();
        if leadership.service.is_some() || !is_base_committed || !is_fresh {
            return;
        }
        let restored = Restored {
            term: leadership.term,
            node: self.node,
            records: &self.replica.records.0,
            config: view.config().cloned(),
            seed: self.random.random(),
        };
        log::info!(
            "term {}: scheduler starts with {} records",
            leadership.term,
            restored.records.len()
        );
        leadership.service = Some((self.factory)(now, restored));
    }

    /// Wakes the scheduler, replicates its batches and sends its messages.
    fn run_service(&mut self, now: Now, view: &RegisterView, effects: &mut Effects) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.wake_service(now);
        leadership.replicate(now.steady, &view.list, effects);
        if let Some(service) = &mut leadership.service {
            effects.sends.extend(service.take_sends());
        }
    }
}
