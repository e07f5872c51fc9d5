//! Anti-entropy of accepted changes: fetches those that this process lacks from the other members, one request at a
//! time.

use crate::accepted_changes::{AcceptedChanges, Gap};
use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::timing::RESEND_MS;
use sagetrail_protocol::control::{ChangesReply, ChangesRequest, ControlMessage};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A member that has left so many requests for a gap without a reply counts as unable to fill it.
const MAX_TIMEOUTS: u32 = 3;
/// The shortest and the longest backoff before a gap that no member could fill is requested again.
const MIN_BACKOFF_MS: u64 = 500;
const MAX_BACKOFF_MS: u64 = 30_000;

/// A request that is in flight.
#[derive(Clone, Copy, Debug)]
struct Request {
    member: NodeId,
    /// The gap: the version up to which the chain below it is known.
    after: u64,
    sent_at: Time,
}

/// The attempts to fill one gap.
#[derive(Debug, Default)]
struct Attempts {
    /// Members that could not fill it.
    unable: BTreeSet<NodeId>,
    /// Requests without a reply, by member.
    timeouts: BTreeMap<NodeId, u32>,
    /// A request went to every member, and none could fill it.
    exhausted: bool,
    /// No request before this moment.
    resume_at: Time,
    backoff_ms: u64,
}

/// The fetches of one process.
#[derive(Debug, Default)]
pub(crate) struct ChangesFetch {
    request: Option<Request>,
    /// By the version after which the gap begins; a gap that is filled in part is another one.
    attempts: BTreeMap<u64, Attempts>,
    /// The member whose last reply had changes and said that there are more.
    preferred: Option<NodeId>,
}

impl ChangesFetch {
    /// Sends requests for what is missing, or puts them off. `node`: this process, which is not asked.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        node: NodeId,
        changes: &AcceptedChanges,
        list: &MemberList,
        effects: &mut Effects,
    ) {
        if self
            .request
            .is_some_and(|request| now < request.sent_at.plus_millis(RESEND_MS))
        {
            return;
        }
        if let Some(request) = self.request.take() {
            self.attempts
                .entry(request.after)
                .or_default()
                .on_timeout(request.member);
            self.preferred = None;
        }
        let gaps: BTreeSet<u64> = changes.gaps().map(|gap| gap.after).collect();
        self.attempts.retain(|after, _| gaps.contains(after));
        if gaps.is_empty() {
            return;
        }
        let others: Vec<NodeId> = list
            .all()
            .into_iter()
            .filter(|member| *member != node)
            .collect();
        self.request = gaps
            .into_iter()
            .find_map(|after| self.next_request(now, after, &others));
        if let Some(Request { member, after, .. }) = self.request {
            effects.control(
                member,
                ControlMessage::ChangesRequest(ChangesRequest { after }),
            );
        }
    }

    /// A member has replied; the reply counts only where it was requested.
    pub(crate) fn on_reply(
        &mut self,
        from: NodeId,
        reply: &ChangesReply,
        changes: &mut AcceptedChanges,
    ) {
        let is_reply_to =
            |request: &Request| request.member == from && request.after == reply.after;
        if !self.request.as_ref().is_some_and(is_reply_to) {
            return;
        }
        self.request = None;
        let new = changes.insert_all(&reply.changes);
        self.preferred = (new && reply.more).then_some(from);
        if !new {
            self.attempts
                .entry(reply.after)
                .or_default()
                .unable
                .insert(from);
        }
    }

    /// When something is due.
    pub(crate) fn next_wake(&self, changes: &AcceptedChanges) -> Option<Time> {
        if let Some(request) = self.request {
            return Some(request.sent_at.plus_millis(RESEND_MS));
        }
        let due = |gap: Gap| {
            self.attempts
                .get(&gap.after)
                .map(|attempts| attempts.resume_at)
                .unwrap_or_default()
        };
        changes.gaps().map(due).min()
    }

    /// Whether nothing is missing but gaps that no member could fill.
    pub(crate) fn is_done(&self, changes: &AcceptedChanges) -> bool {
        changes.gaps().all(|gap| {
            self.attempts
                .get(&gap.after)
                .is_some_and(|attempts| attempts.exhausted)
        })
    }

    fn next_request(&mut self, now: Time, after: u64, members: &[NodeId]) -> Option<Request> {
        let attempts = self.attempts.entry(after).or_default();
        if now < attempts.resume_at {
            return None;
        }
        let Some(member) = attempts.next_member(self.preferred, members) else {
            attempts.back_off(now);
            return None;
        };
        Some(Request {
            member,
            after,
            sent_at: now,
        })
    }
}

impl Attempts {
    fn on_timeout(&mut self, member: NodeId) {
        let timeouts = self.timeouts.entry(member).or_default();
        *timeouts += 1;
        if *timeouts >= MAX_TIMEOUTS {
            self.unable.insert(member);
        }
    }

    /// The preferred member, or the one with the fewest timeouts.
    fn next_member(&self, preferred: Option<NodeId>, members: &[NodeId]) -> Option<NodeId> {
        let able = members
            .iter()
            .copied()
            .filter(|member| !self.unable.contains(member));
        let timeouts = |member: &NodeId| self.timeouts.get(member).copied().unwrap_or_default();
        able.min_by_key(|member| (Some(*member) != preferred, timeouts(member)))
    }

    fn back_off(&mut self, now: Time) {
        self.unable.clear();
        self.timeouts.clear();
        self.exhausted = true;
        self.backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.resume_at = now.plus_millis(self.backoff_ms);
    }
}
