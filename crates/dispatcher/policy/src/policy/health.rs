//! Outlier ejection: the sequential test that finds unhealthy runners, and the signs that it rests on.

use super::*;

impl Dispatcher {
    /// Updates a runner's slot cap, its health evidence and the samples with the outcome of an attempt.
    pub(super) fn record_outcome(
        &mut self,
        job: &Job,
        attempt: &Attempt,
        now: f64,
        outcome: Outcome,
    ) {
        let run_s = now - attempt.started_at_s.unwrap_or(attempt.sent_at_s);
        let expected_run_s = self.expected_run_s(job);
        let slow_ratio = self.slow_ratio();
        let runner = &mut self.runners[attempt.runner];
        match outcome {
            Outcome::Finished => {
                runner.heard_at_s = now;
                let started_promptly = attempt
                    .started_at_s
                    .is_none_or(|started| started - attempt.sent_at_s < PROMPT_START_S);
                let cap_limit = if now < runner.slot_cap_limit.1 {
                    runner.slot_cap_limit.0
                } else {
                    f64::INFINITY
                };
                if attempt.at_cap && started_promptly && runner.slot_cap < cap_limit {
                    runner.slot_cap += job.slots;
                }
                self.recent_results.push((attempt.runner, false, job.key));
                self.record_run(job, attempt, run_s, expected_run_s);
                // A slow run is a weaker sign than silence or an error, because an overloaded store slows all
                // work down and large jobs come in bursts. 1.3 is ln(0.4/0.11), with one slow run in nine at
                // a healthy runner.
                self.add_evidence(
                    attempt.runner,
                    now,
                    if run_s / expected_run_s > slow_ratio {
                        1.3
                    } else {
                        -0.5
                    },
                );
                self.key_served(now, attempt.runner, job.key);
            }
            Outcome::Full | Outcome::MaybeFull => {
                runner.slot_cap = (runner.slot_cap / 2.0).floor().max(1.0);
                (runner.free_slots, runner.reported_at_s, runner.full_at_s) = (0.0, now, now);
                // A weak bad sign: the runner may be full of the work of others, or hung with a full queue.
                self.add_evidence(attempt.runner, now, 1.0);
            }
            Outcome::Error | Outcome::Reset => {
                let weight = self.error_weight(attempt.runner);
                self.recent_results.push((attempt.runner, true, job.key));
                self.add_category_evidence(attempt.runner, job.category, now, weight);
                self.add_evidence(attempt.runner, now, weight);
            }
            // A dead runner that is still listed looks idle and so attracts work. A single failure may be the
            // network's fault; the runner gets no work for 1 s even if it cannot be ejected.
            Outcome::NoConnection => {
                runner.backoff_until_s = now + 1.0;
                self.add_evidence(attempt.runner, now, 3.0);
            }
            _ => self.add_evidence(attempt.runner, now, 0.0),
        }
        self.runners[attempt.runner].trial_until_s = None;
    }

    /// The evidence that an error adds against its runner: ln(0.4/p), where p is the recent rate of errors at
    /// all other runners. Errors that occur at any runner thus count little, such as those of a lock or store
    /// that all share, or of bad requests.
    pub(super) fn error_weight(&self, runner: usize) -> f64 {
        let others = self
            .recent_results
            .samples()
            .iter()
            .filter(|(at, ..)| *at != runner);
        let (total, failed) = others.fold((0.0, 0.0), |(total, failed), (_, has_failed, _)| {
            (total + 1.0, failed + *has_failed as u8 as f64)
        });
        // Without samples p is one in 33, the rate at healthy runners in the sequential test.
        (0.4 * (total + 33.0) / (failed + 1.0)).ln().clamp(0.0, 3.0)
    }

    /// Whether all recent work of a key failed, at three runners or more. Such work is not retried: it would
    /// occupy slots, and count against healthy runners, wherever it goes. This can do harm if just these
    /// three runners fail.
    pub(super) fn fails_everywhere(&self, key: u32) -> bool {
        let of_key = self
            .recent_results
            .samples()
            .iter()
            .filter(|(.., result_key)| *result_key == key && key != 0);
        let runners: BTreeSet<usize> = of_key.clone().map(|(runner, ..)| *runner).collect();
        runners.len() >= 3 && of_key.clone().all(|(_, has_failed, _)| *has_failed)
    }

