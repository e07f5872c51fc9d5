//! The assignment of held work items: a pass prices them and sends them to runners with room, by the start
//! probability P of Algorithm 1.

use super::*;

impl Dispatcher {
    /// Runs a pass over the candidates of all held work items.
    pub(super) fn assign_held(&mut self, host: &mut impl Host) {
        if self.held.is_empty() {
            return;
        }
        let now = host.now();
        self.last_pass_at_s = now;
        let mut open = std::mem::take(&mut self.open_runners);
        open.clear();
        self.pass_count += 1;
        for position in 0..self.held.len() {
            for &runner in self.work_items[self.held[position] as usize]
                .candidates
                .samples()
            {
                if std::mem::replace(&mut self.runners[runner].last_pass, self.pass_count)
                    != self.pass_count
                {
                    self.runners[runner].room = self.room(runner, now);
                    self.runners[runner].cold_budget = self.cold_budget_left(runner, now);
                    open.extend(Some(runner).filter(|&runner| self.has_room(runner, now)));
                }
            }
        }
        // Shuffles the runners.
        (1..open.len())
            .rev()
            .for_each(|i| open.swap(i, self.pcg.index_below(i + 1)));
        if !open.is_empty() || self.config.uses_load_probes {
            self.price_held(&open, now);
        }
        open.retain(|&runner| {
            while self.has_room(runner, now) {
                let Some((position, chance)) = self.best_held(runner, now) else {
                    return false;
                };
                if chance < MIN_START_CHANCE || self.pcg.uniform() >= chance {
                    return true;
                }
                self.send(host, position, runner);
            }
            false
        });
        // A work item that every runner skipped goes to the runner where it costs least.
        let mut position = 0;
        while position < self.held.len() && !open.is_empty() {
            let handle = self.held[position];
            let key = self.work_items[handle as usize].job.key;
            let fitting = open
                .iter()
                .copied()
                .filter(|&runner| self.fits(handle, runner, now));
            // Among runners of equal cost it is the one that comes first in the key's order, on which all
            // dispatchers agree.
            match fitting.max_by_key(|&runner| {
                (
                    self.is_key_holder(handle, runner),
                    self.key_rank(key, runner),
                )
            }) {
                Some(runner) => {
                    self.send(host, position, runner);
                    open.retain(|&runner| self.has_room(runner, now));
                }
                None => position += 1,
            }
        }
        self.open_runners = open;
    }

