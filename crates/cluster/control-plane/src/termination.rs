//! The termination of a process after SIGTERM. The process answers the requests that it can still answer. A member with
//! a successor that is learning stays a member until the successor has replaced it.

use sagetrail_protocol::{NodeId, Time};

use crate::quorum::MemberList;
use crate::reconfiguration::Joiners;
use crate::timing::{HANDOVER_MARGIN_MS, TERMINATE_MS, TERMINATE_QUIET_MS};

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The member list and the processes that request to join it. They determine whether a terminating member may leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Succession<'a> {
    /// The newest member list known.
    pub members: &'a MemberList,
    /// The processes that have recently requested to join.
    pub joiners: &'a Joiners,
}

impl Succession<'_> {
    /// Returns whether a process requests to join.
    pub(crate) fn has_joiner(&self, now: Time) -> bool {
        self.joiners.has_candidates(now, self.members)
    }
}

/// The state of the termination of a process.
#[derive(Debug)]
pub(crate) struct Termination {
    /// The address of this process.
    node: NodeId,
    /// The time after SIGTERM for which a member waits for its successor, in milliseconds.
    handover_ms: u64,
    /// When SIGTERM was received for the first time.
    requested_at: Option<Time>,
}

impl Termination {
    /// Creates the state of a process that has not received SIGTERM. `grace_s` is the time between SIGTERM and SIGKILL,
    /// in seconds.
    pub(crate) fn new(node: NodeId, grace_s: f64) -> Termination {
        let grace_ms = (grace_s * MILLIS_PER_SECOND) as u64;
        let handover_ms = grace_ms
            .saturating_sub(HANDOVER_MARGIN_MS)
            .max(TERMINATE_MS);
        Termination {
            node,
            handover_ms,
            requested_at: None,
        }
    }

    /// Handles SIGTERM. `successor_waits` tells whether another process requests to join.
    pub(crate) fn request(&mut self, now: Time, successor_waits: bool) {
        log::info!(
            "SIGTERM received: node={} successor_waits={successor_waits}",
            self.node
        );
        self.requested_at = self.requested_at.or(Some(now));
    }

    /// Returns whether SIGTERM was received.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Returns whether pending requests have to be answered now.
    pub(crate) fn is_closing(&self, now: Time) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now >= requested_at.plus_millis(TERMINATE_MS))
    }

    /// Returns whether the process may lead a term. A terminating process may lead only if it is the only member and
    /// waits for a successor, because no other process can then replace it in the member list.
    pub(crate) fn may_lead(&self, now: Time, succession: Succession) -> bool {
        let is_only_member = succession.members.members == [self.node];
        self.requested_at.is_none() || (is_only_member && self.awaits_successor(now, succession))
    }

    /// Returns whether the process may end. `is_idle` tells that no request of the operator is pending.
    pub(crate) fn is_finished(&self, now: Time, is_idle: bool, succession: Succession) -> bool {
        let is_quiet =
            |requested_at: Time| now >= requested_at.plus_millis(TERMINATE_QUIET_MS) && is_idle;
        self.requested_at.is_some_and(is_quiet) && !self.awaits_successor(now, succession)
    }

    /// Returns when to check again whether the process may end.
    pub(crate) fn next_wake(
        &self,
        now: Time,
        is_idle: bool,
        succession: Succession,
    ) -> Option<Time> {
        let requested_at = self
            .requested_at
            .filter(|_| !self.is_finished(now, is_idle, succession))?;
        let checks =
            [TERMINATE_QUIET_MS, TERMINATE_MS].map(|span_ms| requested_at.plus_millis(span_ms));
        let next = checks.into_iter().find(|check| *check > now);
        Some(next.unwrap_or(now.plus_millis(TERMINATE_QUIET_MS)))
    }

    /// Returns whether a successor may still replace this member before `handover_ms` have passed.
    fn awaits_successor(&self, now: Time, succession: Succession) -> bool {
        let in_time = self
            .requested_at
            .is_some_and(|requested_at| now < requested_at.plus_millis(self.handover_ms));
        let members = succession.members;
        let is_member = members.contains(self.node);
        in_time && is_member && (members.is_changing() || succession.has_joiner(now))
    }
}
