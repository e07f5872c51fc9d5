//! Periodic checks: what changes with time alone, without an event.

use super::*;

impl Dispatcher {
    /// Updates the estimates from the samples, gives up held work items that are past their hold time, checks
    /// the attempts in flight for progress, and adapts the subset size and the capacity estimates.
    pub(super) fn run_periodic_checks(&mut self, host: &mut impl Host) {
        let now = host.now();
        self.mean_run_s =
            self.mean_run_times.iter().sum::<f64>() / self.mean_run_times.len().max(1) as f64;
        self.fetch_s = self.fetch_times.mean().unwrap_or(0.0).max(0.0);
        // If most work fetches its key, the mean run time itself contains a fetch, and fetches would look
        // free. So runs with and without the key are compared. The mean of the quartiles is used, since in a
        // plain mean a few large runs outweigh a fetch.
        let typical_run_s = |run_times: &Ring<f64, RUN_SAMPLES>| {
            [0.25, 0.5, 0.75]
                .iter()
                .filter_map(|fraction| run_times.quantile(*fraction))
                .sum::<f64>()
                / 3.0
        };
        let has_samples = self
            .runs_with_key
            .samples()
            .len()
            .min(self.runs_without_key.samples().len())
            >= RUN_SAMPLES / 4;
        let longer_s = typical_run_s(&self.runs_without_key) - typical_run_s(&self.runs_with_key);
        self.fetch_cost_s = FETCH_PRICE
            * if has_samples {
                longer_s.max(0.0)
            } else {
                self.fetch_s
            };
        self.report_lifetime_s = REPORT_LIFETIME * self.mean_run_s;
        // Only waits of the last 5 s count. An old wait would keep work from being sent, so that no start
        // would ever correct it.
        let recent_waits = self
            .start_waits
            .samples()
            .iter()
            .filter(|(_, at)| now < at + 5.0);
        self.median_wait_s = median(recent_waits.map(|(wait_s, _)| *wait_s)).unwrap_or(0.0);
        self.longest_wait_s = self
            .start_waits
            .samples()
            .iter()
            .map(|(wait_s, _)| *wait_s)
            .fold(0.0, f64::max);
        self.fleet_slowdown = self.slowdowns.quantile(0.5).unwrap_or(1.0).max(1.0);
        for position in (0..self.held.len()).rev() {
            let handle = self.held[position];
            if !self.config.uses_load_probes {
                self.choose_home(handle, now);
            }
            let work_item = &self.work_items[handle as usize];
            let is_hopeless = work_item.rejected || work_item.candidates.samples().is_empty();
            if is_hopeless || now > self.hold_until_s(handle) || !self.may_attempt(handle, now) {
                self.held.remove(position);
                self.give_up(host, handle, true);
            }
        }
        (0..self.work_items.len() as u32).for_each(|handle| self.check_progress(host, handle, now));
        self.running_counts
            .push(self.runners.iter().map(|runner| runner.own_running).sum());
        let subset_size = MIN_SUBSET_SIZE
            .max(SUBSET_PER_RUNNING_JOB * self.running_counts.mean().unwrap_or(0.0))
            .ceil();
        if (subset_size - self.subset_size).abs() > 0.25 * self.subset_size {
            self.subset_size = subset_size;
            self.refresh_subset(now);
        }
        let mut is_kind_estimated = [false; 256];
        for position in 0..self.subset.len() {
            let runner = self.subset[position];
            let listing = self.runners[runner].listing;
            let is_cold = now < self.runners[runner].cold_since_s() + self.config.warm_up_s;
            if is_cold && !std::mem::replace(&mut is_kind_estimated[listing.kind as usize], true) {
                self.estimate_warm_capacity(listing.kind, now);
            }
            if self.runners[runner].ejected_until_s.is_some_and(|until| {
                until - self.runners[runner].ejection_s > now - CHECK_INTERVAL_S
            }) {
                host.log(runner, "judged unwell, rests");
            }
        }
    }

    /// When a work item is due: its category's due time after its first request, or after its arrival if
    /// runners must be probed.
    pub(super) fn due_at_s(&self, handle: u32) -> f64 {
        let work_item = &self.work_items[handle as usize];
        let category = self.category(handle);
        let work_s = if work_item.job.hint_s > 0.0 {
            work_item.job.hint_s
        } else {
            self.expected_run_s(&work_item.job)
        };
        let since_s = if self.config.uses_load_probes {
            work_item.received_at_s
        } else {
            work_item.first_requested_at_s
        };
        (since_s + category.due_s + category.stretch * work_s).min(work_item.job.expires_at_s)
    }

    /// The instant after which a held work item is given up.
    pub(super) fn hold_until_s(&self, handle: u32) -> f64 {
        let work_item = &self.work_items[handle as usize];
        let (due_at_s, run_s) = (
            self.due_at_s(handle),
            self.fleet_slowdown * self.expected_run_s(&work_item.job),
        );
        // If late work pays nothing, that is the last start with which a long run would still end in time.
        let late_pays = self.category(handle).tardy > 0.0;
        let last_start_s = if late_pays {
            0.5 * (due_at_s + work_item.job.expires_at_s) - run_s
        } else {
            due_at_s - 1.4 * run_s - self.median_wait_s
        };
        // It lies at least two periodic checks before the expiry, so that the answer still arrives in time.
        last_start_s
            .max(work_item.received_at_s + CHECK_INTERVAL_S)
            .min(work_item.job.expires_at_s - 2.0 * CHECK_INTERVAL_S)
    }
}