    /// Applies the sequential test to a single category, and ejects the runner for that category if it fails.
    /// This finds a runner that fails one category only.
    pub(super) fn add_category_evidence(
        &mut self,
        runner: usize,
        category: usize,
        now: f64,
        weight: f64,
    ) {
        let (evidence, _) = self.runners[runner].category_evidence_mut(category);
        *evidence = (*evidence + weight).min(6.0);
        let evidence = *evidence;
        let is_out = |other: &&usize| {
            self.runners[**other].is_ejected_for(category, now)
                || self.runners[**other].ejected_until_s.is_some()
        };
        if evidence > 4.5
            && 2 * (self.subset.iter().filter(is_out).count() + 1) <= self.subset.len()
        {
            *self.runners[runner].category_evidence_mut(category) = (2.0, now + FIRST_EJECTION_S);
        }
    }

    /// The sequential test. The evidence is the log odds of "unhealthy" (4 bad signs in 10) against "healthy"
    /// (3 bad signs in 100). A bad sign adds ln(0.4/0.03) = 2.6, a good one adds ln(0.6/0.97) = -0.5. Above
    /// ln(0.95/0.01) = 4.5 the runner is ejected; it gets a trial at the end of each ejection and is ejected
    /// again if the trial fails. At most half of the ready runners are ejected at once: if more fail, the
    /// fault is not theirs.
    pub(super) fn add_evidence(&mut self, index: usize, now: f64, weight: f64) {
        let runner = &mut self.runners[index];
        runner.evidence = (runner.evidence + weight).clamp(0.0, 6.0);
        if runner.ejected_until_s.is_some() && runner.trial_until_s.is_some() {
            if weight < 0.0 {
                (runner.ejected_until_s, runner.evidence) = (None, 2.0);
            } else if weight > 0.0 {
                runner.ejection_s = (2.0 * runner.ejection_s).min(6.0);
                runner.ejected_until_s = Some(now + runner.ejection_s);
            }
        } else if runner.ejected_until_s.is_none() && runner.evidence > 4.5 {
            let ready = || self.runners.iter().filter(|other| other.is_ready());
            if 2 * (ready()
                .filter(|other| other.ejected_until_s.is_some())
                .count()
                + 1)
                <= ready().count()
            {
                let runner = &mut self.runners[index];
                runner.ejected_until_s = Some(now + runner.ejection_s);
            }
        } else if runner.evidence == 0.0 {
            runner.ejection_s = FIRST_EJECTION_S;
        }
    }

    /// Applies the other dispatchers' verdict on a runner, which the host has weighed. An unhealthy verdict
    /// outweighs the last good signs. A healthy verdict ends the runner's ejection within 0.1 s, at a random
    /// instant, so that the dispatchers do not all try the runner at once.
    pub fn apply_peer_verdict(&mut self, now: f64, runner: usize, healthy: bool) {
        match self.runners[runner].ejected_until_s {
            None if !healthy => self.add_evidence(runner, now, 6.0),
            Some(until)
                if healthy
                    && self.runners[runner].trial_until_s.is_none()
                    && until > now + CHECK_INTERVAL_S =>
            {
                self.runners[runner].ejected_until_s =
                    Some(now + CHECK_INTERVAL_S * self.pcg.uniform());
            }
            _ => {}
        }
    }

