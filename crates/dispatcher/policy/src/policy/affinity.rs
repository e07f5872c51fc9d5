//! Key affinity: the candidate runners of a work item, and the cost of each.

use super::*;

impl Dispatcher {
    /// The first of the given runners in the rendezvous order of a key.
    pub(crate) fn rank_by_key(
        &self,
        key: u32,
        runners: impl Iterator<Item = usize>,
    ) -> Ring<usize, CANDIDATES> {
        let mut ranked: Vec<_> = runners
            .map(|runner| (std::cmp::Reverse(self.key_rank(key, runner)), runner))
            .collect();
        ranked.sort_unstable();
        let mut first = Ring::default();
        ranked
            .iter()
            .take(CANDIDATES)
            .for_each(|&(_, runner)| first.push(runner));
        first
    }

    /// Selects the candidates of a work item and its home among them. All dispatchers take them from the same
    /// rendezvous order, without any messages, so that each does not fetch a key to a runner of its own when
    /// the key table knows no holder.
    pub(super) fn select_candidates(&mut self, handle: u32, now: f64) {
        let key = self.work_items[handle as usize].job.key;
        let order = self.first_in_key_order(handle);
        let is_unreachable = |dispatcher: &Self, runner: usize| {
            dispatcher.config.uses_load_probes && now < dispatcher.runners[runner].backoff_until_s
        };
        let is_allowed = |dispatcher: &Self, runner: usize| {
            dispatcher.is_placement_allowed(handle, runner)
                && dispatcher.is_repeat_allowed(handle, runner, now)
                && !is_unreachable(dispatcher, runner)
        };
        let mut candidates = Ring::default();
        order
            .samples()
            .iter()
            .filter(|&&runner| is_allowed(self, runner))
            .for_each(|&runner| candidates.push(runner));
        // If a network partition or the retry scope excludes all of them, the next runners in the order take
        // their place.
        if candidates.samples().is_empty() {
            candidates = self.rank_by_key(
                key,
                self.subset
                    .iter()
                    .copied()
                    .filter(|&runner| is_allowed(self, runner)),
            );
        }
        let arrivals = self.recent_keys.samples();
        // The work item's own arrival does not count: in a large fleet it would give a key that was requested
        // once several runners of its own.
        let others = arrivals
            .iter()
            .filter(|&&arrived| arrived == key)
            .count()
            .saturating_sub(1) as f64;
        let share = others / arrivals.len().max(1) as f64;
        let work_item = &mut self.work_items[handle as usize];
        work_item.own_candidates =
            ((KEY_SPREAD * share * self.subset.len() as f64).ceil() as usize).max(1);
        (work_item.candidates, work_item.probed) = (candidates, 0);
        self.choose_home(handle, now);
    }

    /// Chooses the candidate of least cost as the home of a work item's key. The key's own candidates cost
    /// the wait there, the others a fetch as well. A key has as many own candidates as its share of the
    /// arrivals requires, the same ones at all dispatchers, and each dispatcher prefers one of them by rank;
    /// otherwise each dispatcher would bring the key to runners of its own.
    pub(super) fn choose_home(&mut self, handle: u32, now: f64) {
        let work_item = &self.work_items[handle as usize];
        let (job, candidates) = (work_item.job, work_item.candidates.samples());
        let cold_work = self.cold_work(&job);
        let is_available = |runner: usize| {
            self.is_eligible(handle, runner, now) && cold_work <= self.cold_budget_left(runner, now)
        };
        let cost_s = |position: usize, runner: usize| {
            let fetch_s = if position < work_item.own_candidates
                || self.runners[runner].served_recently(job.key, now)
            {
                0.0
            } else {
                self.fetch_cost_s
            };
            self.expected_wait_s(runner, now) + self.own_load_wait_s(runner, now) + fetch_s
        };
        let available = candidates
            .iter()
            .enumerate()
            .filter(|(_, runner)| !self.config.uses_load_probes && is_available(**runner));
        let costs = available.map(|(position, &runner)| {
            (
                cost_s(position, runner),
                position >= work_item.own_candidates,
                !self.runners[runner].rank,
                runner,
            )
        });
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let home = cheapest
            .map(|(.., runner)| runner)
            .or(candidates.first().copied())
            .filter(|_| job.key != 0);
        self.work_items[handle as usize].home = home.unwrap_or(usize::MAX);
    }

    /// By how many seconds the expected wait for a start at a runner exceeds that at a runner without a known
    /// wait: its last start wait, if that is recent. A cold runner has no queue within its budget and so
    /// saves the median wait.
    pub(crate) fn expected_wait_s(&self, runner: usize, now: f64) -> f64 {
        let runner = &self.runners[runner];
        let (waited_s, at_s) = runner.start_wait;
        match () {
            () if waited_s > PROMPT_START_S && now < at_s + WAIT_MEMORY * waited_s => waited_s,
            () if now < runner.cold_since_s() + self.config.warm_up_s => -self.median_wait_s,
            () => 0.0,
        }
    }

    /// The seconds that this dispatcher's own work at a runner adds to the wait there.
    pub(super) fn own_load_wait_s(&self, runner: usize, now: f64) -> f64 {
        let runner = &self.runners[runner];
        let is_at_cap = runner.own_slots + 1.0 > runner.slot_cap && now > self.congested_at_s + 5.0;
        let until_free_s = if is_at_cap {
            self.mean_run_s / runner.own_slots.max(1.0)
        } else {
            0.0
        };
        OWN_LOAD_WEIGHT * self.mean_run_s * runner.own_slots
            / runner.most_own_running.max(INITIAL_SLOT_CAP)
            + until_free_s
    }

    /// The rank of a runner for a key; the highest comes first. It is a rendezvous hash that all dispatchers
    /// share and that ignores zones, because a copy of each key in each zone would exceed the few keys that a
    /// runner keeps. Without a key it is the rank of this dispatcher at the runner.
    pub(super) fn key_rank(&self, key: u32, runner: usize) -> u64 {
        let runner = &self.runners[runner];
        if key == 0 {
            runner.rank
        } else {
            pair_hash(key as u64, runner.listing.id)
        }
    }
}
