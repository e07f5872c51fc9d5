//! A term of the elected process: its lease, and the batches on their way to the replicas.

use crate::batch_window::Window;
use crate::effects::Effects;
use crate::election::Elected;
use crate::learner::Learner;
use crate::quorum::MemberList;
use crate::records::to_changes;
use crate::timing::{LEADER_LEASE_MS, RENEW_INTERVAL_MS, RESEND_MS, WINDOW_PATIENCE_MS};
use sagetrail_protocol::control::{
    ControlMessage, ProposalNumber, RecordBatch, RecordsPosition, Renew, RenewAck, Resign,
};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{Batch, Service};
use sagetrail_protocol::{Incarnation, NodeId, Term, Time};
use std::collections::BTreeMap;

/// So many batches are under way to the quorum at once.
const MAX_IN_FLIGHT: u64 = 2;
/// So many batches are under way to one replica at once.
const MAX_OUTSTANDING: u64 = 64;

#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The newest batch that it has synced in this term; `None` before it has the term's base.
    acked: Option<u64>,
    /// The next batch to send.
    next: u64,
    progressed_at: Time,
    /// When the newest lease that it granted was asked for.
    lease_sent_at: Option<u64>,
    heard: Time,
    /// It has said that it is about to end.
    leaving: bool,
}

impl Progress {
    /// Of a replica that has yet to say where it stands.
    fn new(now: Time, lease_sent_at: Option<u64>) -> Progress {
        Progress {
            acked: None,
            next: 1,
            progressed_at: now,
            lease_sent_at,
            heard: now,
            leaving: false,
        }
    }
}

/// The term.
pub(crate) struct Leadership {
    node: NodeId,
    pub term: Term,
    pub elected_at: Time,
    pub lease_until: Time,
    base: RecordsPosition,
    source: NodeId,
    /// Other voters with the term's base.
    other_sources: Vec<NodeId>,
    progress: BTreeMap<NodeId, Progress>,
    /// Processes that hold the records as members do and count in no quorum.
    learners: BTreeMap<NodeId, Learner>,
    window: Window,
    last: u64,
    /// One more than the newest batch kept by a quorum; 0 before the base is.
    committed: u64,
    renew_at: Time,
    pub service: Option<Box<dyn Service + Send>>,
}