    /// Prices the held work items for one pass.
    pub(super) fn price_held(&mut self, open: &[usize], now: f64) {
        // The dispatcher is congested if a held work item has used up half of its time: then not all can end
        // in time.
        let spent_s =
            |handle: u32| now + self.median_wait_s - self.work_items[handle as usize].received_at_s;
        let is_congested = self
            .held
            .iter()
            .any(|&handle| spent_s(handle) > 0.5 * self.category(handle).due_s);
        self.congested_at_s = if is_congested {
            now
        } else {
            self.congested_at_s
        };
        let payoff_unit_s = |category: usize| {
            if self.config.payoff_per_work {
                1.0
            } else {
                self.mean_run_times[category].max(1e-3)
            }
        };
        let worth =
            |category: usize| self.config.categories[category].payoff / payoff_unit_s(category);
        let best_worth = (0..self.mean_run_times.len())
            .map(worth)
            .fold(0.0, f64::max);
        for &handle in &self.held {
            let work_item = &self.work_items[handle as usize];
            let category = self.category(handle);
            let worth = worth(work_item.job.category);
            let ends_at_s = now
                + self.median_wait_s
                + self.fleet_slowdown * self.expected_run_s(&work_item.job);
            // A client's retry that is probed for and then refused costs runners more than it can still pay.
            let is_client_retry = self.config.uses_load_probes
                && work_item.first_requested_at_s < work_item.received_at_s - PROMPT_START_S;
            let is_late = is_client_retry || ends_at_s > self.due_at_s(handle);
            let value = if is_congested {
                worth * if is_late { category.tardy } else { 1.0 }
            } else {
                0.0
            };
            // Work that leaves a slot free for others keeps slots from circulating among cheap work while
            // valuable work waits elsewhere. During congestion that is work that is late or pays less than
            // 0.4 of the best. If runners are probed, where valuable work must first ask for a slot, it is
            // late work, until 5 s after congestion. Late work that pays nothing is not sent at all while
            // starts are delayed: it would make other work late, whose clients would then retry.
            let leaves_slot_free = match self.config.uses_load_probes {
                true => is_late && now < self.congested_at_s + 5.0,
                false => is_congested && (is_late || worth < 0.4 * best_worth),
            };
            let without_key = open
                .iter()
                .filter(|&&runner| !self.is_key_holder(handle, runner))
                .count();
            // If the shared store is the bottleneck, every fetch slows all work down. So work whose holders
            // are healthy but full waits for them while it can still end in time.
            let is_unhealthy = |runner: &Runner| {
                runner.ejected_until_s.is_some()
                    || runner.is_ejected_for(work_item.job.category, now)
            };
            let is_usable = |runner: &Runner| runner.is_ready() && !is_unhealthy(runner);
            let holders_are_full = without_key == open.len()
                && self.runners.get(work_item.home).is_some_and(is_usable);
            let waits_for_holder = !self.config.uses_load_probes && !is_late && holders_are_full;
            let chance_elsewhere =
                start_chance(without_key as f64 / open.len().max(1) as f64, FETCH_COST);
            let work_item = &mut self.work_items[handle as usize];
            (work_item.value, work_item.reserve_slots) = (value, leaves_slot_free as u8 as f64);
            (work_item.waits_for_holder, work_item.chance_elsewhere) =
                (waits_for_holder, chance_elsewhere);
        }
    }

