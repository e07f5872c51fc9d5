//! The rules on placement, on effects (whether work that may have run is repeated) and on answers to clients.

use super::*;

impl Dispatcher {
    /// Whether a work item's category allows the runner. A category that is bound to some runners is sent to
    /// no others, whatever happens to these.
    pub(crate) fn is_placement_allowed(&self, handle: u32, runner: usize) -> bool {
        self.category(handle)
            .placement
            .admits(&self.runners[runner].listing)
    }

    /// Whether a work item may be sent to a runner without the risk of a harmful second run.
    pub(super) fn is_repeat_allowed(&self, handle: u32, runner: usize, now: f64) -> bool {
        let work_item = &self.work_items[handle as usize];
        let Some((_, first_runner)) = work_item.may_have_run else {
            return true;
        };
        let category = self.category(handle);
        let (first, next) = (
            &self.runners[first_runner].listing,
            &self.runners[runner].listing,
        );
        match category.repeat {
            Repeat::Idempotent => true,
            Repeat::AtMostOnce => false,
            Repeat::Keyed(scope) => {
                now < self.repeat_begin_by_s(handle)
                    && match scope {
                        Scope::All => true,
                        Scope::Zone => first.zone == next.zone,
                        Scope::Cell => first.cell == next.cell,
                    }
            }
        }
    }

    /// Whether a work item may have another attempt at all: the first one, or a retry within the retry
    /// budget, the limit on attempts and the rule on effects.
    pub(super) fn may_attempt(&self, handle: u32, now: f64) -> bool {
        let work_item = &self.work_items[handle as usize];
        let is_within_budget = work_item.attempts == 0
            || self.remaining_retries >= 1.0 && !self.fails_everywhere(work_item.job.key);
        is_within_budget
            && work_item.attempts < self.config.max_attempts
            && work_item
                .may_have_run
                .is_none_or(|(_, first_runner)| self.is_repeat_allowed(handle, first_runner, now))
    }

    /// Gives the final answer for a work item that is given up: deferred if a retry by the client can do no
    /// harm and `before_expiry` is set, else written off.
    pub(super) fn give_up(&mut self, host: &mut impl Host, handle: u32, before_expiry: bool) {
        let may_repeat_anywhere = matches!(
            self.category(handle).repeat,
            Repeat::Idempotent | Repeat::Keyed(Scope::All)
        );
        let work_item = &mut self.work_items[handle as usize];
        let rejected = work_item.rejected;
        work_item.ended = true;
        if before_expiry && (may_repeat_anywhere || work_item.may_have_run.is_none()) {
            let backlog_s: f64 = self
                .held
                .iter()
                .map(|&held| self.expected_run_s(&self.work_items[held as usize].job))
                .sum();
            let ready_count = self
                .runners
                .iter()
                .filter(|runner| runner.is_ready())
                .count()
                .max(1) as f64;
            // Spreads the retries of the clients that were rejected, which would otherwise all come back at
            // once.
            let jitter_s = if rejected {
                1.0 + self.pcg.uniform()
            } else {
                0.0
            };
            host.defer(
                WorkItem(handle),
                (0.2 + backlog_s / ready_count + jitter_s).min(self.config.max_retry_after_s),
            );
        } else {
            host.write_off(WorkItem(handle));
        }
        self.release_if_done(host, handle);
    }

    /// Cancels the attempt in flight, if attempts may be cancelled and this one has not been.
    pub(super) fn cancel_attempt(&mut self, host: &mut impl Host, handle: u32) {
        let may_cancel = self.config.may_cancel;
        if let Some(attempt) = self.work_items[handle as usize]
            .in_flight
            .as_mut()
            .filter(|attempt| may_cancel && !attempt.cancelled)
        {
            attempt.cancelled = true;
            host.cancel(WorkItem(handle), attempt.number);
        }
    }
}
