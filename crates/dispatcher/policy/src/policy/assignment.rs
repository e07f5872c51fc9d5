//! The mechanism: what is held is priced, and goes to runners with room by P.

use super::*;

impl Dispatcher {
    pub(super) fn pass(&mut self, host: &mut impl Host) {
        if self.held.is_empty() {
            return;
        }
        let now = host.now();
        self.last_pass = now;
        let mut open = std::mem::take(&mut self.open);
        open.clear();
        self.passes += 1;
        for place in 0..self.held.len() {
            for &r in self.works[self.held[place] as usize].near.samples() {
                if std::mem::replace(&mut self.runners[r].pass, self.passes) != self.passes {
                    self.runners[r].room = self.room(r, now);
                    self.runners[r].cold_left = self.cold_left(r, now);
                    open.extend(Some(r).filter(|&r| self.has_room(r, now)));
                }
            }
        }
        (1..open.len())
            .rev()
            .for_each(|i| open.swap(i, self.pcg.index_below(i + 1)));
        if !open.is_empty() || self.config.uses_load_probes {
            self.price(&open, now);
        }
        open.retain(|&r| {
            while self.has_room(r, now) {
                let Some((place, p)) = self.largest(r, now) else {
                    return false;
                };
                if p < P_MIN || self.pcg.uniform() >= p {
                    return true;
                }
                self.send(host, place, r);
            }
            false
        });
        // What every runner skipped takes its cheapest.
        let mut place = 0;
        while place < self.held.len() && !open.is_empty() {
            let w = self.held[place];
            let key = self.works[w as usize].job.key;
            let fitting = open.iter().copied().filter(|&r| self.fits(w, r, now));
            // Among equally cheap ones the one where all agree that the key belongs.
            match fitting.max_by_key(|&r| (self.holds(w, r), self.liking(key, r))) {
                Some(r) => {
                    self.send(host, place, r);
                    open.retain(|&r| self.has_room(r, now));
                }
                None => place += 1,
            }
        }
        self.open = open;
    }

    /// Prices what is held for one pass.
    pub(super) fn price(&mut self, open: &[usize], now: f64) {
        // Crowded: not all that is held can be in time; something has waited half its spare time.
        let spent = |w: u32| now + self.wait_s - self.works[w as usize].taken;
        let crowded = self
            .held
            .iter()
            .any(|&w| spent(w) > 0.5 * self.category(w).due_s);
        self.crowded_at = if crowded { now } else { self.crowded_at };
        let a_slots_second = |n: usize| {
            if self.config.payoff_per_work {
                1.0
            } else {
                self.usual[n].max(1e-3)
            }
        };
        let worth = |n: usize| self.config.categories[n].payoff / a_slots_second(n);
        let best = (0..self.usual.len()).map(worth).fold(0.0, f64::max);
        for &w in &self.held {
            let work = &self.works[w as usize];
            let category = self.category(w);
            let worth = worth(work.job.category);
            let ends = now + self.wait_s + self.pace * self.expected(&work.job);
            // A repeat that asks and is turned away costs runners more than it can still earn.
            let again = self.config.uses_load_probes && work.begun < work.taken - PROMPT_S;
            let late = again || ends > self.due(w);
            let value = if crowded {
                worth * if late { category.tardy } else { 1.0 }
            } else {
                0.0
            };
            // Guards against freed slots going round among cheap work while dear work waits elsewhere: in a
            // crowd what is late, or pays under 0.4 of the best, leaves a slot free; where runners are
            // asked, and dear work asks for a slot, what is late does so for 5 s more. What is late and then
            // pays nothing is not sent at all in a jam: it would make others late, who come again.
            let leaves = match self.config.uses_load_probes {
                true => late && now < self.crowded_at + 5.0,
                false => crowded && (late || worth < 0.4 * best),
            };
            let others = open.iter().filter(|&&r| !self.holds(w, r)).count();
            // Guards against the shared store: where it is the bottleneck, fetching a key once more costs
            // everybody. Work whose holders are well but busy waits for them as long as it can end in time.
            let ill = |r: &Runner| r.resting.is_some() || r.shunned(work.job.category, now);
            let well = |r: &Runner| r.ready() && !ill(r);
            let busy = others == open.len() && self.runners.get(work.home).is_some_and(well);
            let waits = !self.config.uses_load_probes && !late && busy;
            let odds = start_chance(others as f64 / open.len().max(1) as f64, FAR_COST);
            let work = &mut self.works[w as usize];
            (work.value, work.spare, work.waits, work.odds) =
                (value, leaves as u8 as f64, waits, odds);
        }
    }

