//! The end of a process that the platform asks to end: it answers what it can, and a member whose successor is learning
//! stays a member until that one has its place.

use crate::node::CoreNode;
use crate::timing::{HANDOVER_MARGIN_MS, TERMINATE_MS, TERMINATE_QUIET_MS};
use sagetrail_protocol::Time;

const MILLIS_PER_SECOND: f64 = 1_000.0;

impl CoreNode {
    /// The platform wants the process to end.
    pub(crate) fn terminate(&mut self) {
        let waits = self.joiners.any(self.now.steady, &self.register_view.list);
        log::info!(
            "asked to end; {}",
            if waits {
                "a successor waits"
            } else {
                "no successor waits"
            }
        );
        self.terminating = self.terminating.or(Some(self.now.steady));
        if !self.may_lead() {
            self.step_down();
        }
    }

    /// Whether the process may schedule: it is not about to end, or nobody else can hand its place over.
    pub(crate) fn may_lead(&self) -> bool {
        let alone = self.register_view.list.members == [self.settings.node];
        self.terminating.is_none() || (alone && self.hands_over())
    }

    /// Answers what is left, and gives the term up at the end.
    pub(crate) fn step_termination(&mut self, now: Time) {
        let Some(since) = self.terminating else {
            return;
        };
        if now >= since.plus_millis(TERMINATE_MS) {
            self.operator.close(&mut self.proposer, &mut self.effects);
        }
        if self.leadership.is_some() && !self.may_lead() {
            self.step_down();
        }
    }

    /// Whether the process may end.
    pub(crate) fn is_finished(&self) -> bool {
        let now = self.now.steady;
        let quiet =
            |since: Time| now >= since.plus_millis(TERMINATE_QUIET_MS) && self.operator.is_idle();
        self.terminating.is_some_and(quiet) && !self.hands_over()
    }

    /// When the process has to look again whether it may end.
    pub(crate) fn termination_wake(&self) -> Option<Time> {
        let since = self.terminating.filter(|_| !self.is_finished())?;
        let steps = [TERMINATE_QUIET_MS, TERMINATE_MS].map(|span| since.plus_millis(span));
        let next = steps.into_iter().find(|step| *step > self.now.steady);
        Some(next.unwrap_or(self.now.steady.plus_millis(TERMINATE_QUIET_MS)))
    }

    /// Whether a successor may still take this member's place in time.
    fn hands_over(&self) -> bool {
        let now = self.now.steady;
        let in_time = self
            .terminating
            .is_some_and(|since| now < since.plus_millis(self.handover_ms()));
        let list = &self.register_view.list;
        in_time && self.takes_part() && (list.is_changing() || self.joiners.any(now, list))
    }

    fn handover_ms(&self) -> u64 {
        let grace_ms = (self.settings.bounds.grace_s * MILLIS_PER_SECOND) as u64;
        grace_ms
            .saturating_sub(HANDOVER_MARGIN_MS)
            .max(TERMINATE_MS)
    }
}