    /// The held work item with the largest start probability P at a runner, as its position among the held
    /// ones and that probability. During congestion only the work items of the highest value compete. Ties go
    /// to the one that arrived first.
    pub(super) fn best_held(&self, runner: usize, now: f64) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64, f64)> = None;
        for (position, &handle) in self.held.iter().enumerate() {
            let work_item = &self.work_items[handle as usize];
            let chance = if self.is_key_holder(handle, runner) {
                1.0
            } else {
                work_item.chance_elsewhere
            };
            let is_better = best.is_none_or(|(_, best_value, best_chance)| {
                work_item.value > best_value
                    || work_item.value == best_value && chance > best_chance
            });
            if is_better && self.fits(handle, runner, now) {
                best = Some((position, work_item.value, chance));
            }
        }
        best.map(|(position, _, chance)| (position, chance))
    }

    /// Sends the held work item at a position to a runner.
    pub(super) fn send(&mut self, host: &mut impl Host, position: usize, index: usize) {
        let now = host.now();
        let handle = self.held.remove(position);
        let cold_work = self.cold_work(&self.work_items[handle as usize].job);
        let WorkItemState {
            job,
            own_candidates,
            ref candidates,
            ..
        } = self.work_items[handle as usize];
        let is_own_candidate =
            candidates.samples()[..own_candidates.min(candidates.samples().len())].contains(&index);
        let needs_fetch = Some(!is_own_candidate)
            .filter(|_| is_own_candidate == self.runners[index].served_recently(job.key, now));
        let runner = &mut self.runners[index];
        let work_item = &mut self.work_items[handle as usize];
        self.remaining_caps
            .get_mut(job.category)
            .into_iter()
            .for_each(|remaining| *remaining -= 1.0);
        self.remaining_retries -= if work_item.attempts > 0 { 1.0 } else { 0.0 };
        runner.count_attempt(&work_item.job, 1.0);
        runner.cold_budget -= cold_work;
        if now < runner.cold_since_s() + self.config.warm_up_s {
            runner
                .cold_sends
                .retain(|(at, _)| now < at + self.config.overload_window_s);
            runner.cold_sends.push_back((now, cold_work));
        }
        runner.trial_until_s = runner.ejected_until_s.map(|_| now + runner.ejection_s);
        work_item.in_flight = Some(Attempt::new(
            index,
            work_item.attempts,
            now,
            runner.own_slots >= runner.slot_cap,
            needs_fetch,
        ));
        work_item.attempts += 1;
        // If clocks differ, the client may wait longer than it said, and can still be answered then.
        let drop_at_s = work_item.job.expires_at_s + self.config.expiry_error_s;
        host.send_attempt(
            WorkItem(handle),
            index,
            drop_at_s,
            self.repeat_begin_by_s(handle),
        );
    }

    /// How many slots of a runner this dispatcher may fill now. If runners are probed, that is 0 without a
    /// valid report.
    pub(super) fn room(&self, runner: usize, now: f64) -> f64 {
        let runner = &self.runners[runner];
        match self.config.uses_load_probes {
            true if now < runner.reported_at_s + self.report_lifetime_s => runner.free_slots,
            true => 0.0,
            false => runner.slot_cap.floor() - runner.own_slots,
        }
    }

    /// Whether a runner takes a work item of one slot in this pass. If runners are not probed, one without
    /// any work of this dispatcher takes a work item of any size.
    pub(super) fn has_room(&self, runner: usize, now: f64) -> bool {
        let runner = &self.runners[runner];
        let is_available =
            runner.is_ready() && runner.cold_budget > self.fetch_s && now >= runner.backoff_until_s;
        is_available
            && runner.may_be_tried(now)
            && (runner.room >= 1.0 || runner.own_slots <= 0.0 && !self.config.uses_load_probes)
    }

    /// Whether a work item can be sent to a runner in this pass.
    pub(super) fn fits(&self, handle: u32, index: usize, now: f64) -> bool {
        let (work_item, runner) = (&self.work_items[handle as usize], &self.runners[index]);
        // The cheap and frequent reasons come first, because under high load most held work fits nowhere. A
        // work item that waits for a holder has none among the runners with room.
        let (job, uses_probes) = (&work_item.job, self.config.uses_load_probes);
        let starts_delayed = !uses_probes && self.median_wait_s > PROMPT_START_S;
        // In the first round of probes a work item with a key goes only to candidates that were probed, in
        // their order. Otherwise it would fetch its key elsewhere although a holder had not been probed yet.
        let was_probed = || {
            work_item
                .candidates
                .samples()
                .iter()
                .take(work_item.probed)
                .any(|&probed| probed == index)
        };
        if work_item.waits_for_holder
            || uses_probes && job.key != 0 && work_item.probe_rounds == 0 && !was_probed()
            || work_item.reserve_slots > 0.0
                && (runner.room < job.slots + work_item.reserve_slots
                    || starts_delayed && work_item.value <= 0.0)
            || self.cold_work(job) > runner.cold_budget
            || !self.is_eligible(handle, index, now)
        {
            return false;
        }
        job.slots <= runner.room && job.memory <= runner.free_memory
            || runner.own_slots <= 0.0 && !uses_probes
    }

    /// Whether a work item may be sent to a runner, whatever the runner's room.
    pub(super) fn is_eligible(&self, handle: u32, index: usize, now: f64) -> bool {
        let (work_item, runner) = (&self.work_items[handle as usize], &self.runners[index]);
        runner.is_ready()
            && self
                .remaining_caps
                .get(work_item.job.category)
                .is_none_or(|remaining| *remaining >= 1.0)
            && self.is_placement_allowed(handle, index)
            && (work_item.avoided.0 != index || now >= work_item.avoided.1)
            && !runner.is_ejected_for(work_item.job.category, now)
            && now >= runner.backoff_until_s
            && self.is_repeat_allowed(handle, index, now)
            && (runner.ejected_until_s.is_none()
                || runner.may_be_tried(now) && self.category(handle).repeat == Repeat::Idempotent)
    }
}
