//! Slow start: how much work a runner may be sent shortly after its start.

use super::*;

impl Dispatcher {
    /// The work that all dispatchers together may send to a runner within the overload window, in seconds of
    /// a slot; `None` if the runner is warm.
    pub(crate) fn cold_budget_total(&self, runner: usize, now: f64) -> Option<f64> {
        let (runner, config) = (&self.runners[runner], &self.config);
        let age_s = now - runner.cold_since_s();
        let warmth = (age_s - config.overload_window_s).max(0.0) / config.warm_up_s;
        let capacity = runner.warm_capacity
            * (config.slow_start_fraction + (1.0 - config.slow_start_fraction) * warmth);
        // The factor 1.4 is the limit if all shares are used in full, given the factor 0.75 in
        // `estimate_warm_capacity`. The variance of job sizes is covered by what most dispatchers leave
        // unused: the worst of 432 searched scenarios used three fifths of the limit.
        (age_s < config.warm_up_s)
            .then_some(1.4 * config.overload_multiple * capacity * config.overload_window_s)
    }

    /// The work that this dispatcher may still send to a runner, in seconds of a slot; infinite if the runner
    /// is warm and -1 if another process uses the cold runners. It guards against overloading a runner that
    /// has just started: the work sent to it, whatever became of it, stays within this dispatcher's share of
    /// the budget in every window.
    pub(super) fn cold_budget_left(&self, runner: usize, now: f64) -> f64 {
        let Some(total) = self.cold_budget_total(runner, now) else {
            return f64::INFINITY;
        };
        let (state, config) = (&self.runners[runner], &self.config);
        // Equal shares for many dispatchers would be smaller than any work item, and the share of a
        // dispatcher without work would be lost. So only as many dispatchers as the budget has room for, in
        // the runner's rendezvous order, may send, each as much as the mean work item of the largest
        // category.
        let largest_s = self.mean_run_times.iter().copied().fold(0.0, f64::max) + self.fetch_s;
        let sender_count = ((total / largest_s) as usize).clamp(1, config.dispatcher_count);
        let equal_share = if sender_count == config.dispatcher_count {
            total / sender_count as f64
        } else {
            largest_s.min(total)
        };
        let own_share = match state.cold_share {
            // Negotiated shares are used in full and job sizes vary, so only three quarters may be spent.
            Some(share) => 0.75 * share * total,
            None if state.dispatchers_ahead < sender_count && !self.shares_cold_runners => {
                equal_share
            }
            None => 0.0,
        };
        if !self.is_cold_runner_yielded(runner, now) {
            own_share - self.cold_work_sent(runner, now)
        } else {
            -1.0
        }
    }

    /// The work that a work item counts for on a cold runner, in seconds of a slot. It includes a fetch
    /// beside the expected run time, because a runner that has just started holds no keys, so that every work
    /// item fetches first.
    pub(super) fn cold_work(&self, job: &Job) -> f64 {
        let warm_ratio = if self.shares_cold_runners {
            self.warm_ratios[job.category]
        } else {
            1.0
        };
        (warm_ratio * self.expected_run_s(job) + self.fetch_s) * job.slots
    }

    /// Estimates the work that a warm runner of a kind does in a second, in the unit of `expected_run_s`: its
    /// slots divided by its slowdown. If runners do not report slots, the slot cap is only this dispatcher's
    /// part of them, and the most jobs of this dispatcher that ran at once on any runner is a lower bound.
    /// The factor 0.75 allows for more slots than cores. With negotiated shares the unit is the run time at
    /// warm runners, so that the slowdown is 1.
    pub(super) fn estimate_warm_capacity(&mut self, kind: u8, now: f64) {
        let in_subset = || self.subset.iter().map(|&runner| &self.runners[runner]);
        let slots = |runner: &Runner| {
            if runner.listing.kind == kind {
                runner.most_own_running.max(runner.most_free_slots)
            } else {
                0.0
            }
        };
        let most_slots = in_subset().map(slots).fold(INITIAL_SLOT_CAP, f64::max);
        // If fewer than three warm runners of the kind are healthy, the slowdown is taken over all kinds.
        // Otherwise a single unhealthy runner that is the only warm one of its kind would leave the cold ones
        // without work.
        let warm =
            || in_subset().filter(|runner| now > runner.cold_since_s() + self.config.warm_up_s);
        let is_healthy_of_kind =
            |runner: &&Runner| runner.listing.kind == kind && runner.ejected_until_s.is_none();
        let use_all_kinds = warm().filter(is_healthy_of_kind).count() < 3;
        let slowdown = median(
            warm()
                .filter(|runner| use_all_kinds || is_healthy_of_kind(runner))
                .map(|runner| runner.slowdown),
        )
        .unwrap_or(1.0);
        let slowdown = if self.shares_cold_runners {
            1.0
        } else {
            slowdown
        };
        // One of many dispatchers sees only a small part of a runner's load. It uses what all together have
        // running on a warm runner if that is known. Otherwise it assumes that all are as busy as itself, up
        // to 2.5 times what it saw, since they may be less busy.
        let if_all_are_as_busy = || {
            let running =
                self.running_counts.mean().unwrap_or(0.0) * self.config.dispatcher_count as f64;
            (running / warm().count().max(1) as f64).min(2.5 * most_slots)
        };
        let most_slots = most_slots.max(if self.fleet_max_running > 0.0 {
            self.fleet_max_running
        } else {
            if_all_are_as_busy()
        });
        let of_kind = self
            .runners
            .iter_mut()
            .filter(|runner| runner.listing.kind == kind);
        of_kind.for_each(|runner| runner.warm_capacity = 0.75 * most_slots / slowdown);
    }
}
