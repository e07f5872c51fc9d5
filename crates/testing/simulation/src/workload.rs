//! Jobs of a day, drawn from a seed: all shapes that the protocol knows.

use crate::client::JobPlan;
use crate::engine::{Chance, Micros, MILLISECOND, SECOND, WALL_START_MS};
use crate::job::{JobDefinition, JobTable, StepDefinition};

/// The host of all queues.
pub const HOST: &str = "queue.example";

/// A queue and what its runners have.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePlan {
    /// The path prefix of the queue.
    pub prefix: String,
    /// The service.
    pub service: String,
    /// True where its runners have graphics processors.
    pub has_gpu: bool,
}

/// How many jobs come, and of which kind.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadPlan {
    /// The queues.
    pub queues: Vec<QueuePlan>,
    /// When the first may come.
    pub from: Micros,
    /// When the last may come.
    pub until: Micros,
    /// How many.
    pub jobs: u64,
    /// Shares of all jobs.
    pub gangs: f64,
    /// The part of long-running jobs.
    pub long_running: f64,
    /// The part of jobs with several occurrences.
    pub repeated: f64,
    /// The part of jobs that are cancelled.
    pub cancelled: f64,
    /// The share of jobs all of whose runs fail.
    pub poison: f64,
    /// The share of runs that fail by their own fault.
    pub failing: f64,
    /// The racks that jobs name.
    pub racks: Vec<String>,
    /// The labels that jobs name.
    pub labels: Vec<String>,
}

/// The jobs of a day and what clients do with them.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    /// The jobs by ID.
    pub job_table: JobTable,
    /// What clients do with each.
    pub plans: Vec<JobPlan>,
}

/// Draws the jobs of a day.
pub fn draw(chance: &mut Chance, plan: &WorkloadPlan) -> Workload {
    let mut workload = Workload::default();
    for number in 0..plan.jobs {
        let submit_at = chance.between(plan.from, plan.until);
        let job = draw_job(chance, plan, number, submit_at);
        let cancelled = job.long_running || chance.happens(plan.cancelled);
        let cancel_at = cancelled.then(|| submit_at + chance.between(SECOND, 25 * SECOND));
        let client = JobPlan {
            job: job.id.clone(),
            host: HOST.into(),
            submit_at,
            cancel_at,
        };
        workload.plans.push(client);
        workload.job_table.jobs.insert(job.id.clone(), job);
    }
    workload
}

fn draw_job(
    chance: &mut Chance,
    plan: &WorkloadPlan,
    number: u64,
    submit_at: Micros,
) -> JobDefinition {
    let queue = &plan.queues[chance.index(plan.queues.len())];
    let mut job = JobDefinition {
        id: format!("{:08x}{:08x}", chance.between(0, 1 << 32), number),
        spec: format!("work of job {number}"),
        prefix: queue.prefix.clone(),
        failing: if chance.happens(plan.poison) {
            1.0
        } else {
            plan.failing
        },
        ..JobDefinition::default()
    };
    if chance.happens(plan.long_running) {
        job.long_running = true;
        job.steps = vec![StepDefinition {
            anti_affinity: chance.between(0, 3),
            ..plain_step(chance)
        }];
    } else if queue.has_gpu && chance.happens(plan.gangs) {
        job.steps = vec![gang_step(chance)];
    } else {
        job.steps = chain(chance, plan);
    }
    if !job.long_running && chance.happens(plan.repeated) {
        job.repeat = chance.between(1, 5);
        job.interval_ms = chance.between(500, 3_000);
        job.first_run_ms =
            WALL_START_MS + (submit_at / MILLISECOND) as i64 + chance.between(0, 6_000) as i64
                - 1_000;
    }
    job
}

fn plain_step(chance: &mut Chance) -> StepDefinition {
    StepDefinition {
        count: chance.between(1, 8),
        cpu: chance.between(50, 1_500),
        mem_mb: chance.between(50, 1_500),
        work: chance.between(100, 4_000) * MILLISECOND,
        checkpoints: chance.happens(0.5),
        ..StepDefinition::default()
    }
}

fn gang_step(chance: &mut Chance) -> StepDefinition {
    StepDefinition {
        count: chance.between(2, 5),
        cpu: chance.between(500, 15_000),
        mem_mb: chance.between(500, 20_000),
        gpu: chance.between(1, 9),
        work: chance.between(500, 6_000) * MILLISECOND,
        gang: true,
        rack_local: chance.happens(0.5),
        checkpoints: chance.happens(0.7),
        ..StepDefinition::default()
    }
}

fn chain(chance: &mut Chance, plan: &WorkloadPlan) -> Vec<StepDefinition> {
    let length = chance.between(1, 4) as usize;
    let mut steps = Vec::with_capacity(length);
    for number in 0..length {
        let mut step = plain_step(chance);
        if number > 0 && chance.happens(0.8) {
            step.depends_on = vec![chance.index(number)];
        }
        match chance.between(0, 10) {
            0 => step.anti_affinity = chance.between(1, 4),
            1 | 2 if !plan.racks.is_empty() => {
                step.affinity = plan.racks[chance.index(plan.racks.len())].clone()
            }
            3 if !plan.labels.is_empty() => {
                step.constraints = plan.labels[chance.index(plan.labels.len())].clone()
            }
            4 => step.speculative = true,
            _ => (),
        }
        steps.push(step);
    }
    steps
}
