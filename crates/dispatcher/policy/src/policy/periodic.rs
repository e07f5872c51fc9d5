//! What time alone brings: looked at every so often.

use super::*;

impl Dispatcher {
    pub(super) fn look(&mut self, host: &mut impl Host) {
        let now = host.now();
        self.mean_run = self.usual.iter().sum::<f64>() / self.usual.len().max(1) as f64;
        self.fetch_s = self.fetches.mean().unwrap_or(0.0).max(0.0);
        // Guards against fetches that look free once most work fetches: the usual run then holds one itself.
        // The mean of the quartiles, since a few large runs outweigh a fetch in a mean.
        let typical = |runs: &Ring<f64, RUNS>| {
            [0.25, 0.5, 0.75]
                .iter()
                .filter_map(|part| runs.quantile(*part))
                .sum::<f64>()
                / 3.0
        };
        let known = self
            .near_runs
            .samples()
            .len()
            .min(self.far_runs.samples().len())
            >= RUNS / 4;
        let longer = typical(&self.far_runs) - typical(&self.near_runs);
        self.far_s = DEAR * if known { longer.max(0.0) } else { self.fetch_s };
        self.fresh_s = FRESH * self.mean_run;
        // Guards against a wait that is over shutting work out, none of which then starts and tells.
        let lately = self.waits.samples().iter().filter(|(_, at)| now < at + 5.0);
        self.wait_s = median(lately.map(|(wait, _)| *wait)).unwrap_or(0.0);
        self.longest_wait = self
            .waits
            .samples()
            .iter()
            .map(|(wait, _)| *wait)
            .fold(0.0, f64::max);
        self.pace = self.ratios.quantile(0.5).unwrap_or(1.0).max(1.0);
        for place in (0..self.held.len()).rev() {
            let w = self.held[place];
            if !self.config.uses_load_probes {
                self.best_place(w, now);
            }
            let work = &self.works[w as usize];
            let hopeless = work.refused || work.near.samples().is_empty();
            if hopeless || now > self.patience(w) || !self.may_resend(w, now) {
                self.held.remove(place);
                self.end(host, w, true);
            }
        }
        (0..self.works.len() as u32).for_each(|w| self.doubt(host, w, now));
        self.busy
            .push(self.runners.iter().map(|runner| runner.running).sum());
        let wanted = LEAST.max(FOR_EACH * self.busy.mean().unwrap_or(0.0)).ceil();
        if (wanted - self.wanted).abs() > 0.25 * self.wanted {
            self.wanted = wanted;
            self.choose_anew(now);
        }
        let mut sized = [false; 256];
        for place in 0..self.chosen.len() {
            let r = self.chosen[place];
            let at = self.runners[r].at;
            let cold = now < self.runners[r].born() + self.config.warm_up_s;
            if cold && !std::mem::replace(&mut sized[at.kind as usize], true) {
                self.size_up(at.kind, now);
            }
            if self.runners[r]
                .resting
                .is_some_and(|until| until - self.runners[r].rest_s > now - LOOK_S)
            {
                host.log(r, "judged unwell, rests");
            }
        }
    }

    pub(super) fn due(&self, w: u32) -> f64 {
        let work = &self.works[w as usize];
        let category = self.category(w);
        let own = if work.job.hint_s > 0.0 {
            work.job.hint_s
        } else {
            self.expected(&work.job)
        };
        let since = if self.config.uses_load_probes {
            work.taken
        } else {
            work.begun
        };
        (since + category.due_s + category.stretch * own).min(work.job.expires_at_s)
    }

    /// Until when a held work item is worth holding.
    pub(super) fn patience(&self, w: u32) -> f64 {
        let work = &self.works[w as usize];
        let (due, run) = (self.due(w), self.pace * self.expected(&work.job));
        // Where late pays nothing, it ends with the last start that a long run would still make in time.
        let late_pays = self.category(w).tardy > 0.0;
        let last = if late_pays {
            0.5 * (due + work.job.expires_at_s) - run
        } else {
            due - 1.4 * run - self.wait_s
        };
        // Never into the expiry itself: two looks before it the answer is given whatever it is.
        last.max(work.taken + LOOK_S)
            .min(work.job.expires_at_s - 2.0 * LOOK_S)
    }
}
