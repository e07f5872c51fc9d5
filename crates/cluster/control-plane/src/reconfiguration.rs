//! Changes of the core's members, proposed by the leader of the term.
//!
//! A process that asks to join learns first: it follows the term like a member and counts in no quorum. Once it holds
//! everything, it takes the place of a member that is about to end or has fallen silent. The change has two steps;
//! between them a majority of both lists is needed for everything, and the second step waits until a majority of both
//! holds whatever was kept in the term.

use crate::change_function::{ChangeFunction, MemberStep};
use crate::leadership::Leadership;
use crate::quorum::MemberList;
use crate::register::Register;
use crate::terms::Terms;
use crate::timing::{JOINER_MS, MEMBERSHIP_INTERVAL_MS, UNREACHABLE_MS};
use sagetrail_protocol::{Incarnation, NodeId, Time};
use std::collections::BTreeMap;

/// So many processes that ask to join are remembered.
const MAX_JOINERS: usize = 64;

/// Core processes that are no members and ask to be.
#[derive(Debug, Default)]
pub(crate) struct Joiners {
    heard: BTreeMap<NodeId, (Incarnation, Time)>,
}

impl Joiners {
    /// A core process said hello.
    pub(crate) fn hear(&mut self, now: Time, node: NodeId, incarnation: Incarnation) {
        self.heard.retain(|_, (_, heard)| is_recent(now, *heard));
        if self.heard.len() < MAX_JOINERS || self.heard.contains_key(&node) {
            self.heard.insert(node, (incarnation, now));
        }
    }

    /// Forgets those who have become members: they ask no more, also once they are none again.
    pub(crate) fn forget_members(&mut self, list: &MemberList) {
        self.heard.retain(|node, _| !list.contains(*node));
    }

    /// At most `count` of those that were heard lately and are not in the list.
    pub(crate) fn candidates(
        &self,
        now: Time,
        list: &MemberList,
        count: usize,
    ) -> BTreeMap<NodeId, Incarnation> {
        let asks = self
            .heard
            .iter()
            .filter(|(node, (_, heard))| is_recent(now, *heard) && !list.contains(**node));
        asks.take(count)
            .map(|(node, (incarnation, _))| (*node, *incarnation))
            .collect()
    }

    /// Whether anybody may still be waiting.
    pub(crate) fn any(&self, now: Time, list: &MemberList) -> bool {
        !self.candidates(now, list, 1).is_empty()
    }
}

fn is_recent(now: Time, heard: Time) -> bool {
    now < heard.plus_millis(JOINER_MS)
}

/// The changes of members that this process proposes while it leads a term.
#[derive(Debug)]
pub(crate) struct Reconfiguration {
    joiners: Joiners,
    /// How many core machines may be lost at once.
    tolerated_machines: usize,
    /// When the members are checked next.
    check_at: Time,
}

impl Reconfiguration {
    /// Without joiners.
    pub(crate) fn new(tolerated_machines: u32, now: Time) -> Reconfiguration {
        Reconfiguration {
            joiners: Joiners::default(),
            tolerated_machines: tolerated_machines as usize,
            check_at: now,
        }
    }

    /// Who asks to join.
    pub(crate) fn joiners(&self) -> &Joiners {
        &self.joiners
    }

    /// A core process said hello. One that is no member asks to join.
    pub(crate) fn on_hello(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: Incarnation,
        members: &MemberList,
    ) {
        if !members.contains(from) {
            self.joiners.hear(now, from, incarnation);
        }
    }

    /// A newer member list is known.
    pub(crate) fn members_changed(&mut self, members: &MemberList) {
        self.joiners.forget_members(members);
    }

    /// Names learners, and proposes the next step of a change where one is due.
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

    /// When the members are to be checked: while the scheduler runs here, and there are joiners or a change of members
    /// has to be completed.
    pub(crate) fn next_wake(&self, terms: &Terms, register: &Register) -> Option<Time> {
        let is_needed = register.members().is_changing() || !self.joiners.heard.is_empty();
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

/// The list that should follow, where one should.
fn next_members(
    now: Time,
    leadership: &Leadership,
    list: &MemberList,
    size: usize,
) -> Option<Vec<NodeId>> {
    let learner = leadership.ready_learner()?;
    let mut members = list.members.clone();
    if members.len() >= size {
        let silent_since = now.0.checked_sub(UNREACHABLE_MS * 1000).map(Time);
        let replaced = leadership.replaceable(list, silent_since)?;
        members.retain(|member| *member != replaced);
    }
    members.push(learner);
    members.sort_unstable();
    Some(members)
}
