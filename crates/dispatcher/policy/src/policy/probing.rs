//! Where runners report only to probes: which are asked, and what queues where all are full.

use super::*;

impl Dispatcher {
    /// Held work that lacks a fresh view of a runner it might use asks a few at a time, best first; when all
    /// are full it waits, longer after each round. One probe is out to a runner at most, and one that takes
    /// long says that the runner is busy: the next are asked.
    pub(super) fn seek(&mut self, host: &mut impl Host) {
        let now = host.now();
        let wait_s = 3.0
            * self
                .probe_times
                .quantile(0.5)
                .unwrap_or(QUIET_S / 3.0)
                .max(1e-3);
        self.next_seek = f64::INFINITY;
        let mut again = false;
        for place in 0..self.held.len() {
            let w = self.held[place];
            let work = &self.works[w as usize];
            let (mut asked, mut at) = (work.asked, work.ask_at);
            let places = &work.near.clone();
            let places = &places.samples()[..places.samples().len().min(PLACES)];
            let out = |r: &usize| {
                self.runners[*r]
                    .probed
                    .map(|t| t + wait_s)
                    .filter(|t| now < *t)
            };
            let due = places[..asked.min(places.len())]
                .iter()
                .filter_map(out)
                .fold(f64::NEG_INFINITY, f64::max);
            at = at.max(due);
            let mut sent = 0;
            // Only one is asked in a later round: what has waited so long has learnt that all are full.
            let most = if work.rounds > 0 {
                (asked + 1).min(places.len())
            } else {
                places.len()
            };
            while now >= at && sent == 0 && asked < most {
                let r = places[asked];
                asked += 1;
                let fresh = now < self.runners[r].reported + self.fresh_s;
                let room = self.runners[r].free >= self.works[w as usize].job.slots;
                if !self.usable(w, r, now) || fresh && !room {
                    continue;
                }
                sent += 1;
                again |= fresh;
                if !fresh && self.runners[r].probed.is_none() {
                    self.runners[r].probed = Some(now);
                    host.probe(r);
                }
            }
            // Guards against a cut that takes all its places: others come up in their stead.
            if sent == 0 && now >= at && !places.iter().any(|&r| self.usable(w, r, now)) {
                self.find_home(w, now);
            }
            let work = &mut self.works[w as usize];
            if sent > 0 {
                at = now + wait_s;
            } else if now >= at {
                work.ask_at =
                    now + (self.fresh_s / FRESH).max(wait_s) * 2f64.powi(work.rounds.min(8));
                (at, work.rounds) = (work.ask_at, work.rounds + 1);
                asked = if work.rounds == 1 || asked >= places.len() {
                    0
                } else {
                    asked
                };
            }
            work.asked = asked;
            self.next_seek = self.next_seek.min(at);
        }
        if again {
            self.pass(host);
        }
    }

    /// What has asked all its places and found none free takes the best of them as far as the cap allows: a
    /// short queue at a holder costs less than a slot that waits to be asked.
    pub(super) fn queue(&mut self, host: &mut impl Host) {
        let now = host.now();
        let mut place = 0;
        while place < self.held.len() {
            let work = &self.works[self.held[place] as usize];
            let queues = |r: &&usize| {
                let runner = &self.runners[**r];
                self.usable(self.held[place], **r, now)
                    && work.job.slots <= runner.cap.floor() - runner.mine
                    && now >= runner.refused + self.fresh_s
                    && self.cold_size(&work.job) <= runner.cold_left
            };
            let may = work.rounds > 0 && work.spare <= 0.0;
            let idlest = |r: &usize| (10.0 * self.runners[*r].busy) as i64;
            let places = work.near.samples().iter().take(PLACES);
            match places
                .filter(|r| may && queues(r))
                .copied()
                .min_by_key(idlest)
            {
                Some(r) => self.send(host, place, r),
                None => place += 1,
            }
        }
    }
}
