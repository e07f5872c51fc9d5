//! The objective of a job: when it is due to end, and whether it can still end by then.
//!
//! The objective is a time span from the start of the job or occurrence: the queue's `extension` times the job's
//! longest chain of dependent steps, plus the queue's `target_latency_ms`. A job that ends later, but within three
//! times its objective, still has some value. The lengths of chains are computed from the steps' estimates.

use crate::ids::StepId;
use crate::job::Job;
use crate::spec::JobSpec;

/// The `extension` of a job whose queue the configuration does not define.
pub(crate) const DEFAULT_EXTENSION: f64 = 2.0;
/// The `target_latency_ms` of a job whose queue the configuration does not define, in milliseconds.
pub(crate) const DEFAULT_TARGET_MS: f64 = 1_500.0;
/// A job that ends later than this multiple of its objective has no value.
const LATE_FACTOR: f64 = 3.0;

/// States whether a step's job can still meet its objective. Sorts by the order in which steps are placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Expectation {
    /// The job can end within its objective.
    InTime,
    /// The job can end within three times its objective, but not within the objective.
    Late,
    /// The job cannot end within three times its objective, so it no longer has any value.
    Missed,
}

/// The due time of one step's job, and whether it can still be met.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Objective {
    /// States whether the objective can still be met.
    pub expectation: Expectation,
    /// The time at which the job, or this occurrence of it, is due to end, in milliseconds since 1970.
    pub due_ms: i64,
}

impl Objective {
    /// Computes the objective of a step at the time of day `wall_ms`, in milliseconds since 1970.
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

/// Returns for each step the length of the longest chain of dependent steps that begins with it, in milliseconds.
fn chains_ms(spec: &JobSpec) -> Vec<f64> {
    let mut chains: Vec<f64> = spec.stages.iter().map(|stage| stage.estimate_ms).collect();
    for step in (0..spec.stages.len()).rev() {
        for &dependency in &spec.stages[step].depends_on {
            let chain_ms = spec.stages[dependency as usize].estimate_ms + chains[step];
            chains[dependency as usize] = chains[dependency as usize].max(chain_ms);
        }
    }
    chains
}
