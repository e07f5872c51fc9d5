//! Evidence about a runner: ends of work there, weighed against how often work fails anywhere in its service.
//!
//! A cumulative sum of log likelihood ratios (CUSUM): each end speaks for the hypothesis that the runner fails
//! `UNWELL_RATE` of what it starts, or against it. Over `SUSPECT_SCORE` the runner rests, then is tried with one run.

use crate::ids::JobId;
use sagetrail_protocol::Time;

/// The share of its runs that an unwell runner fails.
const UNWELL_RATE: f64 = 0.4;
/// The bounds of the usual share of failed runs.
const LEAST_USUAL_RATE: f64 = 0.05;
const MOST_USUAL_RATE: f64 = 0.25;
/// Evidence over this makes a runner suspect: three failures in a row where work hardly ever fails.
const SUSPECT_SCORE: f64 = 5.0;
/// A suspect runner is tried again after this, doubled with each time that it is found unwell, in milliseconds.
const FIRST_REST_MS: u64 = 1_000;
/// The longest rest, in milliseconds.
const LONGEST_REST_MS: u64 = 8_000;
/// After so long without suspicion rests begin with the shortest again, in milliseconds.
const FORGIVEN_AFTER_MS: u64 = 20_000;
/// The usual rate begins as if so many ends had been seen: one runner's failures alone do not make it.
const PRIOR_ENDS: f64 = 100.0;
/// Ends weigh half in the usual rate after so many further ones.
const USUAL_HALF_LIFE: f64 = 200.0;

/// How often work fails in a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UsualRate {
    ends: f64,
    failures: f64,
}

impl UsualRate {
    /// Notes an end.
    pub(crate) fn note(&mut self, failed: bool) {
        let part = 0.5f64.powf(1.0 / USUAL_HALF_LIFE);
        self.ends = self.ends * part + 1.0;
        self.failures = self.failures * part + f64::from(u8::from(failed));
    }

    fn rate(self) -> f64 {
        let failures = self.failures + PRIOR_ENDS * LEAST_USUAL_RATE;
        (failures / (self.ends + PRIOR_ENDS)).clamp(LEAST_USUAL_RATE, MOST_USUAL_RATE)
    }
}

/// What is known of a runner's work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    score: f64,
    /// The job that failed here last: its further tasks tell nothing new.
    blamed_for: Option<JobId>,
    rest_ms: u64,
    rests_until: Time,
    /// A single run tries a suspect runner.
    on_trial: bool,
}

impl Health {
    /// A run ended well: of a suspect runner, suspicion is over.
    pub(crate) fn succeeded(&mut self, usual: UsualRate) {
        self.blamed_for = None;
        if !self.is_well() {
            self.score = 0.0;
            return;
        }
        let against = ((1.0 - UNWELL_RATE) / (1.0 - usual.rate())).ln();
        self.score = (self.score + against).max(0.0);
    }

    /// A run failed here, or stood still, whose task had not failed elsewhere before.
    pub(crate) fn failed(&mut self, now: Time, job: JobId, usual: UsualRate) {
        self.on_trial = false;
        if self.blamed_for == Some(job) && self.is_well() {
            return;
        }
        self.blamed_for = Some(job);
        self.score += (UNWELL_RATE / usual.rate()).ln();
        // Runs that were under way when the rest began end it no later.
        if self.is_well() || now < self.rests_until {
            return;
        }
        if now.millis_since(self.rests_until) > FORGIVEN_AFTER_MS {
            self.rest_ms = 0;
        }
        self.rest_ms = (self.rest_ms * 2).clamp(FIRST_REST_MS, LONGEST_REST_MS);
        self.rests_until = now.plus_millis(self.rest_ms);
    }

    /// True where nothing speaks against the runner.
    pub(crate) fn is_well(&self) -> bool {
        self.score < SUSPECT_SCORE
    }

    /// True where a start may be tried now.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.is_well() || (now >= self.rests_until && !self.on_trial)
    }

    /// A start is tried: a suspect runner gets no further one before this one's end.
    pub(crate) fn started(&mut self) {
        self.on_trial = !self.is_well();
    }

    /// A run is over, however it ended: another may be tried.
    pub(crate) fn trial_over(&mut self) {
        self.on_trial = false;
    }
}
