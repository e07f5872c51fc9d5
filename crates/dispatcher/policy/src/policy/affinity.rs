//! Where a key belongs: the places that a work item looks at, and what each costs.

use super::*;

impl Dispatcher {
    /// The first in a key's order.
    pub(crate) fn highest(
        &self,
        key: u32,
        among: impl Iterator<Item = usize>,
    ) -> Ring<usize, NEAR> {
        let mut all: Vec<_> = among
            .map(|r| (std::cmp::Reverse(self.liking(key, r)), r))
            .collect();
        all.sort_unstable();
        let mut order = Ring::default();
        all.iter().take(NEAR).for_each(|&(_, r)| order.push(r));
        order
    }

    /// Guards against every dispatcher fetching a key to a runner of its own: where the table is thin, all
    /// agree, without a word, on the ready runner where a key belongs (highest hash of both).
    pub(super) fn find_home(&mut self, w: u32, now: f64) {
        let key = self.works[w as usize].job.key;
        let order = self.order(w);
        let left = |d: &Self, r: usize| d.config.uses_load_probes && now < d.runners[r].left_until;
        let fit = |d: &Self, r: usize| d.open_to(w, r) && d.may_go(w, r, now) && !left(d, r);
        let mut near = Ring::default();
        order
            .samples()
            .iter()
            .filter(|&&r| fit(self, r))
            .for_each(|&r| near.push(r));
        // Guards against a cut or a group that takes all of them: others come up in their stead.
        if near.samples().is_empty() {
            near = self.highest(key, self.chosen.iter().copied().filter(|&r| fit(self, r)));
        }
        let asked = self.asked.samples();
        // The other arrivals tell: by its own a key met once would have places of its own in a large fleet.
        let others = asked
            .iter()
            .filter(|&&k| k == key)
            .count()
            .saturating_sub(1) as f64;
        let share = others / asked.len().max(1) as f64;
        let work = &mut self.works[w as usize];
        work.own = ((SPREAD * share * self.chosen.len() as f64).ceil() as usize).max(1);
        (work.near, work.asked) = (near, 0);
        self.best_place(w, now);
    }

    /// A key's home is its place of least cost: its own places cost a wait, the others also a fetch.
    /// Guards against dispatchers that bring each key to runners of their own: all agree on as many places as
    /// its share of the arrivals asks for, and each prefers one of these by rank.
    pub(super) fn best_place(&mut self, w: u32, now: f64) {
        let work = &self.works[w as usize];
        let (job, near) = (work.job, work.near.samples());
        let size = self.cold_size(&job);
        let takes = |r: usize| self.usable(w, r, now) && size <= self.cold_left(r, now);
        let cost = |n: usize, r: usize| {
            let fetch_s = if n < work.own || self.runners[r].holds(job.key, now) {
                0.0
            } else {
                self.far_s
            };
            self.wait_at(r, now) + self.load_at(r, now) + fetch_s
        };
        let able = near
            .iter()
            .enumerate()
            .filter(|(_, r)| !self.config.uses_load_probes && takes(**r));
        let able = able.map(|(n, &r)| (cost(n, r), n >= work.own, !self.runners[r].rank, r));
        let least = able.min_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let home = least
            .map(|(.., r)| r)
            .or(near.first().copied())
            .filter(|_| job.key != 0);
        self.works[w as usize].home = home.unwrap_or(usize::MAX);
    }

    /// How much longer work is believed to wait at a runner than at one of which nothing is known: as long as
    /// it did there, if that was of late. A cold one, as far as its budget goes, spares it the usual wait.
    pub(crate) fn wait_at(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        let (waited, at) = runner.wait;
        match () {
            () if waited > PROMPT_S && now < at + REMEMBERED * waited => waited,
            () if now < runner.born() + self.config.warm_up_s => -self.wait_s,
            () => 0.0,
        }
    }

    /// What our own work there adds to the wait.
    pub(super) fn load_at(&self, r: usize, now: f64) -> f64 {
        let runner = &self.runners[r];
        let full = runner.mine + 1.0 > runner.cap && now > self.crowded_at + 5.0;
        let free = if full {
            self.mean_run / runner.mine.max(1.0)
        } else {
            0.0
        };
        LOAD * self.mean_run * runner.mine / runner.most.max(CAP_START) + free
    }

    /// Who is liked better for a key: by a hash that all share, whatever the zone. Guards against a copy of
    /// each key in each zone, where runners keep few.
    pub(super) fn liking(&self, key: u32, r: usize) -> u64 {
        let runner = &self.runners[r];
        if key == 0 {
            runner.rank
        } else {
            pair_hash(key as u64, runner.at.id)
        }
    }
}
