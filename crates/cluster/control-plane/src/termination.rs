//! The end of a process after SIGTERM: it answers what it can, and a member whose successor is learning stays a member
//! until that one has taken its place.

use sagetrail_protocol::{NodeId, Time};

use crate::quorum::MemberList;
use crate::reconfiguration::Joiners;
use crate::timing::{HANDOVER_MARGIN_MS, TERMINATE_MS, TERMINATE_QUIET_MS};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The member list and those who ask to join it: on these depends whether a terminating member may leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Succession<'a> {
    /// The newest member list known.
    pub members: &'a MemberList,
    /// Who asks to join, as far as it said so lately.
    pub joiners: &'a Joiners,
}

impl Succession<'_> {
    /// Whether somebody asks to join.
    pub(crate) fn has_joiner(&self, now: Time) -> bool {
        self.joiners.has_candidates(now, self.members)
    }
}

/// Whether and since when a process is about to end.
#[derive(Debug)]
pub(crate) struct Termination {
    node: NodeId,
    /// How long after SIGTERM a member waits for its successor.
    handover_ms: u64,
    since: Option<Time>,
}

impl Termination {
    /// Of a process that is to go on; `grace_s` is the time between SIGTERM and SIGKILL, in seconds.
    pub(crate) fn new(node: NodeId, grace_s: f64) -> Termination {
        let grace_ms = (grace_s * MILLIS_PER_SECOND) as u64;
        let handover_ms = grace_ms
            .saturating_sub(HANDOVER_MARGIN_MS)
            .max(TERMINATE_MS);
        Termination {
            node,
            handover_ms,
            since: None,
        }
    }

    /// SIGTERM was received.
    pub(crate) fn request(&mut self, now: Time, successor_waits: bool) {
        log::info!(
            "SIGTERM received: node={} successor_waits={successor_waits}",
            self.node
        );
        self.since = self.since.or(Some(now));
    }

    /// Whether SIGTERM was received.
    pub(crate) fn is_requested(&self) -> bool {
        self.since.is_some()
    }

    /// Whether requests that still wait have to be answered now.
    pub(crate) fn is_closing(&self, now: Time) -> bool {
        self.since
            .is_some_and(|since| now >= since.plus_millis(TERMINATE_MS))
    }

    /// Whether the process may schedule: it is not about to end, or nobody else can hand its place over.
    pub(crate) fn may_lead(&self, now: Time, succession: Succession) -> bool {
        let alone = succession.members.members == [self.node];
        self.since.is_none() || (alone && self.awaits_successor(now, succession))
    }

    /// Whether the process may end; `is_idle`: no request of the operator waits.
    pub(crate) fn is_finished(&self, now: Time, is_idle: bool, succession: Succession) -> bool {
        let is_quiet = |since: Time| now >= since.plus_millis(TERMINATE_QUIET_MS) && is_idle;
        self.since.is_some_and(is_quiet) && !self.awaits_successor(now, succession)
    }

    /// When to check again whether the process may end.
    pub(crate) fn next_wake(
        &self,
        now: Time,
        is_idle: bool,
        succession: Succession,
    ) -> Option<Time> {
        let since = self
            .since
            .filter(|_| !self.is_finished(now, is_idle, succession))?;
        let checks = [TERMINATE_QUIET_MS, TERMINATE_MS].map(|span_ms| since.plus_millis(span_ms));
        let next = checks.into_iter().find(|check| *check > now);
        Some(next.unwrap_or(now.plus_millis(TERMINATE_QUIET_MS)))
    }

    /// Whether a successor may still take this member's place in time.
    fn awaits_successor(&self, now: Time, succession: Succession) -> bool {
        let in_time = self
            .since
            .is_some_and(|since| now < since.plus_millis(self.handover_ms));
        let members = succession.members;
        let is_member = members.contains(self.node);
        in_time && is_member && (members.is_changing() || succession.has_joiner(now))
    }
}
