//! Measures the scheduler's periodic check, which includes a placement pass and a round of preemption, with a backlog of
//! steps that no runner can take, on 300 runners.

// `criterion_group!` generates a public function without a doc comment.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use sagetrail_protocol::agent::{Resources, RunnerReport};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::node::Now;
use sagetrail_protocol::service::{ConfigInForce, Restored, Service};
use sagetrail_protocol::{Message, NodeId, Time};
use sagetrail_scheduler::{CoreResources, Scheduler, SchedulerSettings};

const RUNNERS: u32 = 300;
const BACKLOGS: [u64; 3] = [1_000, 10_000, 40_000];
/// The interval of the periodic check, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 100;
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/",
    "kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":800,"priority":1,"service":"s",
    "max_attempts":3,"extension":2.0}],"services":[{"name":"s","health_path":"/healthz",
    "max_conns":64,"protocol":"h1","tls":false,"preconditions":false}],"limits":{}}"#;
/// A job whose label no runner has.
const JOB: &str = r#"{"stages":[{"count":1,"cpu":240,"mem_mb":250,"constraints":"b"}]}"#;

fn node(number: u32) -> NodeId {
    NodeId {
        ip: number,
        port: 1,
    }
}

/// Returns the next report of an idle runner of 16 cores.
fn report(number: u32, sequence: u64) -> RunnerReport {
    RunnerReport {
        agent: u64::from(number) + 1,
        sequence,
        sent_at: 0,
        term: 1,
        revision: u64::MAX,
        starts_resolved: true,
        has_runner: true,
        instance: format!("i-{number}").into(),
        service: "s".into(),
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
        draining: false,
        remaining_ms: 0,
        slow_start_remaining_ms: 0,
        capacity: Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
        labels: vec!["a".into(), format!("r1-{}", number / 3).into()].into(),
        active: Vec::new().into(),
        finished: Vec::new().into(),
        lease_expired: false,
        since_heartbeat_ms: 0,
    }
}

/// A scheduler with all runners and a backlog.
struct Backlog {
    scheduler: Scheduler,
    now: Now,
    sequence: u64,
}

impl Backlog {
    fn new(jobs: u64) -> Backlog {
        let now = Now {
            steady: Time(1_000_000),
            wall_ms: 1_000_000,
        };
        let restored = Restored {
            term: 1,
            node: node(u32::MAX),
            records: &BTreeMap::new(),
            config: Some(ConfigInForce {
                version: 1,
                document: Arc::new(CONFIG.as_bytes().to_vec()),
            }),
            seed: 7,
        };
        let settings = SchedulerSettings {
            bounds: Bounds::default(),
            resources: CoreResources {
                memory_mb: 1024.0,
                disk_mb: None,
            },
        };
        let mut backlog = Backlog {
            scheduler: Scheduler::new(settings, now, restored),
            now,
            sequence: 0,
        };
        for job in 0..jobs {
            let request = ClientRequest {
                request: job + 1,
                method: ClientMethod::Submit,
                host: "h".into(),
                path: format!("/q/{job:016x}").into(),
                body: JOB.as_bytes().to_vec().into(),
                config_version: 0,
                remaining_ms: 3000,
            };
            let message = Message::ClientRequest(request);
            backlog.scheduler.message(now, node(u32::MAX), message);
        }
        backlog.report_all();
        backlog.report_all();
        backlog.commit();
        backlog
    }

    fn report_all(&mut self) {
        self.sequence += 1;
        for number in 0..RUNNERS {
            let report = Message::RunnerReport(report(number, self.sequence));
            self.scheduler.message(self.now, node(number), report);
        }
        self.commit();
    }

    fn commit(&mut self) {
        while let Some(batch) = self.scheduler.take_batch() {
            self.scheduler.committed(self.now, batch.number);
        }
        self.scheduler.take_sends();
    }

    /// Advances the time to the next periodic check and performs it.
    fn check(&mut self) {
        self.now.steady = self.now.steady.plus_millis(CHECK_INTERVAL_MS);
        self.now.wall_ms += CHECK_INTERVAL_MS as i64;
        self.scheduler.wake(self.now);
        self.commit();
    }
}

fn periodic_check(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("periodic check");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(200));
    group.measurement_time(Duration::from_secs(1));
    for jobs in BACKLOGS {
        let mut backlog = Backlog::new(jobs);
        group.bench_function(BenchmarkId::from_parameter(jobs), |bencher| {
            bencher.iter_custom(|iterations| {
                let mut total = Duration::ZERO;
                for _ in 0..iterations {
                    // Keeps the runners in reach.
                    backlog.report_all();
                    let started = std::time::Instant::now();
                    backlog.check();
                    total += started.elapsed();
                }
                total
            });
        });
    }
    group.finish();
}

criterion_group!(benches, periodic_check);
criterion_main!(benches);
