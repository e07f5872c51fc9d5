//! Changes of the core's members, proposed by the leader of the term.
//!
//! A process that asks to join learns first: it follows the term like a member and counts in no quorum. Once it holds
//! everything, it takes the place of a member that is about to end or has fallen silent. The change has two steps;
//! between them a majority of both lists is needed for everything, and the second step waits until a majority of both
//! holds whatever was kept in the term.

use crate::change_function::{ChangeFunction, MemberStep};
use crate::leadership::Leadership;
use crate::node::CoreNode;
use crate::quorum::MemberList;
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

impl CoreNode {
    /// Whether there are members to be changed, or a change to be brought to its end.
    pub(crate) fn watches_membership(&self) -> bool {
        let serving = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.service.is_some());
        serving && (self.register_view.list.is_changing() || !self.joiners.heard.is_empty())
    }

    /// Names learners, and proposes the next step of a change where one is due.
    pub(crate) fn step_membership(&mut self, now: Time) {
        if !self.watches_membership() || now < self.membership_at {
            return;
        }
        self.membership_at = now.plus_millis(MEMBERSHIP_INTERVAL_MS);
        let most = self.settings.tolerated_machines.max(1) as usize + 1;
        let candidates = self.joiners.candidates(now, &self.register_view.list, most);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.set_learners(now, &candidates);
        if let Some(step) = self.member_step(now) {
            let base = self.register_view.list.version;
            self.proposer.push(ChangeFunction::Members { base, step });
        }
    }

    fn member_step(&self, now: Time) -> Option<MemberStep> {
        let list = &self.register_view.list;
        let chosen = &self.register_view.chosen.as_ref()?.value;
        let under_way = self
            .proposer
            .has_pending(|function| matches!(function, ChangeFunction::Members { .. }));
        if under_way || chosen.members_version != list.version {
            return None;
        }
        let leadership = self.leadership.as_ref()?;
        if list.is_changing() {
            return leadership
                .is_committed_by(list)
                .then_some(MemberStep::LeaveJoint);
        }
        let tolerating = 2 * self.settings.tolerated_machines as usize + 1;
        let size = tolerating.max(chosen.bootstrap_size as usize);
        next_members(now, leadership, list, size).map(MemberStep::EnterJoint)
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
        let replaced = leadership.member_to_replace(list, silent_since)?;
        members.retain(|member| *member != replaced);
    }
    members.push(learner);
    members.sort_unstable();
    Some(members)
}
