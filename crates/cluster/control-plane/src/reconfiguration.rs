//! Changes of the core's members, proposed by the leader of the term.
//!
//! A process that asks to join becomes a learner first: it follows the term like a member but counts in no quorum
//! (Ongaro's thesis, 4.2.1). Once it holds everything, it is added if there are too few members, or else replaces a
//! member that is shutting down or unreachable. The change has two steps, as in joint consensus (Ongaro and Ousterhout,
//! "In Search of an Understandable Consensus Algorithm", 2014, section 6). Between them every decision needs a majority
//! of each of the two lists. The second step is taken only once a majority of each list holds everything that was
//! committed in the term.

use std::collections::BTreeMap;

use sagetrail_protocol::{Incarnation, NodeId, Time};

use crate::change_function::{ChangeFunction, MemberStep};
use crate::leadership::Leadership;
use crate::quorum::MemberList;
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::{JOINER_MS, MEMBERSHIP_INTERVAL_MS, UNREACHABLE_MS};

/// The maximum number of processes whose requests to join are remembered.
const MAX_JOINERS: usize = 64;
/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;

/// The latest hello of a core process that is not a member, which is its request to join.
#[derive(Clone, Copy, Debug)]
struct JoinRequest {
    /// The incarnation of the process that asks.
    incarnation: Incarnation,
    /// When the hello was received.
    received: Time,
}

impl JoinRequest {
    fn is_recent(&self, now: Time) -> bool {
        now < self.received.plus_millis(JOINER_MS)
    }
}

/// The core processes that are not members and ask to join.
#[derive(Debug, Default)]
pub(crate) struct Joiners {
    /// The latest request of each process.
    requests: BTreeMap<NodeId, JoinRequest>,
}

impl Joiners {
    /// Handles the hello of a core process that is not a member. Expired requests are dropped; a further process is
    /// ignored while `MAX_JOINERS` are remembered.
    pub(crate) fn on_hello(&mut self, now: Time, node: NodeId, incarnation: Incarnation) {
        self.requests.retain(|_, request| request.is_recent(now));
        if self.requests.len() < MAX_JOINERS || self.requests.contains_key(&node) {
            let request = JoinRequest {
                incarnation,
                received: now,
            };
            self.requests.insert(node, request);
        }
    }

    /// Drops the requests of processes that have become members, so that an old request does not count if they are
    /// removed from the list again.
    pub(crate) fn forget_members(&mut self, members: &MemberList) {
        self.requests.retain(|node, _| !members.contains(*node));
    }

    /// At most `count` of the processes that are not members and whose latest request is not older than `JOINER_MS`.
    pub(crate) fn candidates(
        &self,
        now: Time,
        members: &MemberList,
        count: usize,
    ) -> BTreeMap<NodeId, Incarnation> {
        self.requests
            .iter()
            .filter(|(node, request)| request.is_recent(now) && !members.contains(**node))
            .take(count)
            .map(|(node, request)| (*node, request.incarnation))
            .collect()
    }

    /// Whether any process that is not a member has a recent request to join.
    pub(crate) fn has_candidates(&self, now: Time, members: &MemberList) -> bool {
        !self.candidates(now, members, 1).is_empty()
    }
}

/// The changes of members that this process proposes while it leads a term.
#[derive(Debug)]
pub(crate) struct Reconfiguration {
    joiners: Joiners,
    /// The number of core machines that may be lost at once.
    tolerated_machines: usize,
    /// When the members and the joiners are checked next.
    check_at: Time,
}

impl Reconfiguration {
    /// Creates the state without joiners.
    pub(crate) fn new(tolerated_machines: u32, now: Time) -> Reconfiguration {
        Reconfiguration {
            joiners: Joiners::default(),
            tolerated_machines: tolerated_machines as usize,
            check_at: now,
        }
    }

    /// The processes that ask to join.
    pub(crate) fn joiners(&self) -> &Joiners {
        &self.joiners
    }

    /// Handles the hello of a core process. If it is not a member, it asks to join.
    pub(crate) fn on_hello(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: Incarnation,
        members: &MemberList,
    ) {
        if !members.contains(from) {
            self.joiners.on_hello(now, from, incarnation);
        }
    }

    /// Handles a newer member list.
    pub(crate) fn on_members_changed(&mut self, members: &MemberList) {
        self.joiners.forget_members(members);
    }

    /// Sets the learners of the term, and proposes the next step of a change of members if one is due.
    pub(crate) fn step(&mut self, now: Time, terms: &mut Terms, register: &mut Register) {
        if self.next_wake(terms, register).is_none_or(|due| now < due) {
            return;
        }
        self.check_at = now.plus_millis(MEMBERSHIP_INTERVAL_MS);
        let learners = self.tolerated_machines.max(1) + 1;
        let candidates = self.joiners.candidates(now, register.members(), learners);
        let Some(leadership) = terms.leadership_mut() else {
            return;
        };
        leadership.set_learners(now, &candidates);
        if let Some(step) = self.next_step(now, leadership, register) {
            let base = register.members().version;
            register.propose(ChangeFunction::Members { base, step });
        }
    }

    /// When the members are checked next; `None` unless the scheduler runs at this process and there are joiners or a
    /// change of members to complete.
    pub(crate) fn next_wake(&self, terms: &Terms, register: &Register) -> Option<Time> {
        let is_needed = register.members().is_changing() || !self.joiners.requests.is_empty();
        (terms.is_serving() && is_needed).then_some(self.check_at)
    }

    fn next_step(
        &self,
        now: Time,
        leadership: &Leadership,
        register: &Register,
    ) -> Option<MemberStep> {
        let members = register.members();
        let chosen = &register.view().chosen.as_ref()?.value;
        if register.is_changing_members() || chosen.members_version != members.version {
            return None;
        }
        if members.is_changing() {
            return leadership
                .is_committed_by(members)
                .then_some(MemberStep::LeaveJoint);
        }
        let tolerant_size = 2 * self.tolerated_machines + 1;
        let size = tolerant_size.max(chosen.bootstrap_size as usize);
        next_members(now, leadership, members, size).map(MemberStep::EnterJoint)
    }
}

/// The next list of members; `None` if the list should stay as it is. While there are fewer than `size` members, a
/// learner that holds everything is added; otherwise it replaces a member that is shutting down or unreachable.
fn next_members(
    now: Time,
    leadership: &Leadership,
    members: &MemberList,
    size: usize,
) -> Option<Vec<NodeId>> {
    let learner = leadership.ready_learner()?;
    let mut next = members.members.clone();
    if next.len() >= size {
        let unreachable_since = now.0.checked_sub(UNREACHABLE_MS * MICROS_PER_MS).map(Time);
        let replaced = leadership.member_to_replace(members, unreachable_since)?;
        next.retain(|member| *member != replaced);
    }
    next.push(learner);
    next.sort_unstable();
    Some(next)
}
