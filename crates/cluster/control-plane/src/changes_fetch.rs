//! Fetches accepted changes that this process missed from the other members, one request at a time.

use crate::accepted_changes::{AcceptedChanges, Gap};
use crate::effects::Effects;
use crate::quorum::MemberList;
use crate::timing::RESEND_MS;
use sagetrail_protocol::control::{ChangesReply, ChangesRequest, ControlMessage};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// A member that left so many requests for a gap without an answer counts as asked.
const MAX_SILENCES: u32 = 3;
/// The first and the longest pause before a gap that nobody could fill is asked for again, in milliseconds.
const FIRST_PAUSE_MS: u64 = 500;
const LONGEST_PAUSE_MS: u64 = 30_000;

/// The request under way.
#[derive(Clone, Copy, Debug)]
struct Request {
    member: NodeId,
    after: u64,
    sent_at: Time,
}

/// What was tried to fill one gap.
#[derive(Debug, Default)]
struct Attempts {
    /// Members that could not.
    unable: BTreeSet<NodeId>,
    silences: BTreeMap<NodeId, u32>,
    /// Every member was asked once, and none could.
    open: bool,
    resume_at: Time,
    pause_ms: u64,
}

/// The requests of one process.
#[derive(Debug, Default)]
pub(crate) struct ChangesFetch {
    request: Option<Request>,
    /// By the version after which the gap begins; a gap that is filled in part is another one.
    attempts: BTreeMap<u64, Attempts>,
    /// Told some and knows more.
    preferred: Option<NodeId>,
}

impl ChangesFetch {
    /// Sends, repeats or postpones requests for what is missing. `node`: this process, which is not asked.
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
                .silent(request.member);
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

    /// An answer came; it is taken only where it was asked for.
    pub(crate) fn reply(
        &mut self,
        from: NodeId,
        reply: &ChangesReply,
        changes: &mut AcceptedChanges,
    ) {
        let parse_request =
            |request: &Request| request.member == from && request.after == reply.after;
        if !self.request.as_ref().is_some_and(parse_request) {
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
                .map(|tried| tried.resume_at)
                .unwrap_or_default()
        };
        changes.gaps().map(due).min()
    }

    /// Whether nothing is missing but what every member was asked for in vain.
    pub(crate) fn is_done(&self, changes: &AcceptedChanges) -> bool {
        changes.gaps().all(|gap| {
            self.attempts
                .get(&gap.after)
                .is_some_and(|tried| tried.open)
        })
    }

    fn next_request(&mut self, now: Time, after: u64, members: &[NodeId]) -> Option<Request> {
        let attempts = self.attempts.entry(after).or_default();
        if now < attempts.resume_at {
            return None;
        }
        let Some(member) = attempts.next_member(self.preferred, members) else {
            attempts.postpone(now);
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
    fn silent(&mut self, member: NodeId) {
        let silences = self.silences.entry(member).or_default();
        *silences += 1;
        if *silences >= MAX_SILENCES {
            self.unable.insert(member);
        }
    }

    /// The preferred member, or the one that was silent least often.
    fn next_member(&self, preferred: Option<NodeId>, members: &[NodeId]) -> Option<NodeId> {
        let able = members
            .iter()
            .copied()
            .filter(|member| !self.unable.contains(member));
        let silences = |member: &NodeId| self.silences.get(member).copied().unwrap_or_default();
        able.min_by_key(|member| (Some(*member) != preferred, silences(member)))
    }

    fn postpone(&mut self, now: Time) {
        self.unable.clear();
        self.silences.clear();
        self.open = true;
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.resume_at = now.plus_millis(self.pause_ms);
    }
}
