//! One pass of the placement: 64 held steps of eight tasks at 12 and at 3,100 runners.

// `criterion_group!` makes a public function without a doc comment.
#![allow(missing_docs)]

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use sagetrail_scheduler::placement::{AvailableRunner, Pass, PendingStep};
use sagetrail_scheduler::spec::Labels;
use sagetrail_scheduler::{JobId, StepId};
use std::collections::BTreeMap;

const HELD_STEPS: u64 = 64;
const TASKS_OF_A_STEP: u32 = 8;
const RUNNERS_OF_A_RACK: u32 = 3;

fn runners(count: u32) -> Vec<AvailableRunner> {
    let runner = |number: u32| AvailableRunner {
        node: NodeId {
            ip: number,
            port: 1,
        },
        room: Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), format!("r1-{}", number / RUNNERS_OF_A_RACK)].into(),
        reserved: None,
        starts: u32::MAX,
    };
    (0..count).map(runner).collect()
}

fn held() -> Vec<PendingStep> {
    let step = |number: u64| PendingStep {
        id: StepId {
            job: JobId(number),
            time: 0,
            step: 0,
        },
        priority: (number % 3) as u32,
        resources: Resources {
            cpu: 240,
            mem_mb: 250,
            gpu: 0,
        },
        waiting: TASKS_OF_A_STEP,
        gang: false,
        long_running: false,
        rack_local: false,
        held_ms: 0,
        affinity: if number.is_multiple_of(2) {
            format!("r1-{}", number % 4)
        } else {
            String::new()
        },
        constraints: Labels::default(),
        anti_affinity: 0,
        running_at: BTreeMap::new(),
        avoiding: BTreeMap::new(),
    };
    let mut held: Vec<PendingStep> = (0..HELD_STEPS).map(step).collect();
    held.sort_by_key(|step| (step.priority, step.id));
    held
}

fn pass_pacing(criterion: &mut Criterion) {
    for count in [12, 3_100] {
        criterion.bench_function(&format!("a pass at {count} runners"), |bencher| {
            let mut random = Pcg64Mcg::seed_from_u64(1);
            let input = || (runners(count), held());
            let run =
                |(runners, held)| Pass::new(runners, held, Resources::default(), &mut random).run();
            bencher.iter_batched(input, run, BatchSize::LargeInput);
        });
    }
}

criterion_group!(placement, pass_pacing);
criterion_main!(placement);
