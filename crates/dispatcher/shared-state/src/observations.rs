//! What this member observed of runners, and its summary for others.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How long observations count, in seconds: several runs and probes of a runner, and less than faults last.
const WINDOW_S: f64 = 3.0;
/// The length of a bucket of observations, in seconds.
const BUCKET_S: f64 = 0.5;
const BUCKET_COUNT: usize = (WINDOW_S / BUCKET_S) as usize;
/// Runners at once: more than any endpoint list names.
const MAX_RUNNERS: usize = 8192;
/// In [`Evidence`], stands for an observation that never was.
pub(crate) const NEVER: u16 = u16::MAX;

/// One member's observations of one runner within the last 3 s. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The runner's number.
    pub runner: u64,
    /// Attempts and probes that succeeded.
    pub successes: u16,
    /// Attempts and probes that failed.
    pub failures: u16,
    /// How long before the report the last success was, in hundredths of a second; the largest number for never.
    pub last_success_ago: u16,
    /// The same of the last failure.
    pub last_failure_ago: u16,
}

/// Counts of one outcome in a ring of buckets.
#[derive(Clone, Copy, Default)]
struct OutcomeCounts {
    buckets: [u16; BUCKET_COUNT],
    last_at: Option<f64>,
}

impl OutcomeCounts {
    fn record(&mut self, now: f64, bucket: u64) {
        let count = &mut self.buckets[ring_place(bucket)];
        *count = count.saturating_add(1);
        self.last_at = Some(now);
    }

    fn total(&self) -> u16 {
        self.buckets
            .iter()
            .fold(0, |total, count| total.saturating_add(*count))
    }

    fn ago(&self, now: f64) -> u16 {
        self.last_at.map_or(NEVER, |last_at| {
            let hundredths = (now - last_at).max(0.0) * 100.0;
            hundredths.min(f64::from(NEVER - 1)) as u16
        })
    }
}

#[derive(Clone, Copy, Default)]
struct RunnerObservations {
    successes: OutcomeCounts,
    failures: OutcomeCounts,
    /// The newest bucket.
    bucket: u64,
}

impl RunnerObservations {
    /// Empties the buckets that have ended since the newest.
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

    fn evidence(&self, now: f64, runner: u64) -> Evidence {
        Evidence {
            runner,
            successes: self.successes.total(),
            failures: self.failures.total(),
            last_success_ago: self.successes.ago(now),
            last_failure_ago: self.failures.ago(now),
        }
    }
}

fn bucket_at(now: f64) -> u64 {
    (now.max(0.0) / BUCKET_S) as u64
}

fn ring_place(bucket: u64) -> usize {
    (bucket % BUCKET_COUNT as u64) as usize
}

/// What this member observed itself, by the runner's number.
#[derive(Default)]
pub struct Observations {
    by_runner: BTreeMap<u64, RunnerObservations>,
}

impl Observations {
    /// Records an attempt or probe of a runner. When too many runners are kept, another one is ignored.
    pub fn record(&mut self, now: f64, runner: u64, succeeded: bool) {
        let bucket = bucket_at(now);
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
            observed.successes.record(now, newest);
        } else {
            observed.failures.record(now, newest);
        }
    }

    /// The evidence to report, the latest failure first.
    pub fn evidence(&mut self, now: f64) -> Vec<Evidence> {
        let bucket = bucket_at(now);
        self.by_runner.retain(|_, observed| {
            observed.advance(bucket);
            !observed.is_empty()
        });
        let mut evidence: Vec<Evidence> = self
            .by_runner
            .iter()
            .map(|(runner, observed)| observed.evidence(now, *runner))
            .collect();
        evidence.sort_by_key(|one| (one.last_failure_ago, one.last_success_ago, one.runner));
        evidence
    }
}
