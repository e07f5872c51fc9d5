//! Evidence about a runner: ends of work there, weighed against how often work fails anywhere in its service.
//!
//! A cumulative sum of log likelihood ratios (CUSUM): each end speaks for the hypothesis that the runner fails
//! `UNWELL_RATE` of what it starts, or against it. Over `SUSPECT_SCORE` the runner rests, then is tried with one run.

use crate::ids::JobId;
use sagetrail_protocol::Time;

/// The share of its runs that an unwell runner fails.
const UNHEALTHY_FAILURE_RATE: f64 = 0.4;
/// The bounds of the usual share of failed runs.
const MIN_BASELINE_RATE: f64 = 0.05;
const MAX_BASELINE_RATE: f64 = 0.25;
/// Evidence over this makes a runner suspect: three failures in a row where work hardly ever fails.
const SUSPECT_SCORE: f64 = 5.0;
/// A suspect runner is tried again after this, doubled with each time that it is found unwell, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// The longest rest, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// After so long without suspicion rests begin with the shortest again, in milliseconds.
const EJECTION_RESET_MS: u64 = 20_000;
/// The usual rate begins as if so many ends had been seen: one runner's failures alone do not make it.
const PRIOR_RUNS: f64 = 100.0;
/// Ends weigh half in the usual rate after so many further ones.
const BASELINE_HALF_LIFE_RUNS: f64 = 200.0;

/// How often work fails in a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureRate {
    ends: f64,
    failures: f64,
}

impl FailureRate {
    /// Notes an end.
    pub(crate) fn note(&mut self, failed: bool) {
        let part = 0.5f64.powf(1.0 / BASELINE_HALF_LIFE_RUNS);
        self.ends = self.ends * part + 1.0;
        self.failures = self.failures * part + f64::from(u8::from(failed));
    }

    fn rate(self) -> f64 {
        let failures = self.failures + PRIOR_RUNS * MIN_BASELINE_RATE;
        (failures / (self.ends + PRIOR_RUNS)).clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE)
    }
}

/// What is known of a runner's work.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerHealth {
    score: f64,
    /// The job that failed here last: its further tasks tell nothing new.
    last_failed_job: Option<JobId>,
    ejection_ms: u64,
    ejected_until: Time,
    /// A single run tries a suspect runner.
    on_trial: bool,
}

impl RunnerHealth {
    /// A run ended well: of a suspect runner, suspicion is over.
    pub(crate) fn succeeded(&mut self, baseline: FailureRate) {
        self.last_failed_job = None;
        if !self.is_healthy() {
            self.score = 0.0;
            return;
        }
        let against = ((1.0 - UNHEALTHY_FAILURE_RATE) / (1.0 - baseline.rate())).ln();
        self.score = (self.score + against).max(0.0);
    }

    /// A run failed here, or stood still, whose task had not failed elsewhere before.
    pub(crate) fn failed(&mut self, now: Time, job: JobId, baseline: FailureRate) {
        self.on_trial = false;
        if self.last_failed_job == Some(job) && self.is_healthy() {
            return;
        }
        self.last_failed_job = Some(job);
        self.score += (UNHEALTHY_FAILURE_RATE / baseline.rate()).ln();
        // Runs that were under way when the rest began end it no later.
        if self.is_healthy() || now < self.ejected_until {
            return;
        }
        if now.millis_since(self.ejected_until) > EJECTION_RESET_MS {
            self.ejection_ms = 0;
        }
        self.ejection_ms = (self.ejection_ms * 2).clamp(FIRST_EJECTION_MS, MAX_EJECTION_MS);
        self.ejected_until = now.plus_millis(self.ejection_ms);
    }

    /// True where nothing speaks against the runner.
    pub(crate) fn is_healthy(&self) -> bool {
        self.score < SUSPECT_SCORE
    }

    /// True where a start may be tried now.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.is_healthy() || (now >= self.ejected_until && !self.on_trial)
    }

    /// A start is tried: a suspect runner gets no further one before this one's end.
    pub(crate) fn started(&mut self) {
        self.on_trial = !self.is_healthy();
    }

    /// A run is over, however it ended: another may be tried.
    pub(crate) fn trial_ended(&mut self) {
        self.on_trial = false;
    }
}
