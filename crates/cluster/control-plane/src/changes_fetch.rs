//! Anti-entropy of accepted changes: fetches the changes that are missing in the archive of this process from the other
//! members, one request at a time.

use crate::accepted_changes::{AcceptedChanges, Gap};
use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::timing::RESEND_MS;
use sagetrail_protocol::control::{ChangesReply, ChangesRequest, ControlMessage};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The number of requests for a gap without a reply after which a member counts as unable to fill the gap.
const MAX_TIMEOUTS: u32 = 3;
/// The shortest backoff before a gap that no member could fill is requested again, in milliseconds.
const MIN_BACKOFF_MS: u64 = 500;
/// The longest backoff before a gap that no member could fill is requested again, in milliseconds.
const MAX_BACKOFF_MS: u64 = 30_000;

/// A request that is in flight.
#[derive(Clone, Copy, Debug)]
struct Request {
    /// The member that was asked.
    member: NodeId,
    /// The gap that is requested, identified by the last version of the chain before it.
    after: u64,
    sent_at: Time,
}

/// The state of the attempts to fill one gap.
#[derive(Debug, Default)]
struct Attempts {
    /// The members that could not fill the gap.
    unable: BTreeSet<NodeId>,
    /// The number of requests without a reply, by member.
    timeouts: BTreeMap<NodeId, u32>,
    /// Whether every member was asked and none could fill the gap.
    exhausted: bool,
    /// The earliest time of the next request.
    resume_at: Time,
    /// The latest backoff in milliseconds; 0 before the first.
    backoff_ms: u64,
}

/// The fetches of missing changes at one process.
#[derive(Debug, Default)]
pub(crate) struct ChangesFetch {
    /// The request in flight.
    request: Option<Request>,
    /// The attempts by gap, which is identified by the last version before it. A gap that was filled in part counts as
    /// another gap.
    attempts: BTreeMap<u64, Attempts>,
    /// The member whose latest reply contained new changes and stated that there are more.
    preferred: Option<NodeId>,
}

impl ChangesFetch {
    /// Handles a request without a reply, and sends the next request for a gap if one is due. `node` is this process,
    /// which is not asked.
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
            effects.send_control(
                member,
                ControlMessage::ChangesRequest(ChangesRequest { after }),
            );
        }
    }

    /// Handles a reply. It is ignored unless it answers the request in flight.
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

    /// When the next request or the time-out of the current one is due.
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

    /// Whether the archive has no gaps except those that no member could fill.
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

    /// The member to ask next: the preferred one if it is able to fill the gap, otherwise the able one with the fewest
    /// time-outs.
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
