//! A runner that deregisters may serve on for seconds: what it runs is not over, nothing starts there any more, and
//! heartbeats that come late or out of order change neither.

mod common;
mod model;
use common::*;
use model::world::World;
use serde_json::json;

const DEREGISTER: &str = "/v1/instances/i-7f3a91c2/deregister";
/// `drain_ms` of the deployment.
const SERVES_ON_MS: u64 = 2_000;

fn with_a_run() -> Script {
    let mut script = Script::settled();
    script.beat(3, json!({"active":[[TASK, 1, "", 1]]}));
    script.pass(20);
    script
}

#[test]
fn what_a_deregistered_runner_runs_is_not_over_while_it_serves_on() {
    let mut script = with_a_run();
    assert_eq!(script.post(DEREGISTER, Vec::new()).status, 200);
    script.pass(20);
    let report = script.last_report();
    assert!(report.draining && !report.lease_expired);
    assert_eq!(report.active.len(), 1);
    assert!(
        (SERVES_ON_MS - 50..=SERVES_ON_MS).contains(&report.remaining_ms),
        "{}",
        report.remaining_ms
    );
    for sequence in 4..100 {
        script.pass(100);
        script.orders(orders(1, 1), true);
        let answer = script.beat(sequence, json!({"active":[[TASK, 1, "", 1]]}));
        assert_eq!(
            answer["hold_ms"], 2500,
            "its hold goes on as long as it says that it lives"
        );
        assert!(!script.last_report().lease_expired && script.last_report().active.len() == 1);
    }
    script.pass(2_650);
    assert!(script.last_report().lease_expired, "silent beyond its hold");
}

#[test]
fn a_deregistered_runner_starts_nothing_whatever_comes_later() {
    let mut script = with_a_run();
    script.post(DEREGISTER, Vec::new());
    script.orders(orders_with_start(1, 2), true);
    for (sequence, state) in [
        (4, "ready"),
        (2, "ready"),
        (9, "ready"),
        (8, "draining"),
        (10, "ready"),
    ] {
        let answer = script.beat(sequence, json!({"state": state}));
        assert!(answer["start"].is_null(), "{sequence}: {answer}");
    }
    script.pass(600);
    assert!(script.last_report().draining);
    script.pass(5_000);
    assert!(script.last_report().lease_expired);
    script.orders(orders_with_start(1, 3), true);
    assert!(script.beat(11, json!({}))["start"].is_null(), "it left");
}

#[test]
fn a_runner_that_said_draining_keeps_the_time_that_it_told() {
    let mut script = with_a_run();
    script.beat(
        4,
        json!({"state":"draining","remaining_ms":300,"active":[[TASK, 1, "", 1]]}),
    );
    script.pass(100);
    script.post(DEREGISTER, Vec::new());
    script.pass(500);
    assert_eq!(script.last_report().remaining_ms, 0);
    assert!(
        !script.last_report().lease_expired,
        "its port tells when it is gone, or its hold"
    );
}

#[test]
fn a_deregistration_outlives_the_heartbeats_before_it() {
    let mut script = Script::settled();
    script.post("/v1/instances/i-next/deregister", Vec::new());
    script.beat_as("i-next", 1, json!({}));
    script.beat_as("i-next", 2, json!({}));
    script.pass(20);
    let report = script.last_report();
    assert_eq!((&*report.instance, report.draining), ("i-next", true));
}

#[test]
fn a_deregistration_at_a_new_agent_ends_nothing_before_the_holds_of_its_forerunner() {
    let mut script = Script::new();
    script.directory(1, LEADER);
    script.post(DEREGISTER, Vec::new());
    script.pass(2_600);
    assert!(script.last_report().draining && !script.last_report().lease_expired);
    script.pass(100);
    assert!(script.last_report().lease_expired);
}

#[test]
fn a_new_agent_that_hears_nobody_says_so_once_no_hold_can_last() {
    let mut script = Script::new();
    script.directory(1, LEADER);
    script.pass(2_600);
    assert!(!script.last_report().has_runner && !script.last_report().lease_expired);
    script.pass(100);
    assert!(!script.last_report().has_runner && script.last_report().lease_expired);
    script.beat(7, json!({"active":[[TASK, 1, "", 1]]}));
    script.pass(20);
    assert!(script.last_report().has_runner && !script.last_report().lease_expired);
}

#[test]
fn what_is_given_up_never_runs_around_departures_and_late_heartbeats() {
    let (mut starts, mut over, mut departed, mut late) = (0, 0, 0, 0);
    for seed in 1..=300 {
        let mut world = World::with_departures(seed);
        world.play(30_000);
        starts += world.starts;
        over += world.over();
        departed += world.departed;
        late += world.late;
    }
    assert!(
        departed > 200 && late > 1_000,
        "{departed} departed, {late} late heartbeats"
    );
    assert!(
        starts > 500 && over > 500,
        "{starts} starts, {over} given up"
    );
}
