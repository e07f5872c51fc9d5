//! Guards against runs that are taken for ended, and against new starts, at a runner that has deregistered but
//! continues to serve for seconds. Heartbeats that arrive late or out of order could cause both.

mod common;
mod model;

use serde_json::json;

use common::*;
use model::Cluster;

const DEREGISTER: &str = "/v1/instances/i-7f3a91c2/deregister";
/// The time for which a deregistered runner continues to serve: the default of `drain_ms`, in milliseconds.
const DRAIN_MS: u64 = 2_000;

fn agent_with_a_run() -> TestAgent {
    let mut agent = TestAgent::connected();
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 1]]}));
    agent.advance(20);
    agent
}

#[test]
fn runs_of_a_deregistered_runner_go_on_while_it_serves() {
    let mut agent = agent_with_a_run();
    assert_eq!(agent.post(DEREGISTER, Vec::new()).status, 200);
    agent.advance(20);
    let report = agent.last_report();
    assert!(report.draining && !report.lease_expired);
    assert_eq!(report.active.len(), 1);
    assert!(
        (DRAIN_MS - 50..=DRAIN_MS).contains(&report.remaining_ms),
        "{}",
        report.remaining_ms
    );
    for sequence in 4..100 {
        agent.advance(100);
        agent.receive_answer(commands(1, 1));
        let answer = agent.heartbeat(sequence, json!({"active":[[TASK, 1, "", 1]]}));
        assert_eq!(
            answer["hold_ms"], 2500,
            "the lease is extended as long as the runner sends heartbeats"
        );
        assert!(!agent.last_report().lease_expired && agent.last_report().active.len() == 1);
    }
    agent.advance(2_650);
    assert!(
        agent.last_report().lease_expired,
        "the runner was silent beyond its lease"
    );
}

#[test]
fn a_deregistered_runner_starts_nothing_afterwards() {
    let mut agent = agent_with_a_run();
    agent.post(DEREGISTER, Vec::new());
    agent.receive_answer(commands_with_start(1, 2));
    for (sequence, state) in [
        (4, "ready"),
        (2, "ready"),
        (9, "ready"),
        (8, "draining"),
        (10, "ready"),
    ] {
        let answer = agent.heartbeat(sequence, json!({"state": state}));
        assert!(answer["start"].is_null(), "{sequence}: {answer}");
    }
    agent.advance(600);
    assert!(agent.last_report().draining);
    agent.advance(5_000);
    assert!(agent.last_report().lease_expired);
    agent.receive_answer(commands_with_start(1, 3));
    assert!(
        agent.heartbeat(11, json!({}))["start"].is_null(),
        "the runner has deregistered"
    );
}

#[test]
fn a_draining_runner_keeps_the_remaining_time_that_it_reported() {
    let mut agent = agent_with_a_run();
    agent.heartbeat(
        4,
        json!({"state":"draining","remaining_ms":300,"active":[[TASK, 1, "", 1]]}),
    );
    agent.advance(100);
    agent.post(DEREGISTER, Vec::new());
    agent.advance(500);
    assert_eq!(agent.last_report().remaining_ms, 0);
    assert!(
        !agent.last_report().lease_expired,
        "only a health check or the end of its lease shows that the runner has ended"
    );
}

#[test]
fn a_deregistration_before_the_first_heartbeat_is_remembered() {
    let mut agent = TestAgent::connected();
    agent.post("/v1/instances/i-next/deregister", Vec::new());
    agent.heartbeat_of("i-next", 1, json!({}));
    agent.heartbeat_of("i-next", 2, json!({}));
    agent.advance(20);
    let report = agent.last_report();
    assert_eq!((&*report.instance, report.draining), ("i-next", true));
}

#[test]
fn a_new_agent_expires_a_deregistered_runner_only_after_a_lease_of_its_predecessor() {
    let mut agent = TestAgent::new();
    agent.receive_directory(1, LEADER);
    agent.post(DEREGISTER, Vec::new());
    agent.advance(2_600);
    assert!(agent.last_report().draining && !agent.last_report().lease_expired);
    agent.advance(100);
    assert!(agent.last_report().lease_expired);
}

#[test]
fn a_new_agent_without_calls_reports_no_runner_after_any_earlier_lease_has_expired() {
    let mut agent = TestAgent::new();
    agent.receive_directory(1, LEADER);
    agent.advance(2_600);
    assert!(!agent.last_report().has_runner && !agent.last_report().lease_expired);
    agent.advance(100);
    assert!(!agent.last_report().has_runner && agent.last_report().lease_expired);
    agent.heartbeat(7, json!({"active":[[TASK, 1, "", 1]]}));
    agent.advance(20);
    assert!(agent.last_report().has_runner && !agent.last_report().lease_expired);
}

#[test]
fn given_up_runs_never_run_despite_departures_and_late_heartbeats() {
    let (mut starts, mut given_up, mut departed, mut late) = (0, 0, 0, 0);
    for seed in 1..=300 {
        let mut cluster = Cluster::with_departures(seed);
        cluster.run(30_000);
        starts += cluster.starts;
        given_up += cluster.given_up();
        departed += cluster.departed;
        late += cluster.late_heartbeats;
    }
    assert!(
        departed > 200 && late > 1_000,
        "{departed} departed, {late} late heartbeats"
    );
    assert!(
        starts > 500 && given_up > 500,
        "{starts} starts, {given_up} given up"
    );
}
