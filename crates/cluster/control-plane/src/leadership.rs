//! The state of a leader during its term: its lease, and the replication of records.
//!
//! The lease is that of Gray and Cheriton (1989): the leader asks all replicas to renew it, and relies on it for less
//! time than a majority has granted. The leader sends batches of records to each replica according to its `Progress`. A
//! batch is committed once a majority has synced it.

use crate::batch_window::BatchWindow;
use crate::effects::Effects;
use crate::election::Elected;
use crate::learner::Learner;
use crate::progress::Progress;
use crate::quorum::MemberList;
use crate::records::to_changes;
use crate::timing::{LEADER_LEASE_MS, MISSED_BATCH_RETENTION_MS, RENEW_INTERVAL_MS};
use sagetrail_protocol::control::{
    ControlMessage, ProposalNumber, RecordBatch, RecordsPosition, Renew, RenewAck, Resign,
};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{Batch, Service};
use sagetrail_protocol::{Incarnation, NodeId, Term, Time};
use std::collections::BTreeMap;

/// The maximum number of uncommitted batches.
const MAX_UNCOMMITTED: u64 = 2;

/// Whether a term is still the newest one known.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
#[must_use]
pub(crate) enum TermStatus {
    /// No higher term is known.
    Current,
    /// A replica has promised a higher term.
    Superseded,
}

/// The leader's state in its term.
pub(crate) struct Leadership {
    /// The address of this process.
    node: NodeId,
    /// The term that this process leads.
    pub term: Term,
    /// When this process won the election.
    pub elected_at: Time,
    /// When the lease expires and the term ends, unless a majority grants the lease again.
    pub lease_until: Time,
    /// The position of the records on which the term builds, which is the newest position among the voters.
    base: RecordsPosition,
    /// The replica from which the others fetch the base.
    source: NodeId,
    /// Other voters that have the term's base.
    other_sources: Vec<NodeId>,
    /// The progress of each member and learner.
    progress: BTreeMap<NodeId, Progress>,
    /// The processes that replicate the records like members but count in no quorum.
    learners: BTreeMap<NodeId, Learner>,
    /// The newest batches of the term, for replicas that lack them.
    window: BatchWindow,
    /// The number of the newest batch, or 0 before the first batch.
    last_batch: u64,
    /// The number of committed states: the base and each batch count as one. It is one more than the number of the
    /// newest committed batch, and 0 before the base is committed.
    committed_states: u64,
    /// When the next renewal of the lease is due.
    renew_at: Time,
    /// The scheduler, which runs once the base is committed and the register has been read.
    pub service: Option<Box<dyn Service + Send>>,
}

impl Leadership {
    /// Begins the term. The votes count as the first grants of the lease.
    pub(crate) fn new(node: NodeId, now: Time, elected: Elected, list: &MemberList) -> Leadership {
        let voted_at = |member: &NodeId| elected.votes.get(member).map(|vote| vote.sent_at);
        let progress = list
            .all()
            .into_iter()
            .map(|member| (member, Progress::new(now, voted_at(&member))));
        let progress: BTreeMap<NodeId, Progress> = progress.collect();
        let other_sources = elected.other_sources();
        let mut leadership = Leadership {
            node,
            term: elected.term,
            elected_at: now,
            lease_until: now,
            base: elected.base,
            source: elected.source,
            other_sources,
            progress,
            learners: BTreeMap::new(),
            window: BatchWindow::default(),
            last_batch: 0,
            committed_states: 0,
            renew_at: now,
            service: None,
        };
        leadership.extend_lease(list);
        leadership
    }

    /// Returns whether the term's base is committed.
    pub(crate) fn base_is_committed(&self) -> bool {
        self.committed_states > 0
    }

    /// Makes this process, which has the term's base now, the source from which the others fetch the base.
    pub(crate) fn become_source(&mut self, now: Time) {
        if self.source != self.node {
            self.source = self.node;
            self.renew_at = now;
        }
    }

