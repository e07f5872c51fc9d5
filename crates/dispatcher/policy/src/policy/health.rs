//! Which runners are well: the sequential test, and its signs.

use super::*;

impl Dispatcher {
    pub(super) fn learn(&mut self, job: &Job, attempt: &Attempt, now: f64, outcome: Outcome) {
        let run = now - attempt.started.unwrap_or(attempt.sent);
        let expected = self.expected(job);
        let slow = self.slow_ratio();
        let runner = &mut self.runners[attempt.runner];
        match outcome {
            Outcome::Finished => {
                runner.heard = now;
                let prompt = attempt.started.is_none_or(|s| s - attempt.sent < PROMPT_S);
                let lid = if now < runner.ceiling.1 {
                    runner.ceiling.0
                } else {
                    f64::INFINITY
                };
                if attempt.at_cap && prompt && runner.cap < lid {
                    runner.cap += job.slots;
                }
                self.errors.push((attempt.runner, false, job.key));
                self.measured(job, attempt, run, expected);
                // A slow finish is a weaker sign than silence or an error: a full store slows everyone's
                // work, and large sizes come in runs. ln(0.4/0.11), one in nine of a well runner's.
                self.weigh(
                    attempt.runner,
                    now,
                    if run / expected > slow { 1.3 } else { -0.5 },
                );
                self.served(now, attempt.runner, job.key);
            }
            Outcome::Full | Outcome::MaybeFull => {
                runner.cap = (runner.cap / 2.0).floor().max(1.0);
                (runner.free, runner.reported, runner.refused) = (0.0, now, now);
                // Guards against a runner full of others' work, or hung with a full queue: a mild bad sign.
                self.weigh(attempt.runner, now, 1.0);
            }
            Outcome::Error | Outcome::Reset => {
                let sign = self.error_sign(attempt.runner);
                self.errors.push((attempt.runner, true, job.key));
                self.shun(attempt.runner, job.category, now, sign);
                self.weigh(attempt.runner, now, sign);
            }
            // Guards against a dead runner that is still listed: it looks idle and draws work. One failure
            // alone may be the network's; it is left alone for a second even where it cannot rest.
            Outcome::NoConnection => {
                runner.left_until = now + 1.0;
                self.weigh(attempt.runner, now, 3.0);
            }
            _ => self.weigh(attempt.runner, now, 0.0),
        }
        self.runners[attempt.runner].trial = None;
    }

    /// How much an error says against its runner: ln(0.4/p), p being the errors of late at all the others.
    /// Guards against blaming runners for what fails anywhere: a lock or a store behind all, bad requests.
    pub(super) fn error_sign(&self, r: usize) -> f64 {
        let others = self.errors.samples().iter().filter(|(at, ..)| *at != r);
        let (all, bad) = others.fold((0.0, 0.0), |(all, bad), (_, b, _)| {
            (all + 1.0, bad + *b as u8 as f64)
        });
        // One in 33 where nothing is known, the rate of the test itself.
        (0.4 * (all + 33.0) / (bad + 1.0)).ln().clamp(0.0, 3.0)
    }

    /// Of late all work of a key failed, at three runners or more. Guards against work that fails wherever it
    /// goes: it takes slots, and attempts at runners that are well. It may hurt where just these three fail.
    pub(super) fn fails_anywhere(&self, key: u32) -> bool {
        let of_key = self
            .errors
            .samples()
            .iter()
            .filter(|(.., k)| *k == key && key != 0);
        let at: BTreeSet<usize> = of_key.clone().map(|(at, ..)| *at).collect();
        at.len() >= 3 && of_key.clone().all(|(_, bad, _)| *bad)
    }

    /// The same test for one category there, which then leaves the runner for a while. Guards against one
    /// that fails this category alone.
    pub(super) fn shun(&mut self, r: usize, category: usize, now: f64, sign: f64) {
        let (evidence, _) = self.runners[r].shun(category);
        *evidence = (*evidence + sign).min(6.0);
        let evidence = *evidence;
        let gone = |r: &&usize| {
            self.runners[**r].shunned(category, now) || self.runners[**r].resting.is_some()
        };
        if evidence > 4.5 && 2 * (self.chosen.iter().filter(gone).count() + 1) <= self.chosen.len()
        {
            *self.runners[r].shun(category) = (2.0, now + REST_S);
        }
    }