    /// Counts silence and missing progress of an attempt against its runner, and cancels the attempt if
    /// another one can still end in time. This finds runners that accept work and never answer.
    pub(super) fn check_progress(&mut self, host: &mut impl Host, handle: u32, now: f64) {
        let work_item = &self.work_items[handle as usize];
        let Some(attempt) = work_item
            .in_flight
            .as_ref()
            .filter(|attempt| !attempt.cancelled)
        else {
            return;
        };
        let (runner, expected_run_s, category) = (
            attempt.runner,
            self.expected_run_s(&work_item.job),
            work_item.job.category,
        );
        // With as many jobs running as ever at once, the wait for a start may be one behind this dispatcher's
        // own long jobs and is not silence.
        let is_full =
            self.runners[runner].own_running >= self.runners[runner].most_own_running.max(1.0);
        let allowed_silence_s = match attempt.started_at_s {
            // The load by other dispatchers is not known, so the attempt may wait for a run of theirs.
            None if self.config.uses_load_probes => SILENCE_S + 3.0 * expected_run_s,
            // Twice the longest recent wait, so that the queues of others or congestion are not taken for a
            // fault.
            None if self.config.reports_start && !is_full => {
                let is_load_unknown = self.config.dispatcher_count > 1
                    && self.start_waits.samples().len() < START_WAIT_SAMPLES;
                SILENCE_S
                    + 2.0 * self.longest_wait_s
                    + if is_load_unknown {
                        3.0 * expected_run_s
                    } else {
                        0.0
                    }
            }
            // Started jobs report at this interval.
            Some(_) if self.config.progress_interval_s > 0.0 => {
                2.2 * self.config.progress_interval_s
            }
            _ => SILENCE_S + 3.0 * expected_run_s,
        };
        // An attempt that waits for its start shows that the runner is full, even if a queue is in no load
        // report.
        let shows_full = self.config.uses_load_probes
            && attempt.started_at_s.is_none()
            && now > attempt.sent_at_s + PROMPT_START_S;
        // Runners report an acceptance at once, so an attempt without it was never accepted, even if the
        // runner is healthy otherwise.
        let never_accepted = self.config.reports_acceptance
            && attempt.last_sign_at_s <= attempt.sent_at_s
            && now > attempt.sent_at_s + SILENCE_S;
        let runner_heard_at_s = self.runners[runner].heard_at_s.max(if never_accepted {
            self.runners[runner].accepted_at_s
        } else {
            0.0
        });
        let heard_at_s = if attempt.started_at_s.is_some() {
            attempt.last_sign_at_s
        } else {
            attempt.last_sign_at_s.max(runner_heard_at_s)
        };
        let is_silent = now - heard_at_s > allowed_silence_s * (1.0 + attempt.silences as f64);
        let may_repeat = self.config.categories[category].repeat != Repeat::AtMostOnce;
        if attempt.started_at_s.is_none() && now > attempt.sent_at_s + PROMPT_START_S {
            self.runners[runner].start_wait = (now - attempt.sent_at_s, now);
        }
        if is_silent {
            self.work_items[handle as usize]
                .in_flight
                .as_mut()
                .unwrap()
                .silences += 1;
            self.add_evidence(runner, now, 2.6);
            host.runner_silent(runner);
        }
        if shows_full {
            (
                self.runners[runner].free_slots,
                self.runners[runner].reported_at_s,
            ) = (0.0, now);
        }
        let attempt = self.work_items[handle as usize].in_flight.as_ref().unwrap();
        let (remaining_s, makes_no_progress) = (
            attempt.remaining_s(),
            attempt.silences > 0 && now - attempt.last_sign_at_s > allowed_silence_s,
        );
        let is_stuck = makes_no_progress
            || remaining_s > 2.0 * expected_run_s && now + remaining_s > self.due_at_s(handle);
        // A started job reports at each interval. One and a half intervals without a report mean that it has
        // ended or makes no progress, whether or not its runner is healthy; its answer may have been lost on
        // the way back.
        let interval_s = self.config.progress_interval_s;
        let stopped_reporting = attempt.started_at_s.is_some()
            && interval_s > 0.0
            && now > attempt.last_sign_at_s + 1.5 * interval_s;
        if never_accepted {
            self.add_category_evidence(runner, category, now, 6.0);
        }
        // A stuck attempt is cancelled only at an ejected runner. Any attempt is cancelled only while another
        // one can still end in time.
        if (never_accepted
            || stopped_reporting
            || is_stuck && self.runners[runner].ejected_until_s.is_some())
            && may_repeat
            && self.may_attempt(handle, now)
        {
            self.cancel_attempt(host, handle);
        }
    }
}