    /// Makes another voter that has the base its source. Returns false if no voter is left.
    pub(crate) fn try_next_source(&mut self, now: Time) -> bool {
        let Some(source) = self.other_sources.pop() else {
            return false;
        };
        self.source = source;
        self.renew_at = now;
        true
    }

    /// Returns when the next step is due, without the times of the service itself.
    pub(crate) fn next_wake(&self) -> Time {
        let resends = self.progress.values().filter_map(Progress::resend_at);
        let timers = resends.chain([self.renew_at, self.lease_until]);
        timers.min().unwrap_or(self.lease_until)
    }

    /// Requests a renewal of the lease if it is due. `learned` is the proposal number of the newest chosen value of the
    /// register that the leader knows.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        list: &MemberList,
        learned: ProposalNumber,
        effects: &mut Effects,
    ) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now.plus_millis(RENEW_INTERVAL_MS);
        let renew = Renew {
            term: self.term,
            sent_at: now.0,
            base: self.base,
            source: self.source,
            number: self.last_batch,
            learned,
        };
        let mut followers = list.all();
        followers.extend(self.learners.keys());
        effects.broadcast(followers, &ControlMessage::Renew(renew));
    }

    /// Handles a replica's answer to a renewal.
    pub(crate) fn on_renew_ack(
        &mut self,
        now: Time,
        from: NodeId,
        ack: &RenewAck,
        list: &MemberList,
    ) -> TermStatus {
        if ack.promised > self.term {
            return TermStatus::Superseded;
        }
        if ack.term != self.term || ack.sent_at > now.0 {
            return TermStatus::Current;
        }
        if self
            .learners
            .get_mut(&from)
            .is_some_and(|learner| !learner.on_renew_ack(ack))
        {
            return TermStatus::Current;
        }
        self.observe_replica(now, from, ack.position, list);
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.on_lease_granted(ack);
        }
        self.extend_lease(list);
        TermStatus::Current
    }

    /// Extends the lease according to the grants of a quorum.
    fn extend_lease(&mut self, list: &MemberList) {
        let granted = |member: &NodeId| {
            self.progress
                .get(member)
                .map(Progress::lease_sent_at)
                .unwrap_or_default()
        };
        if let Some(sent_at) = list.quorum_value(granted).filter(|sent_at| *sent_at > 0) {
            self.lease_until = self
                .lease_until
                .max(Time(sent_at).plus_millis(LEADER_LEASE_MS));
        }
    }

    /// Handles the report of a replica that has synced its records up to a position.
    pub(crate) fn on_records_synced(
        &mut self,
        now: Time,
        from: NodeId,
        position: RecordsPosition,
        list: &MemberList,
    ) {
        if list.contains(from) {
            self.observe_replica(now, from, position, list);
        }
    }

    /// Records that a replica is active and has synced its records up to `position`.
    fn observe_replica(
        &mut self,
        now: Time,
        from: NodeId,
        position: RecordsPosition,
        list: &MemberList,
    ) {
        if !list.contains(from) && !self.learners.contains_key(&from) {
            return;
        }
        let progress = self
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(now, None));
        progress.last_active = now;
        if position.term == self.term {
            progress.on_synced(now, position.number);
        }
    }

    /// Advances the commit position. Returns the number of the newest committed batch if the position has advanced.
    pub(crate) fn advance_commit(&mut self, list: &MemberList) -> Option<u64> {
        let committed_states = self.synced_by_quorum(list);
        if committed_states <= self.committed_states {
            return None;
        }
        self.committed_states = committed_states;
        Some(committed_states - 1)
    }

    /// Returns whether a quorum of this member list has synced everything that was committed in this term.
    pub(crate) fn is_committed_by(&self, list: &MemberList) -> bool {
        self.base_is_committed() && self.synced_by_quorum(list) >= self.committed_states
    }

    /// Returns the number of states that a quorum has synced, which is one more than the number of the newest such
    /// batch.
    fn synced_by_quorum(&self, list: &MemberList) -> u64 {
        let synced_states = |member: &NodeId| {
            self.progress
                .get(member)
                .map(Progress::synced_states)
                .unwrap_or_default()
        };
        list.quorum_value(synced_states).unwrap_or_default()
    }

    /// Takes batches from the service and sends each replica the batches that it lacks.
    pub(crate) fn replicate(&mut self, now: Time, list: &MemberList, effects: &mut Effects) {
        while self.base_is_committed()
            && self.last_batch + 1 - self.committed_states < MAX_UNCOMMITTED
        {
            let Some(batch) = self
                .service
                .as_mut()
                .and_then(|service| service.take_batch())
            else {
                break;
            };
            self.append(now, batch);
        }
        let learners = &self.learners;
        self.progress
            .retain(|member, _| list.contains(*member) || learners.contains_key(member));
        for (replica, progress) in &mut self.progress {
            progress.send_missing(now, *replica, &self.window, effects);
        }
    }

    fn append(&mut self, now: Time, batch: Batch) {
        self.last_batch = batch.number;
        let changes = to_changes(batch.operations);
        let first_missing = self.first_missing(now);
        self.window.push(
            RecordBatch {
                term: self.term,
                number: batch.number,
                changes,
            },
            first_missing,
        );
    }

    /// Returns the number of the first batch that some recently active replica has not synced. A replica that fetches a
    /// snapshot, or that was suspended for a while, continues from there.
    fn first_missing(&self, now: Time) -> u64 {
        let active = self
            .progress
            .values()
            .filter(|progress| now < progress.last_active.plus_millis(MISSED_BATCH_RETENTION_MS));
        active
            .map(Progress::first_missing)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Sets the learners to `candidates`. A learner with a new incarnation has restarted and starts over.
    pub(crate) fn set_learners(&mut self, now: Time, candidates: &BTreeMap<NodeId, Incarnation>) {
        let mut former_learners = std::mem::take(&mut self.learners);
        for (node, incarnation) in candidates {
            let unchanged = former_learners
                .remove(node)
                .filter(|learner| learner.incarnation == *incarnation);
            if unchanged.is_none() {
                self.progress.insert(*node, Progress::new(now, None));
                self.renew_at = now;
            }
            self.learners.insert(
                *node,
                unchanged.unwrap_or_else(|| Learner::new(now, *incarnation)),
            );
        }
    }

    /// Returns a learner that has caught up with the members.
    pub(crate) fn ready_learner(&self) -> Option<NodeId> {
        let is_ready = |learner: &Learner| learner.holds(self.term, self.last_batch);
        self.learners
            .iter()
            .find(|(_, learner)| is_ready(learner))
            .map(|(node, _)| *node)
    }

    /// Returns the member that a learner should replace: a member that is about to end, otherwise the member that has
    /// been silent for the longest time and at least since `silent_since`.
    pub(crate) fn member_to_replace(
        &self,
        list: &MemberList,
        silent_since: Option<Time>,
    ) -> Option<NodeId> {
        let members = || {
            self.progress
                .iter()
                .filter(|(member, _)| list.members.contains(member))
        };
        let is_silent =
            |progress: &Progress| silent_since.is_some_and(|since| progress.last_active <= since);
        let leaving = members().find(|(_, progress)| progress.leaving);
        let longest_silent = || {
            members()
                .filter(|(_, progress)| is_silent(progress))
                .min_by_key(|(_, progress)| progress.last_active)
        };
        leaving.or_else(longest_silent).map(|(member, _)| *member)
    }

    /// Ends the term and notifies the members that the lease is resigned.
    pub(crate) fn resign(self, list: &MemberList, effects: &mut Effects) {
        effects.broadcast(
            list.all(),
            &ControlMessage::Resign(Resign { term: self.term }),
        );
    }

    /// Wakes the service if its wake time has come.
    pub(crate) fn wake_service(&mut self, now: Now) {
        let Some(service) = &mut self.service else {
            return;
        };
        if service.next_wake().is_some_and(|due| due <= now.steady) {
            service.wake(now);
        }
    }
}
