//! When a job is due, and whether it can still end by then.
//!
//! A queue's objective is `extension` times the job's longest chain of work, plus `target_latency_ms`; up to three
//! times that a job still has some value. Chains are computed from the steps' estimates.

use crate::ids::StepId;
use crate::job::Job;
use crate::spec::JobSpec;

/// The extension of a queue that gives none.
pub(crate) const DEFAULT_EXTENSION: f64 = 2.0;
/// The target of a queue that gives none, in milliseconds.
pub(crate) const DEFAULT_TARGET_MS: f64 = 1_500.0;
/// Beyond this multiple of its objective a job has no value.
const LATE_FACTOR: f64 = 3.0;

/// Whether work can still meet its objective. Sorts by the order in which work is placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Expectation {
    /// It can end within its objective.
    InTime,
    /// It can end within three times its objective.
    Late,
    /// It cannot end while it has any value.
    Missed,
}

/// The objective of one step's job, and what to expect of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Objective {
    /// Whether it can still be met.
    pub expectation: Expectation,
    /// When the job, or this occurrence of it, is due to end, in milliseconds since 1970.
    pub due_ms: i64,
}

impl Objective {
    /// The objective of a step at a time of day, in milliseconds since 1970.
    pub(crate) fn of(job: &Job, id: StepId, wall_ms: i64) -> Objective {
        let Some(spec) = &job.spec else {
            return Objective {
                expectation: Expectation::Missed,
                due_ms: wall_ms,
            };
        };
        let begins_ms = spec
            .due_ms(id.occurrence)
            .unwrap_or(job.attributes.accepted_ms)
            .max(job.attributes.accepted_ms);
        let chains = chains_ms(spec);
        let longest_ms = chains.iter().copied().fold(0.0, f64::max);
        let queue = &job.attributes.queue;
        let objective_ms = queue.extension * longest_ms + queue.target_ms;
        let due_ms = begins_ms + objective_ms as i64;
        let long_running = job.stage(id).is_some_and(|stage| stage.long_running);
        let ends_ms = wall_ms + chains.get(id.step as usize).copied().unwrap_or(0.0) as i64;
        let expectation = if long_running || ends_ms <= due_ms {
            Expectation::InTime
        } else if ends_ms <= begins_ms + (LATE_FACTOR * objective_ms) as i64 {
            Expectation::Late
        } else {
            Expectation::Missed
        };
        Objective {
            expectation,
            due_ms,
        }
    }
}

/// For each step, the longest chain of work from its start to the job's end, in milliseconds.
fn chains_ms(spec: &JobSpec) -> Vec<f64> {
    let mut chains: Vec<f64> = spec.stages.iter().map(|stage| stage.estimate_ms).collect();
    for step in (0..spec.stages.len()).rev() {
        for &on in &spec.stages[step].depends_on {
            let through = spec.stages[on as usize].estimate_ms + chains[step];
            chains[on as usize] = chains[on as usize].max(through);
        }
    }
    chains
}
