//! Attempts and probes of runners that this member observed, and their summary for other members.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Time in seconds for which an observation counts: it covers several runs and probes of a runner, and is shorter than
/// faults last.
const WINDOW_S: f64 = 3.0;
/// Duration of a bucket of observations in seconds.
const BUCKET_S: f64 = 0.5;
const BUCKET_COUNT: usize = (WINDOW_S / BUCKET_S) as usize;
/// Maximum number of runners kept at a time: more than any endpoint list names.
const MAX_RUNNERS: usize = 8192;
/// Age in [`Evidence`] of an observation that was never made.
pub(crate) const NEVER: u16 = u16::MAX;

/// One member's observations of one runner within the last 3 s. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Number of the runner.
    pub runner: u64,
    /// Attempts and probes that succeeded.
    pub successes: u16,
    /// Attempts and probes that failed.
    pub failures: u16,
    /// Time between the last success and the report in hundredths of a second; `u16::MAX` for never.
    pub last_success_ago: u16,
    /// Time between the last failure and the report in hundredths of a second; `u16::MAX` for never.
    pub last_failure_ago: u16,
}

/// Observations of one outcome, counted in a ring of buckets.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    buckets: [u16; BUCKET_COUNT],
    /// Time of the last observation, in seconds on the caller's clock.
    last_at_s: Option<f64>,
}

impl OutcomeCounts {
    fn record(&mut self, now_s: f64, bucket: u64) {
        let count = &mut self.buckets[ring_place(bucket)];
        *count = count.saturating_add(1);
        self.last_at_s = Some(now_s);
    }

    fn total(&self) -> u16 {
        self.buckets
            .iter()
            .fold(0, |total, count| total.saturating_add(*count))
    }

    /// Age of the last observation in hundredths of a second, or [`NEVER`].
    fn ago(&self, now_s: f64) -> u16 {
        self.last_at_s.map_or(NEVER, |last_at_s| {
            let hundredths = (now_s - last_at_s).max(0.0) * 100.0;
            hundredths.min(f64::from(NEVER - 1)) as u16
        })
    }
}

#[derive(Clone, Copy, Default)]
struct RunnerObservations {
    successes: OutcomeCounts,
    failures: OutcomeCounts,
    /// Number of the newest bucket, counted from time 0 of the caller's clock.
    bucket: u64,
}

impl RunnerObservations {
    /// Makes `bucket` the newest bucket, and clears the ring's slots for it and for the buckets skipped.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.bucket).min(BUCKET_COUNT as u64);
        for step in 1..=passed {
            let place = ring_place(self.bucket + step);
            self.successes.buckets[place] = 0;
            self.failures.buckets[place] = 0;
        }
        self.bucket = self.bucket.max(bucket);
    }

    fn is_empty(&self) -> bool {
        self.successes.total() == 0 && self.failures.total() == 0
    }

    fn evidence(&self, now_s: f64, runner: u64) -> Evidence {
        Evidence {
            runner,
            successes: self.successes.total(),
            failures: self.failures.total(),
            last_success_ago: self.successes.ago(now_s),
            last_failure_ago: self.failures.ago(now_s),
        }
    }
}

fn bucket_at(now_s: f64) -> u64 {
    (now_s.max(0.0) / BUCKET_S) as u64
}

fn ring_place(bucket: u64) -> usize {
    (bucket % BUCKET_COUNT as u64) as usize
}

/// This member's own observations by the runner's number.
#[derive(Default)]
pub struct Observations {
    by_runner: BTreeMap<u64, RunnerObservations>,
}

impl Observations {
    /// Records an attempt or probe of a runner. If the maximum number of runners is kept, a further one is ignored.
    pub fn record(&mut self, now_s: f64, runner: u64, succeeded: bool) {
        let bucket = bucket_at(now_s);
        if self.by_runner.len() >= MAX_RUNNERS && !self.by_runner.contains_key(&runner) {
            self.by_runner
                .retain(|_, observed| observed.bucket + BUCKET_COUNT as u64 > bucket);
            if self.by_runner.len() >= MAX_RUNNERS {
                return;
            }
        }
        let observed = self.by_runner.entry(runner).or_default();
        observed.advance(bucket);
        let newest = observed.bucket;
        if succeeded {
            observed.successes.record(now_s, newest);
        } else {
            observed.failures.record(now_s, newest);
        }
    }

    /// Evidence to report, in descending order of the time of the last failure.
    pub fn evidence(&mut self, now_s: f64) -> Vec<Evidence> {
        let bucket = bucket_at(now_s);
        self.by_runner.retain(|_, observed| {
            observed.advance(bucket);
            !observed.is_empty()
        });
        let mut evidence: Vec<Evidence> = self
            .by_runner
            .iter()
            .map(|(runner, observed)| observed.evidence(now_s, *runner))
            .collect();
        evidence.sort_by_key(|one| (one.last_failure_ago, one.last_success_ago, one.runner));
        evidence
    }
}
