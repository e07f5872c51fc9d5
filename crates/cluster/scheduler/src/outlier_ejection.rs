//! Outlier ejection: a runner at which runs fail or stall while other runners succeed gets no new starts for a while.
//!
//! The evidence against a runner is a cumulative sum of log likelihood ratios (CUSUM; Page, "Continuous Inspection
//! Schemes", Biometrika 41, 1954). Each end of a run is evidence for or against the hypothesis that the runner fails
//! the share `UNHEALTHY_FAILURE_RATE` of its runs, compared with the failure rate of its service (the baseline). From
//! `SUSPECT_SCORE` on, the runner is suspect: it is ejected for a while and then gets a single trial, which is one run or
//! all members of one gang. A trial keeps other work away for a limited time only, because the run may take long.

use sagetrail_protocol::Time;
use std::collections::BTreeMap;

use crate::ids::JobId;

/// The share of its runs that an unhealthy runner fails, from 0 to 1.
const UNHEALTHY_FAILURE_RATE: f64 = 0.4;
/// The lower bound of a service's failure rate, as a share of its ended runs from 0 to 1.
const MIN_BASELINE_RATE: f64 = 0.05;
/// The upper bound of a service's failure rate, as a share of its ended runs from 0 to 1.
const MAX_BASELINE_RATE: f64 = 0.25;
/// The score from which a runner is suspect. Three failures in a row reach it if the service's failure rate is at its
/// lower bound.
const SUSPECT_SCORE: f64 = 5.0;
/// The length of the first ejection, in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The maximum length of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// The time after the end of an ejection, in milliseconds, after which the next one starts again at
/// `FIRST_EJECTION_MS`.
const EJECTION_RESET_MS: u64 = 20_000;
/// The time after which another trial may start although the last one has not ended, in milliseconds. A long-running
/// task that stays at work for this time has succeeded as a trial, because it never ends.
pub(crate) const TRIAL_MS: u64 = 2_000;
/// The weight, in ended runs, of the initial assumption that a service's failure rate is at its lower bound. It keeps
/// the failures of a single runner from determining the rate.
const PRIOR_RUNS: f64 = 100.0;
/// The number of further ends of runs after which an end has half its weight in its service's failure rate.
const BASELINE_HALF_LIFE_RUNS: f64 = 200.0;

/// How often runs of a service have recently failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    /// The number of ended runs, decayed with each further end.
    ends: f64,
    /// The number of failed runs among them, decayed in the same way.
    failures: f64,
}

impl FailureRate {
    /// Records the end of a run.
    fn record_end(&mut self, failed: bool) {
        let decay = 0.5f64.powf(1.0 / BASELINE_HALF_LIFE_RUNS);
        self.ends = self.ends * decay + 1.0;
        self.failures = self.failures * decay + f64::from(u8::from(failed));
    }

    /// Returns the share of runs that fail, from `MIN_BASELINE_RATE` to `MAX_BASELINE_RATE`.
    fn rate(self) -> f64 {
        let failures = self.failures + PRIOR_RUNS * MIN_BASELINE_RATE;
        (failures / (self.ends + PRIOR_RUNS)).clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE)
    }
}

/// The failure rates of all services, by the service's name.
#[derive(Debug, Default)]
pub(crate) struct FailureRates(BTreeMap<String, FailureRate>);

impl FailureRates {
    /// Records the end of a run in a service. Returns the failure rate that includes this end.
    pub(crate) fn record_end(&mut self, service: &str, failed: bool) -> FailureRate {
        let rate = self.0.entry(service.to_owned()).or_default();
        rate.record_end(failed);
        *rate
    }
}

/// The evidence that one runner is unhealthy, and the runner's ejections.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerHealth {
    /// The cumulative sum of log likelihood ratios; the runner is suspect from `SUSPECT_SCORE` on.
    score: f64,
    /// The job of the newest failed run here, if no run has succeeded since. At a healthy runner, failures of the same
    /// job's other tasks are no new evidence.
    last_failed_job: Option<JobId>,
    /// The length of the newest ejection, in milliseconds; 0 before the first one.
    ejection_ms: u64,
    /// The time at which the newest ejection ends or ended.
    ejected_until: Time,
    /// The time at which the newest trial of this suspect runner started; `None` if it has ended.
    trial_started_at: Option<Time>,
}

impl RunnerHealth {
    /// Records a run that succeeded. A suspect runner becomes healthy by it.
    pub(crate) fn record_success(&mut self, baseline: FailureRate) {
        self.last_failed_job = None;
        if !self.is_healthy() {
            self.score = 0.0;
            return;
        }
        let log_ratio = ((1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - baseline.rate())).ln();
        self.score = (self.score + log_ratio).max(0.0);
    }

    /// Records a run that failed or stalled here and whose task had not failed at another runner before.
    pub(crate) fn record_failure(&mut self, now: Time, job: JobId, baseline: FailureRate) {
        self.trial_started_at = None;
        if self.last_failed_job == Some(job) && self.is_healthy() {
            return;
        }
        self.last_failed_job = Some(job);
        self.score += (UNHEALTHY_FAILURE_RATE / baseline.rate()).ln();
        // Failures of runs that were in flight when the ejection began do not prolong it.
        if self.is_healthy() || now < self.ejected_until {
            return;
        }
        if now.millis_since(self.ejected_until) > EJECTION_RESET_MS {
            self.ejection_ms = 0;
        }
        self.ejection_ms = (self.ejection_ms * 2).clamp(FIRST_EJECTION_MS, MAX_EJECTION_MS);
        self.ejected_until = now.plus_millis(self.ejection_ms);
    }

    /// Returns true if the runner is not suspect.
    pub(crate) fn is_healthy(&self) -> bool {
        self.score < SUSPECT_SCORE
    }

    /// Returns true if a run may start now: the runner is healthy, or its ejection is over and no trial is under way.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.is_healthy() || (now >= self.ejected_until && !self.is_on_trial(now))
    }

    fn is_on_trial(&self, now: Time) -> bool {
        self.trial_started_at
            .is_some_and(|started| now < started.plus_millis(TRIAL_MS))
    }

    /// Returns true if a run that was assigned at this time is a trial of the runner, which is still suspect.
    pub(crate) fn is_trial_run(&self, assigned_at: Time) -> bool {
        !self.is_healthy() && assigned_at >= self.ejected_until
    }

    /// Records that a run was assigned. At a suspect runner it is a trial.
    pub(crate) fn record_start(&mut self, now: Time) {
        self.trial_started_at = (!self.is_healthy()).then_some(now);
    }

    /// Records that a run is over, whatever its result, so that a suspect runner may get another trial.
    pub(crate) fn end_trial(&mut self) {
        self.trial_started_at = None;
    }
}
