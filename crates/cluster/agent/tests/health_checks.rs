//! Guards against dead runners that are found late, and against live runners that are taken for dead. A runner whose
//! heartbeat is overdue is checked, and a refused connection is reported at once.

mod common;
use serde_json::json;

use sagetrail_agent::AgentNode;
use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::node::{Event, HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;

use common::*;

/// The time after which a heartbeat that was requested after 100 ms is overdue, in milliseconds.
const OVERDUE_MS: u64 = 360;

fn agent_with_a_run() -> TestAgent {
    let mut agent = TestAgent::connected();
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 1]]}));
    agent
}

fn receive_result(agent: &mut TestAgent, id: HealthCheckId, result: HealthCheckResult) {
    agent.handle(Event::HealthCheck { id, result });
}

#[test]
fn a_runner_with_heartbeats_is_not_checked() {
    let mut agent = agent_with_a_run();
    for sequence in 4..60 {
        agent.advance(100);
        agent.heartbeat(sequence, json!({"active":[[TASK, 1, "", 1]]}));
    }
    assert!(agent.health_checks.is_empty());
}

#[test]
fn a_refused_connection_ends_all_runs_at_once() {
    let mut agent = agent_with_a_run();
    agent.advance(OVERDUE_MS);
    let health_check = agent.health_checks.pop().expect("a health check");
    assert_eq!(
        (health_check.address, &*health_check.path),
        (RUNNER_ADDRESS, "/healthz")
    );
    assert!(!agent.last_report().lease_expired);
    receive_result(&mut agent, health_check.id, HealthCheckResult::Refused);
    agent.advance(10);
    let report = agent.last_report();
    assert!(report.lease_expired && report.has_runner && report.active.is_empty());
    assert!(
        report.since_heartbeat_ms < 400,
        "{}",
        report.since_heartbeat_ms
    );
    assert_eq!(
        (
            agent.node.counters().health_checks,
            agent.node.counters().dead_runners
        ),
        (1, 1)
    );
}

#[test]
fn a_dead_runner_is_not_checked_again() {
    let mut agent = agent_with_a_run();
    agent.advance(OVERDUE_MS);
    let health_check = agent.health_checks.pop().expect("a health check");
    receive_result(&mut agent, health_check.id, HealthCheckResult::Refused);
    agent.advance(10_000);
    assert!(agent.health_checks.is_empty());
}

#[test]
fn answers_and_timeouts_do_not_end_the_lease() {
    for result in [
        HealthCheckResult::Status(200),
        HealthCheckResult::Status(503),
        HealthCheckResult::NoAnswer,
    ] {
        let mut agent = agent_with_a_run();
        agent.advance(OVERDUE_MS);
        let health_check = agent.health_checks.pop().expect("a health check");
        receive_result(&mut agent, health_check.id, result);
        agent.advance(2_200);
        assert!(!agent.last_report().lease_expired, "{result:?}");
        agent.advance(200);
        assert!(agent.last_report().lease_expired, "{result:?}");
    }
}

#[test]
fn health_checks_are_few() {
    let mut agent = agent_with_a_run();
    agent.advance(20_000);
    assert_eq!(
        agent.health_checks.len(),
        3,
        "checks are sent after 350, 850 and 1850 ms, and none after the lease has expired"
    );
}

#[test]
fn a_refusal_before_a_later_heartbeat_proves_nothing() {
    let mut agent = agent_with_a_run();
    agent.advance(OVERDUE_MS);
    let health_check = agent.health_checks.pop().expect("a health check");
    agent.heartbeat(4, json!({"active":[[TASK, 1, "", 1]]}));
    receive_result(&mut agent, health_check.id, HealthCheckResult::Refused);
    agent.advance(20);
    assert!(!agent.last_report().lease_expired);
}

#[test]
fn only_the_last_health_check_counts() {
    let mut agent = agent_with_a_run();
    agent.advance(OVERDUE_MS + 500);
    let ids: Vec<HealthCheckId> = agent
        .health_checks
        .iter()
        .map(|health_check| health_check.id)
        .collect();
    assert_eq!(ids.len(), 2);
    receive_result(&mut agent, ids[0], HealthCheckResult::Refused);
    agent.advance(20);
    assert!(!agent.last_report().lease_expired);
    receive_result(&mut agent, ids[1], HealthCheckResult::Refused);
    agent.advance(20);
    assert!(agent.last_report().lease_expired);
    receive_result(&mut agent, ids[1], HealthCheckResult::Refused);
    assert_eq!(agent.node.counters().dead_runners, 1);
}

#[test]
fn a_dead_runner_gets_no_start_until_a_later_report_is_answered() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    let before = agent.now.0;
    agent.advance(600);
    let health_check = agent.health_checks.pop().expect("a health check");
    receive_result(&mut agent, health_check.id, HealthCheckResult::Refused);
    assert!(agent.heartbeat(3, json!({}))["start"].is_null());
    agent.receive_commands(RunnerCommands {
        agent: INCARNATION,
        sent_at: before,
        ..commands_with_start(1, 2)
    });
    assert!(agent.heartbeat(4, json!({}))["start"].is_null());
    agent.advance(1);
    agent.receive_answer(commands_with_start(1, 2));
    assert!(agent.heartbeat(5, json!({}))["start"].is_array());
}

#[test]
fn a_heartbeat_is_overdue_only_after_the_requested_delay() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(RunnerCommands {
        retry_after_ms: 400,
        ..commands(1, 2)
    });
    agent.heartbeat(3, json!({}));
    agent.advance(640);
    assert!(agent.health_checks.is_empty());
    agent.advance(11);
    assert_eq!(agent.health_checks.len(), 1);
}

#[test]
fn without_a_configured_address_the_address_in_the_heartbeat_is_checked() {
    let mut agent = TestAgent::new();
    let mut outbox = Outbox::default();
    let settings = sagetrail_agent::AgentSettings {
        runner_address: None,
        ..settings(INCARNATION)
    };
    agent.node = AgentNode::new(settings, clock(Time(1_000)), &mut outbox);
    agent.heartbeat(1, json!({}));
    agent.advance(500);
    assert_eq!(
        agent.health_checks[0].address.to_string(),
        "10.128.0.9:8080"
    );
    agent.health_checks.clear();
    agent.heartbeat(2, json!({"address": "nowhere"}));
    agent.advance(500);
    assert!(agent.health_checks.is_empty());
}
