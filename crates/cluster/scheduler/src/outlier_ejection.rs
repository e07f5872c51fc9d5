//! Outlier ejection: runners at which runs fail or stall while others do well get no new starts for a while.
//!
//! Evidence is a cumulative sum of log likelihood ratios (CUSUM; Page, "Continuous Inspection Schemes", Biometrika 41,
//! 1954): each end of a run speaks for the hypothesis that the runner fails `UNHEALTHY_FAILURE_RATE` of what it starts,
//! or against it, compared with the failure rate of its service. Over `SUSPECT_SCORE` the runner is ejected, then
//! tried with a single run.

use sagetrail_protocol::Time;
use std::collections::BTreeMap;

use crate::ids::JobId;

/// The part of its runs that an unhealthy runner fails.
const UNHEALTHY_FAILURE_RATE: f64 = 0.4;
/// The lower bound of a service's failure rate.
const MIN_BASELINE_RATE: f64 = 0.05;
/// The upper bound of a service's failure rate.
const MAX_BASELINE_RATE: f64 = 0.25;
/// Evidence over this makes a runner suspect: three failures in a row where work hardly ever fails.
const SUSPECT_SCORE: f64 = 5.0;
/// The first ejection's length in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// After so long without an ejection the next one is short again, in milliseconds.
const EJECTION_RESET_MS: u64 = 20_000;
/// A service's rate begins as if so many runs had ended at the lower bound: one runner's failures do not make it.
const PRIOR_RUNS: f64 = 100.0;
/// An end weighs half in a service's rate after so many further ones.
const BASELINE_HALF_LIFE_RUNS: f64 = 200.0;

/// How often runs fail in a service, over its recent past.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    /// Ended runs, decayed.
    ends: f64,
    /// Failed ones among them, decayed alike.
    failures: f64,
}

impl FailureRate {
    /// Counts an end.
    fn count(&mut self, failed: bool) {
        let decay = 0.5f64.powf(1.0 / BASELINE_HALF_LIFE_RUNS);
        self.ends = self.ends * decay + 1.0;
        self.failures = self.failures * decay + f64::from(u8::from(failed));
    }

    fn rate(self) -> f64 {
        let failures = self.failures + PRIOR_RUNS * MIN_BASELINE_RATE;
        (failures / (self.ends + PRIOR_RUNS)).clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE)
    }
}

/// The failure rates of all services, by name.
#[derive(Debug, Default)]
pub(crate) struct FailureRates(BTreeMap<String, FailureRate>);

impl FailureRates {
    /// Counts an end in a service. Returns the rate with this end.
    pub(crate) fn count(&mut self, service: &str, failed: bool) -> FailureRate {
        let rate = self.0.entry(service.to_owned()).or_default();
        rate.count(failed);
        *rate
    }
}

/// The evidence about one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerHealth {
    /// The cumulative sum; suspect from `SUSPECT_SCORE`.
    score: f64,
    /// The job that failed here last: failures of its other tasks are no new evidence.
    last_failed_job: Option<JobId>,
    /// The length of the newest ejection, in milliseconds; 0 for none.
    ejection_ms: u64,
    /// When it ends, or ended.
    ejected_until: Time,
    /// A run is out that tries a suspect runner.
    on_trial: bool,
}

impl RunnerHealth {
    /// A run ended well. A suspect runner is cleared by it.
    pub(crate) fn succeeded(&mut self, baseline: FailureRate) {
        self.last_failed_job = None;
        if !self.is_healthy() {
            self.score = 0.0;
            return;
        }
        let log_ratio = ((1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - baseline.rate())).ln();
        self.score = (self.score + log_ratio).max(0.0);
    }

    /// A run failed or stalled here whose task had not failed elsewhere before.
    pub(crate) fn failed(&mut self, now: Time, job: JobId, baseline: FailureRate) {
        self.on_trial = false;
        if self.last_failed_job == Some(job) && self.is_healthy() {
            return;
        }
        self.last_failed_job = Some(job);
        self.score += (UNHEALTHY_FAILURE_RATE / baseline.rate()).ln();
        // Runs that were in flight when the ejection began do not prolong it.
        if self.is_healthy() || now < self.ejected_until {
            return;
        }
        if now.millis_since(self.ejected_until) > EJECTION_RESET_MS {
            self.ejection_ms = 0;
        }
        self.ejection_ms = (self.ejection_ms * 2).clamp(FIRST_EJECTION_MS, MAX_EJECTION_MS);
        self.ejected_until = now.plus_millis(self.ejection_ms);
    }

    /// True where the runner is not suspect.
    pub(crate) fn is_healthy(&self) -> bool {
        self.score < SUSPECT_SCORE
    }

    /// True where a start may be tried now.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.is_healthy() || (now >= self.ejected_until && !self.on_trial)
    }

    /// A run was assigned: a suspect runner gets no other before this one's end.
    pub(crate) fn started(&mut self) {
        self.on_trial = !self.is_healthy();
    }

    /// A run is over, however it ended: a suspect runner may be tried again.
    pub(crate) fn trial_ended(&mut self) {
        self.on_trial = false;
    }
}
