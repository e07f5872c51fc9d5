//! A runner whose heartbeat is overdue is looked at, and a dead one is reported at once.

mod common;
use common::*;
use sagetrail_agent::AgentNode;
use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::node::{Event, HealthCheckId, HealthCheckResult, Outbox};
use sagetrail_protocol::Time;
use serde_json::json;

/// Beyond the time at which a heartbeat is overdue that was wanted after 100 ms.
const OVERDUE_MS: u64 = 360;

fn with_a_run() -> Script {
    let mut script = Script::settled();
    script.beat(3, json!({"active":[[TASK, 1, "", 1]]}));
    script
}

fn looked(script: &mut Script, id: HealthCheckId, result: HealthCheckResult) {
    script.event(Event::HealthCheck { id, result });
}

#[test]
fn a_runner_that_beats_is_not_looked_at() {
    let mut script = with_a_run();
    for sequence in 4..60 {
        script.pass(100);
        script.beat(sequence, json!({"active":[[TASK, 1, "", 1]]}));
    }
    assert!(script.health_checks.is_empty());
}

#[test]
fn a_dead_port_ends_all_runs_at_once() {
    let mut script = with_a_run();
    script.pass(OVERDUE_MS);
    let health_check = script.health_checks.pop().expect("a look");
    assert_eq!(
        (health_check.address, &*health_check.path),
        (APP, "/healthz")
    );
    assert!(!script.last_report().lease_expired);
    looked(&mut script, health_check.id, HealthCheckResult::Refused);
    script.pass(10);
    let report = script.last_report();
    assert!(report.lease_expired && report.has_runner && report.active.is_empty());
    assert!(
        report.since_heartbeat_ms < 400,
        "{}",
        report.since_heartbeat_ms
    );
    assert_eq!(
        (
            script.agent.counters().health_checks,
            script.agent.counters().deaths
        ),
        (1, 1)
    );
}

#[test]
fn a_dead_runner_is_not_looked_at_again() {
    let mut script = with_a_run();
    script.pass(OVERDUE_MS);
    let health_check = script.health_checks.pop().expect("a look");
    looked(&mut script, health_check.id, HealthCheckResult::Refused);
    script.pass(10_000);
    assert!(script.health_checks.is_empty());
}

#[test]
fn an_answer_of_any_kind_and_silence_leave_the_hold() {
    for result in [
        HealthCheckResult::Status(200),
        HealthCheckResult::Status(503),
        HealthCheckResult::NoAnswer,
    ] {
        let mut script = with_a_run();
        script.pass(OVERDUE_MS);
        let health_check = script.health_checks.pop().expect("a look");
        looked(&mut script, health_check.id, result);
        script.pass(2_200);
        assert!(!script.last_report().lease_expired, "{result:?}");
        script.pass(200);
        assert!(script.last_report().lease_expired, "{result:?}");
    }
}

#[test]
fn looks_are_few() {
    let mut script = with_a_run();
    script.pass(20_000);
    assert_eq!(
        script.health_checks.len(),
        3,
        "at 350, 850 and 1850 ms, and none after the hold"
    );
}

#[test]
fn a_refusal_that_a_heartbeat_overtook_tells_nothing() {
    let mut script = with_a_run();
    script.pass(OVERDUE_MS);
    let health_check = script.health_checks.pop().expect("a look");
    script.beat(4, json!({"active":[[TASK, 1, "", 1]]}));
    looked(&mut script, health_check.id, HealthCheckResult::Refused);
    script.pass(20);
    assert!(!script.last_report().lease_expired);
}

#[test]
fn only_the_last_look_counts() {
    let mut script = with_a_run();
    script.pass(OVERDUE_MS + 500);
    let ids: Vec<HealthCheckId> = script
        .health_checks
        .iter()
        .map(|health_check| health_check.id)
        .collect();
    assert_eq!(ids.len(), 2);
    looked(&mut script, ids[0], HealthCheckResult::Refused);
    script.pass(20);
    assert!(!script.last_report().lease_expired);
    looked(&mut script, ids[1], HealthCheckResult::Refused);
    script.pass(20);
    assert!(script.last_report().lease_expired);
    looked(&mut script, ids[1], HealthCheckResult::Refused);
    assert_eq!(script.agent.counters().deaths, 1);
}

#[test]
fn a_dead_runner_starts_nothing_until_a_later_answer() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    let before = script.now.0;
    script.pass(600);
    let health_check = script.health_checks.pop().expect("a look");
    looked(&mut script, health_check.id, HealthCheckResult::Refused);
    assert!(script.beat(3, json!({}))["start"].is_null());
    script.orders(
        RunnerCommands {
            agent: INCARNATION,
            sent_at: before,
            ..orders_with_start(1, 2)
        },
        false,
    );
    assert!(script.beat(4, json!({}))["start"].is_null());
    script.pass(1);
    script.orders(orders_with_start(1, 2), true);
    assert!(script.beat(5, json!({}))["start"].is_array());
}

#[test]
fn an_idle_runner_gets_as_long_as_it_was_told() {
    let mut script = Script::settled();
    script.orders(
        RunnerCommands {
            retry_after_ms: 400,
            ..orders(1, 2)
        },
        true,
    );
    script.beat(3, json!({}));
    script.pass(640);
    assert!(script.health_checks.is_empty());
    script.pass(11);
    assert_eq!(script.health_checks.len(), 1);
}

#[test]
fn without_a_setting_the_address_of_the_heartbeat_is_looked_at() {
    let mut script = Script::new();
    let mut outbox = Outbox::default();
    let settings = sagetrail_agent::AgentSettings {
        runner_address: None,
        ..settings(INCARNATION)
    };
    script.agent = AgentNode::new(settings, now(Time(1_000)), &mut outbox);
    script.beat(1, json!({}));
    script.pass(500);
    assert_eq!(
        script.health_checks[0].address.to_string(),
        "10.128.0.9:8080"
    );
    script.health_checks.clear();
    script.beat(2, json!({"address": "nowhere"}));
    script.pass(500);
    assert!(script.health_checks.is_empty());
}