    /// The held work item with the largest P at a runner, among those of the largest value in a crowd; ties
    /// to the longest held.
    pub(super) fn largest(&self, r: usize, now: f64) -> Option<(usize, f64)> {
        let mut best: Option<(usize, f64, f64)> = None;
        for (place, &w) in self.held.iter().enumerate() {
            let work = &self.works[w as usize];
            let p = if self.holds(w, r) { 1.0 } else { work.odds };
            let ahead = best.is_none_or(|(_, v, q)| work.value > v || work.value == v && p > q);
            if ahead && self.fits(w, r, now) {
                best = Some((place, work.value, p));
            }
        }
        best.map(|(place, _, p)| (place, p))
    }

    pub(super) fn send(&mut self, host: &mut impl Host, place: usize, r: usize) {
        let now = host.now();
        let w = self.held.remove(place);
        let size = self.cold_size(&self.works[w as usize].job);
        let Work {
            job, own, ref near, ..
        } = self.works[w as usize];
        let own = near.samples()[..own.min(near.samples().len())].contains(&r);
        let fetches = Some(!own).filter(|_| own == self.runners[r].holds(job.key, now));
        let runner = &mut self.runners[r];
        let work = &mut self.works[w as usize];
        self.left
            .get_mut(job.category)
            .into_iter()
            .for_each(|left| *left -= 1.0);
        self.resends -= if work.made > 0 { 1.0 } else { 0.0 };
        runner.load(&work.job, 1.0);
        runner.cold_left -= size;
        if now < runner.born() + self.config.warm_up_s {
            runner
                .cold_sent
                .retain(|(at, _)| now < at + self.config.overload_window_s);
            runner.cold_sent.push_back((now, size));
        }
        runner.trial = runner.resting.map(|_| now + runner.rest_s);
        work.out = Some(Attempt::new(
            r,
            work.made,
            now,
            runner.mine >= runner.cap,
            fetches,
        ));
        work.made += 1;
        // Guards against clocks that differ: the client may wait longer than was told, and be answered then.
        let drop_at = work.job.expires_at_s + self.config.expiry_error_s;
        host.send_attempt(WorkItem(w), r, drop_at, self.repeat_by(w));
    }

    pub(super) fn room(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        match self.config.uses_load_probes {
            true if now < runner.reported + self.fresh_s => runner.free,
            true => 0.0,
            false => runner.cap.floor() - runner.mine,
        }
    }

    pub(super) fn has_room(&self, r: usize, now: f64) -> bool {
        let runner = &self.runners[r];
        let able = runner.ready() && runner.cold_left > self.fetch_s && now >= runner.left_until;
        able && runner.tried(now)
            && (runner.room >= 1.0 || runner.mine <= 0.0 && !self.config.uses_load_probes)
    }

    pub(super) fn fits(&self, w: u32, r: usize, now: f64) -> bool {
        let (work, runner) = (&self.works[w as usize], &self.runners[r]);
        // The cheap and frequent reasons first: on a bad day most of what is held fits nowhere. What waits
        // has no holder among the runners with room.
        let (job, probes) = (&work.job, self.config.uses_load_probes);
        let jam = !probes && self.wait_s > PROMPT_S;
        // Guards against a fetch for want of a question: its places come first, in their order.
        let asked = || {
            work.near
                .samples()
                .iter()
                .take(work.asked)
                .any(|&asked| asked == r)
        };
        if work.waits
            || probes && job.key != 0 && work.rounds == 0 && !asked()
            || work.spare > 0.0
                && (runner.room < job.slots + work.spare || jam && work.value <= 0.0)
            || self.cold_size(job) > runner.cold_left
            || !self.usable(w, r, now)
        {
            return false;
        }
        job.slots <= runner.room && job.memory <= runner.free_memory
            || runner.mine <= 0.0 && !probes
    }

    /// A runner that a work item might use, whatever its room.
    pub(super) fn usable(&self, w: u32, r: usize, now: f64) -> bool {
        let (work, runner) = (&self.works[w as usize], &self.runners[r]);
        runner.ready()
            && self
                .left
                .get(work.job.category)
                .is_none_or(|left| *left >= 1.0)
            && self.open_to(w, r)
            && (work.avoid.0 != r || now >= work.avoid.1)
            && !runner.shunned(work.job.category, now)
            && now >= runner.left_until
            && self.may_go(w, r, now)
            && (runner.resting.is_none()
                || runner.tried(now) && self.category(w).repeat == Repeat::Idempotent)
    }
}
