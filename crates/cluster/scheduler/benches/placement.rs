//! Measures one placement pass over 64 pending steps of eight tasks each, with 12 and with 3,100 runners.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use sagetrail_scheduler::{AvailableRunner, JobId, Labels, Pass, PendingStep, StepId};
use std::collections::BTreeMap;

/// The number of pending steps in the backlog.
const PENDING_STEPS: u64 = 64;
/// The number of waiting tasks of each step.
const TASKS_PER_STEP: u32 = 8;
/// The number of runners in each rack.
const RUNNERS_PER_RACK: u32 = 3;

/// Returns `count` empty runners of 16 cores each.
fn runners(count: u32) -> Vec<AvailableRunner> {
    let runner = |number: u32| AvailableRunner {
        node: NodeId {
            ip: number,
            port: 1,
        },
        free: Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), format!("r1-{}", number / RUNNERS_PER_RACK)].into(),
        reservation: None,
        max_starts: u32::MAX,
        run_slots: u32::MAX,
        is_suspect: false,
        is_straggler: false,
    };
    (0..count).map(runner).collect()
}

/// Returns the backlog in its order. Steps with an even number have data in one of two racks.
fn pending_steps() -> Vec<PendingStep> {
    let step = |number: u64| PendingStep {
        id: StepId {
            job: JobId(number),
            occurrence: 0,
            step: 0,
        },
        priority: (number % 3) as u32,
        resources: Resources {
            cpu: 240,
            mem_mb: 250,
            gpu: 0,
        },
        waiting: TASKS_PER_STEP,
        is_gang: false,
        long_running: false,
        holds_for_rack: false,
        max_far_tasks: u32::MAX,
        takes_stragglers: false,
        ignores_drains: false,
        affinity: if number.is_multiple_of(2) {
            format!("r1-{}", number % 4)
        } else {
            String::new()
        },
        constraints: Labels::default(),
        anti_affinity: 0,
        assigned_per_runner: BTreeMap::new(),
        avoiding_per_runner: BTreeMap::new(),
    };
    let mut steps: Vec<PendingStep> = (0..PENDING_STEPS).map(step).collect();
    steps.sort_by_key(|step| (step.priority, step.id));
    steps
}

fn placement_pass(criterion: &mut Criterion) {
    for count in [12, 3_100] {
        criterion.bench_function(&format!("a pass at {count} runners"), |bencher| {
            let mut random = Pcg64Mcg::seed_from_u64(1);
            let input = || (runners(count), pending_steps());
            let run = |(runners, steps)| {
                Pass::new(runners, steps, Resources::default(), &mut random).run()
            };
            bencher.iter_batched(input, run, BatchSize::LargeInput);
        });
    }
}

criterion_group!(placement, placement_pass);
criterion_main!(placement);
