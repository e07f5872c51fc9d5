//! The load, drawn ahead of time: which job is submitted when. Slow answers shift nothing.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{JobShape, Scenario};

/// A job's time per task, as a part of its shape's mean: the least, and the span above it.
const LEAST_PART: f64 = 0.5;
const PART_SPAN: f64 = 1.0;

/// A job to submit.
#[derive(Clone, PartialEq, Debug)]
pub struct PlannedJob {
    /// From the start of the load.
    pub at: Duration,
    /// The number of the job, unique in the run.
    pub id: u64,
    /// Its shape's place in the scenario.
    pub shape: usize,
    /// The time that each of its tasks takes, in milliseconds.
    pub work_ms: u64,
}

/// Draws all jobs of a run, sorted by time.
pub fn draw(scenario: &Scenario) -> Vec<PlannedJob> {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut jobs = Vec::new();
    for (place, shape) in scenario.job.iter().enumerate() {
        draw_shape(scenario, place, shape, &mut random, &mut jobs);
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn draw_shape(
    scenario: &Scenario,
    place: usize,
    shape: &JobShape,
    random: &mut Pcg64Mcg,
    jobs: &mut Vec<PlannedJob>,
) {
    let Ok(gaps) = Exp::new(scenario.rate(shape)) else {
        return;
    };
    let end = scenario.warm_up_s + scenario.measured_s;
    let mut at = gaps.sample(random);
    while at < end {
        let part = LEAST_PART + PART_SPAN * random.random::<f64>();
        let work_ms = (shape.work_ms as f64 * part) as u64;
        jobs.push(PlannedJob {
            at: Duration::from_secs_f64(at),
            id: random.random(),
            shape: place,
            work_ms,
        });
        at += gaps.sample(random);
    }
}

/// The text that tells a simulated runner what a task is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskText {
    /// The time that the task takes, in milliseconds.
    pub work_ms: u64,
    /// Members of the gang; 0 for none.
    pub gang: u32,
}

impl TaskText {
    /// The text as it goes into a job.
    pub fn write(self) -> String {
        format!("{} {}", self.work_ms, self.gang)
    }

    /// Reads it back.
    pub fn read(text: &str) -> Option<TaskText> {
        let (work_ms, gang) = text.split_once(' ')?;
        Some(TaskText {
            work_ms: work_ms.parse().ok()?,
            gang: gang.parse().ok()?,
        })
    }
}
