//! A simulated runner keeps to the protocol, on a clock of the test's own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::sync::mpsc::UnboundedReceiver;

use sagetrail_scale_testing::run_statistics::{CompletedJob, ExpectedJob, RunStatistics};
use sagetrail_scale_testing::simulated_worker::{HeartbeatAnswer, RunnerProfile, SimulatedRunner};

const TASK: &str = "00000000000000aa.0.0.0";
const OTHER: &str = "00000000000000aa.0.0.1";
const JOB: u64 = 0xaa;

struct Stage {
    statistics: Arc<RunStatistics>,
    over: UnboundedReceiver<CompletedJob>,
    runner: SimulatedRunner,
    started: Instant,
}

impl Stage {
    fn new() -> Stage {
        let (statistics, over) = RunStatistics::new();
        let statistics = Arc::new(statistics);
        let started = Instant::now();
        let capacity =
            serde_json::from_value(json!({"cpu": 16000, "mem_mb": 1000, "gpu": 0})).unwrap();
        let profile = RunnerProfile {
            instance: "i-1".to_owned(),
            service: "s".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            capacity,
            labels: vec!["rack-1".to_owned()],
            heartbeat: Duration::from_millis(1_000),
        };
        let runner = SimulatedRunner::new(profile, statistics.clone(), started);
        Stage {
            statistics,
            over,
            runner,
            started,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.started + Duration::from_millis(ms)
    }

    fn beat(&mut self, ms: u64) -> Value {
        let now = self.at(ms);
        serde_json::from_slice(&self.runner.heartbeat(now)).unwrap()
    }

    fn orders(&mut self, ms: u64, orders: Value) {
        let orders: HeartbeatAnswer = serde_json::from_value(orders).unwrap();
        let now = self.at(ms);
        self.runner.carry_out(now, now, orders);
    }

    fn start(&mut self, ms: u64, task: &str, attempt: u64, text: &str) {
        let start = json!([[task, attempt, text, ""]]);
        self.orders(
            ms,
            json!({"hold_ms": 60_000, "fence_token": 1, "start": start}),
        );
    }
}

#[test]
fn a_task_is_active_until_its_time_is_over_and_then_listed_until_observed() {
    let mut stage = Stage::new();
    stage.start(0, TASK, 1, "500 0");
    assert_eq!(stage.beat(250)["active"], json!([[TASK, 1, "", 50]]));
    let late = stage.beat(600);
    assert_eq!(late["active"], json!([]));
    assert_eq!(late["finished"], json!([[1, TASK, 1, "done", ""]]));
    stage.orders(700, json!({"observed": 1, "fence_token": 1}));
    assert_eq!(stage.beat(800)["finished"], json!([]));
}

#[test]
fn without_a_lease_nothing_starts_and_all_runs_end() {
    let mut stage = Stage::new();
    stage.orders(
        0,
        json!({"fence_token": 1, "start": [[TASK, 1, "500 0", ""]]}),
    );
    assert_eq!(stage.runner.active(), 0);
    stage.orders(
        0,
        json!({"hold_ms": 100, "fence_token": 1, "start": [[TASK, 1, "500 0", ""]]}),
    );
    assert_eq!(stage.runner.active(), 1);
    assert_eq!(
        stage.beat(200)["finished"],
        json!([[1, TASK, 1, "lapsed", ""]])
    );
}

#[test]
fn a_lower_fencing_token_is_ignored_and_a_run_starts_once() {
    let mut stage = Stage::new();
    stage.orders(0, json!({"hold_ms": 9_000, "fence_token": 5}));
    stage.start(0, TASK, 1, "500 0");
    assert_eq!(stage.runner.active(), 0);
    let start = json!({"hold_ms": 9_000, "fence_token": 5, "start": [[TASK, 2, "500 0", ""]]});
    stage.orders(10, start.clone());
    stage.orders(20, start);
    assert_eq!(stage.runner.active(), 1);
    assert_eq!(
        stage
            .statistics
            .counts
            .double_starts
            .load(std::sync::atomic::Ordering::Relaxed),
        0
    );
}

#[test]
fn a_gang_begins_once_it_is_complete_and_a_lone_member_times_out() {
    let mut stage = Stage::new();
    stage.start(0, TASK, 1, "500 2");
    assert_eq!(stage.beat(1_000)["active"], json!([[TASK, 1, "", 0]]));
    stage.start(1_000, OTHER, 1, "500 2");
    assert_eq!(stage.beat(1_250)["active"][0][3], json!(50));
    assert_eq!(stage.beat(1_600)["finished"].as_array().unwrap().len(), 2);
    stage.start(2_000, TASK, 2, "500 2");
    assert_eq!(
        stage.beat(5_100)["finished"][2],
        json!([3, TASK, 2, "alone", ""])
    );
}

#[test]
fn a_job_is_complete_with_its_last_task() {
    let mut stage = Stage::new();
    let facts = ExpectedJob {
        due: stage.started,
        shape: "short".to_owned(),
        measured: true,
        left: 2,
        started: false,
    };
    stage.statistics.expect(JOB, facts);
    stage.start(0, TASK, 1, "100 0");
    stage.start(0, OTHER, 1, "300 0");
    stage.beat(200);
    assert!(stage.over.try_recv().is_err());
    stage.beat(400);
    assert_eq!(stage.over.try_recv().expect("it is over").id, JOB);
}
