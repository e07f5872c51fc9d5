//! What a day came to, in figures.

use crate::checker::Violation;
use crate::engine::{Micros, MILLISECOND};
use crate::history::{History, Observation, ShownState};
use crate::workload::Workload;
use std::collections::{BTreeMap, BTreeSet};

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All broken rules.
    pub violations: Vec<Violation>,
    /// Messages that did not decode to what was encoded.
    pub codec_faults: Vec<String>,
    /// Jobs that clients wanted to submit.
    pub submitted: usize,
    /// Jobs whose submission was accepted.
    pub accepted: usize,
    /// Jobs that a client read as completed.
    pub completed: usize,
    /// Jobs that a client read as failed.
    pub failed: usize,
    /// Jobs that a client read as cancelled.
    pub cancelled: usize,
    /// Starts at runners.
    pub starts: usize,
    /// From the first send of a job to its first start.
    pub start_p50_ms: u64,
    /// The 99th percentile of these waits, in milliseconds.
    pub start_p99_ms: u64,
    /// Messages carried.
    pub messages: u64,
    /// The bytes of all messages carried.
    pub message_bytes: u64,
    /// See `digest`.
    pub digest: String,
    /// What was observed so far.
    pub history: History,
}

impl Report {
    /// Counts what was seen; rules are judged elsewhere.
    pub fn from_history(history: &History, workload: &Workload) -> Report {
        let mut report = Report {
            submitted: workload.plans.len(),
            ..Report::default()
        };
        let mut accepted = BTreeSet::new();
        let mut shown: BTreeMap<&str, &ShownState> = BTreeMap::new();
        for seen in &history.observations {
            match &seen.observation {
                Observation::SubmitAnswered { job, answer } if answer.is_success() => {
                    accepted.insert(job.as_str());
                }
                Observation::StateRead { job, state, .. } => {
                    shown.insert(job, state);
                }
                Observation::Started(_) => report.starts += 1,
                _ => (),
            }
        }
        let count = |wanted: &ShownState| shown.values().filter(|state| **state == wanted).count();
        report.accepted = accepted.len();
        report.completed = count(&ShownState::Completed);
        report.failed = count(&ShownState::Failed);
        report.cancelled = count(&ShownState::Cancelled);
        let waits = waits(history, workload);
        report.start_p50_ms = percentile(&waits, 50);
        report.start_p99_ms = percentile(&waits, 99);
        report
    }
}

/// Waits of jobs without due times for their first start, sorted.
fn waits(history: &History, workload: &Workload) -> Vec<u64> {
    let mut sent: BTreeMap<&str, Micros> = BTreeMap::new();
    let mut waits = Vec::new();
    for seen in &history.observations {
        match &seen.observation {
            Observation::SubmitSent { job } => {
                let timed = workload
                    .job_table
                    .jobs
                    .get(job)
                    .is_some_and(|job| job.repeat > 0);
                if !timed {
                    sent.entry(job).or_insert(seen.at);
                }
            }
            Observation::Started(start) => {
                let job = start.task.split('.').next().unwrap_or_default();
                if let Some(at) = sent.get_mut(job).filter(|at| **at != Micros::MAX) {
                    waits.push((seen.at - *at) / MILLISECOND);
                    *at = Micros::MAX;
                }
            }
            _ => (),
        }
    }
    waits.sort_unstable();
    waits
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}