    /// The sequential test: log odds of 'unwell' (4 in 10 bad) against 'well' (3 in 100 bad). A bad sign adds
    /// ln(0.4/0.03) = 2.6, a good one ln(0.6/0.97) = -0.5; past ln(0.95/0.01) = 4.5 the runner rests, then
    /// gets a trial, and another after each rest. At most half rest at once: beyond, it is not their trouble.
    pub(super) fn weigh(&mut self, r: usize, now: f64, sign: f64) {
        let runner = &mut self.runners[r];
        runner.evidence = (runner.evidence + sign).clamp(0.0, 6.0);
        if runner.resting.is_some() && runner.trial.is_some() {
            if sign < 0.0 {
                (runner.resting, runner.evidence) = (None, 2.0);
            } else if sign > 0.0 {
                runner.rest_s = (2.0 * runner.rest_s).min(6.0);
                runner.resting = Some(now + runner.rest_s);
            }
        } else if runner.resting.is_none() && runner.evidence > 4.5 {
            let ready = || self.runners.iter().filter(|x| x.ready());
            if 2 * (ready().filter(|x| x.resting.is_some()).count() + 1) <= ready().count() {
                let runner = &mut self.runners[r];
                runner.resting = Some(now + runner.rest_s);
            }
        } else if runner.evidence == 0.0 {
            runner.rest_s = REST_S;
        }
    }

    /// What others saw of a runner, weighed by the host: a bad sign that outweighs the last good ones, or
    /// that it serves others again, which ends its rest at a moment of this dispatcher's own.
    pub fn apply_peer_verdict(&mut self, now: f64, r: usize, well: bool) {
        match self.runners[r].resting {
            None if !well => self.weigh(r, now, 6.0),
            Some(until) if well && self.runners[r].trial.is_none() && until > now + LOOK_S => {
                self.runners[r].resting = Some(now + LOOK_S * self.pcg.uniform());
            }
            _ => {}
        }
    }

    /// Silence and standing still are evidence too. Guards against runners that take work and answer nothing.
    pub(super) fn doubt(&mut self, host: &mut impl Host, w: u32, now: f64) {
        let work = &self.works[w as usize];
        let Some(attempt) = work.out.as_ref().filter(|attempt| !attempt.cancelled) else {
            return;
        };
        let (r, run, category) = (attempt.runner, self.expected(&work.job), work.job.category);
        // Guards against taking a wait behind our own long jobs for silence.
        let full = self.runners[r].running >= self.runners[r].most.max(1.0);
        let quiet_s = match attempt.started {
            // Where others' work is not known, it may wait behind theirs as long as any did lately.
            None if self.config.uses_load_probes => QUIET_S + 3.0 * run,
            // Guards against others' queues, or a jam, taken for illness: twice the longest last wait.
            None if self.config.reports_start && !full => {
                let unknown =
                    self.config.dispatcher_count > 1 && self.waits.samples().len() < WAITS;
                QUIET_S + 2.0 * self.longest_wait + if unknown { 3.0 * run } else { 0.0 }
            }
            Some(_) if self.config.progress_interval_s > 0.0 => {
                2.2 * self.config.progress_interval_s
            } // Their own beat.
            _ => QUIET_S + 3.0 * run,
        };
        // Guards against a queue that no report tells of: what waits there for its start says it is full.
        let waits = self.config.uses_load_probes
            && attempt.started.is_none()
            && now > attempt.sent + PROMPT_S;
        // Guards against an attempt never taken by a runner that is well otherwise: taking is said at once.
        let unsaid = self.config.reports_acceptance
            && attempt.moved <= attempt.sent
            && now > attempt.sent + QUIET_S;
        let spoke = self.runners[r]
            .heard
            .max(if unsaid { self.runners[r].took } else { 0.0 });
        let heard = if attempt.started.is_some() {
            attempt.moved
        } else {
            attempt.moved.max(spoke)
        };
        let silent = now - heard > quiet_s * (1.0 + attempt.doubts as f64);
        let rerun = self.config.categories[category].repeat != Repeat::AtMostOnce;
        if attempt.started.is_none() && now > attempt.sent + PROMPT_S {
            self.runners[r].wait = (now - attempt.sent, now);
        }
        if silent {
            self.works[w as usize].out.as_mut().unwrap().doubts += 1;
            self.weigh(r, now, 2.6);
            host.runner_silent(r);
        }
        if waits {
            (self.runners[r].free, self.runners[r].reported) = (0.0, now);
        }
        let out = self.works[w as usize].out.as_ref().unwrap();
        let (left, still) = (out.left_s(), out.doubts > 0 && now - out.moved > quiet_s);
        let stuck = still || left > 2.0 * run && now + left > self.due(w);
        // Guards against answers lost on the way back: a started job tells each beat, so one beat and a half
        // without word means that it has ended or stands still, be its runner well or not.
        let beat = self.config.progress_interval_s;
        let ended = out.started.is_some() && beat > 0.0 && now > out.moved + 1.5 * beat;
        // Only off a runner judged unwell, or that never took it, while another try can still end in time.
        if unsaid {
            self.shun(r, category, now, 6.0);
        }
        if (unsaid || ended || stuck && self.runners[r].resting.is_some())
            && rerun
            && self.may_resend(w, now)
        {
            self.cancel(host, w);
        }
    }
}