impl Leadership {
    /// Begins with the votes as first grants of the lease.
    pub(crate) fn new(node: NodeId, now: Time, elected: Elected, list: &MemberList) -> Leadership {
        let vote = |member: &NodeId| elected.votes.get(member).map(|vote| vote.sent_at);
        let progress = list
            .all()
            .into_iter()
            .map(|member| (member, Progress::new(now, vote(&member))));
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
            window: Window::default(),
            last: 0,
            committed: 0,
            renew_at: now,
            service: None,
        };
        leadership.extend_lease(list);
        leadership
    }

    /// Whether the term's base is at a quorum.
    pub(crate) fn base_is_committed(&self) -> bool {
        self.committed > 0
    }

    /// This process has the records of the term in hand.
    pub(crate) fn holds_base(&mut self, now: Time) {
        if self.source != self.node {
            self.source = self.node;
            self.renew_at = now;
        }
    }

    /// The records are to come from another voter that has the base; false where there is none.
    pub(crate) fn turn_to_next_source(&mut self, now: Time) -> bool {
        let Some(source) = self.other_sources.pop() else {
            return false;
        };
        self.source = source;
        self.renew_at = now;
        true
    }

    /// When something is due, the service's own times apart.
    pub(crate) fn next_wake(&self) -> Time {
        let resends = self
            .progress
            .values()
            .filter(|progress| progress.outstanding());
        let resend_at = resends
            .map(|progress| progress.progressed_at.plus_millis(RESEND_MS))
            .min();
        let timers = [Some(self.renew_at), Some(self.lease_until), resend_at];
        timers
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.lease_until)
    }

    /// Renews the lease where that is due.
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
            number: self.last,
            learned,
        };
        let mut followers = list.all();
        followers.extend(self.learners.keys());
        effects.broadcast(followers, &ControlMessage::Renew(renew));
    }

    /// A replica granted the lease. False: a higher term was promised.
    pub(crate) fn renew_ack(
        &mut self,
        now: Time,
        from: NodeId,
        ack: &RenewAck,
        list: &MemberList,
    ) -> bool {
        if ack.promised > self.term {
            return false;
        }
        if ack.term != self.term || ack.sent_at > now.0 {
            return true;
        }
        if self
            .learners
            .get_mut(&from)
            .is_some_and(|learner| !learner.on_renew_ack(ack))
        {
            return true;
        }
        self.heard(now, from, ack.position, list);
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.lease_sent_at = progress.lease_sent_at.max(Some(ack.sent_at));
            progress.leaving = ack.leaving;
        }
        self.extend_lease(list);
        true
    }

    fn extend_lease(&mut self, list: &MemberList) {
        let granted = |member: &NodeId| {
            self.progress
                .get(member)
                .and_then(|progress| progress.lease_sent_at)
                .unwrap_or_default()
        };
        if let Some(sent_at) = list.quorum_value(granted).filter(|sent_at| *sent_at > 0) {
            self.lease_until = self
                .lease_until
                .max(Time(sent_at).plus_millis(LEADER_LEASE_MS));
        }
    }

    /// A replica has synced its records up to a state.
    pub(crate) fn stored(
        &mut self,
        now: Time,
        from: NodeId,
        position: RecordsPosition,
        list: &MemberList,
    ) {
        if list.contains(from) {
            self.heard(now, from, position, list);
        }
    }

    fn heard(&mut self, now: Time, from: NodeId, position: RecordsPosition, list: &MemberList) {
        if !list.contains(from) && !self.learners.contains_key(&from) {
            return;
        }
        let progress = self
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(now, None));
        progress.heard = now;
        if position.term != self.term || Some(position.number) <= progress.acked {
            return;
        }
        progress.acked = Some(position.number);
        progress.next = progress.next.max(position.number + 1);
        progress.progressed_at = now;
    }

    /// The newest batch kept by a quorum, where that has moved.
    pub(crate) fn advance(&mut self, list: &MemberList) -> Option<u64> {
        let committed = self.committed_by_quorum(list);
        if committed <= self.committed {
            return None;
        }
        self.committed = committed;
        Some(committed - 1)
    }

    /// Whether a quorum of this list holds everything that was ever kept by a quorum in this term.
    pub(crate) fn is_committed_by(&self, list: &MemberList) -> bool {
        self.base_is_committed() && self.committed_by_quorum(list) >= self.committed
    }

    fn committed_by_quorum(&self, list: &MemberList) -> u64 {
        list.quorum_value(|member| self.synced_by(member))
            .unwrap_or_default()
    }

    fn synced_by(&self, member: &NodeId) -> u64 {
        let acked = self
            .progress
            .get(member)
            .and_then(|progress| progress.acked);
        acked.map_or(0, |number| number + 1)
    }

    /// Takes batches from the service and sends what replicas miss.
    pub(crate) fn pump(&mut self, now: Time, list: &MemberList, effects: &mut Effects) {
        while self.base_is_committed() && self.last + 1 - self.committed < MAX_IN_FLIGHT {
            let Some(batch) = self
                .service
                .as_mut()
                .and_then(|service| service.take_batch())
            else {
                break;
            };
            self.keep(now, batch);
        }
        let learners = &self.learners;
        self.progress
            .retain(|member, _| list.contains(*member) || learners.contains_key(member));
        for (member, progress) in &mut self.progress {
            send_missing(now, *member, progress, &self.window, effects);
        }
    }

    fn keep(&mut self, now: Time, batch: Batch) {
        self.last = batch.number;
        let changes = to_changes(batch.operations);
        let missed = self.first_missed(now);
        self.window.push(
            RecordBatch {
                term: self.term,
                number: batch.number,
                changes,
            },
            missed,
        );
    }

    /// The first batch that a member that was heard lately has not synced. One that fetches an image, or that was
    /// frozen for a while, goes on from there.
    fn first_missed(&self, now: Time) -> u64 {
        let there = self
            .progress
            .values()
            .filter(|progress| now < progress.heard.plus_millis(WINDOW_PATIENCE_MS));
        let missed = there.map(|progress| progress.acked.map_or(1, |acked| acked + 1));
        missed.min().unwrap_or(u64::MAX)
    }

    /// The processes that are to learn. One that has started anew learns from the beginning.
    pub(crate) fn set_learners(&mut self, now: Time, candidates: &BTreeMap<NodeId, Incarnation>) {
        let mut former = std::mem::take(&mut self.learners);
        for (node, incarnation) in candidates {
            let same = former
                .remove(node)
                .filter(|learner| learner.incarnation == *incarnation);
            if same.is_none() {
                self.progress.insert(*node, Progress::new(now, None));
                self.renew_at = now;
            }
            self.learners.insert(
                *node,
                same.unwrap_or_else(|| Learner::new(now, *incarnation)),
            );
        }
    }

    /// A learner that holds everything a member holds.
    pub(crate) fn ready_learner(&self) -> Option<NodeId> {
        let is_ready = |learner: &Learner| learner.holds(self.term, self.last);
        self.learners
            .iter()
            .find(|(_, learner)| is_ready(learner))
            .map(|(node, _)| *node)
    }

    /// The member that a learner should replace: one that is about to end, else the one that has been silent for longest,
    /// since before `moment`.
    pub(crate) fn replaceable(&self, list: &MemberList, moment: Option<Time>) -> Option<NodeId> {
        let members = || {
            self.progress
                .iter()
                .filter(|(member, _)| list.members.contains(member))
        };
        let leaving = members().find(|(_, progress)| progress.leaving);
        let silent =
            members().filter(|(_, progress)| moment.is_some_and(|moment| progress.heard <= moment));
        let longest = || silent.min_by_key(|(_, progress)| progress.heard);
        leaving.or_else(longest).map(|(member, _)| *member)
    }

    /// Gives the lease up and says so.
    pub(crate) fn resign(self, list: &MemberList, effects: &mut Effects) {
        effects.broadcast(
            list.all(),
            &ControlMessage::Resign(Resign { term: self.term }),
        );
    }

    /// Wakes the service where that is due.
    pub(crate) fn wake_service(&mut self, now: Now) {
        let Some(service) = &mut self.service else {
            return;
        };
        if service.next_wake().is_some_and(|due| due <= now.steady) {
            service.wake(now);
        }
    }
}

impl Progress {
    fn outstanding(&self) -> bool {
        self.acked.is_some_and(|acked| self.next > acked + 1)
    }
}

fn send_missing(
    now: Time,
    member: NodeId,
    progress: &mut Progress,
    window: &Window,
    effects: &mut Effects,
) {
    let (Some(acked), Some(first)) = (progress.acked, window.first()) else {
        return;
    };
    if progress.outstanding() && now >= progress.progressed_at.plus_millis(RESEND_MS) {
        progress.next = acked + 1;
        progress.progressed_at = now;
    }
    if !progress.outstanding() {
        progress.progressed_at = now;
    }
    while progress.next >= first && progress.next <= acked + MAX_OUTSTANDING {
        let Some(batch) = window.get(progress.next) else {
            break;
        };
        effects.control(member, ControlMessage::RecordBatch(batch.clone()));
        progress.next += 1;
    }
}
