//! Runs across lost messages, unreachable runners and takeovers by a new scheduler.
//!
//! Guards against two concurrent runs of a task, which occur if a new run starts before the lease of the old one has
//! expired, and against lost runs, which occur if a command or an assignment is not restored or not sent again.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, RunningTask, TestCluster};

const JOB: &str = "00000000000000aa";
/// A time longer than any lease of an agent can be valid, in milliseconds.
const BEYOND_LEASE_MS: u64 = 13_000;

fn cluster_with_one_run() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    cluster
}

#[test]
fn a_takeover_does_not_disturb_active_runs() {
    let mut cluster = cluster_with_one_run();
    cluster.start_next_term(config(1, 2, 1));
    for _ in 0..5 {
        cluster.report_all();
        cluster.execute_commands();
        cluster.advance_ms(200);
    }
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].attempt, 1);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(JOB), "completed");
}

#[test]
fn after_a_takeover_no_new_attempt_starts_before_starts_are_resolved() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.start_next_term(config(1, 2, 1));
    cluster
        .runners
        .get_mut(&node(0))
        .expect("a runner")
        .starts_resolved = false;
    cluster.report_all();
    cluster.advance_ms(300);
    cluster.report_all();
    assert!(cluster.commands[&node(0)]
        .start
        .iter()
        .all(|start| start.attempt == 1));
}

#[test]
fn a_lost_command_is_sent_again() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.report_all();
    assert_eq!(cluster.commands[&node(0)].start.len(), 1);
    cluster.start_next_term(config(1, 2, 1));
    cluster.report_all();
    cluster.report_all();
    assert_eq!(cluster.commands[&node(0)].start.len(), 1);
    assert_eq!(cluster.commands[&node(0)].start[0].attempt, 1);
}

#[test]
fn an_unreachable_runner_keeps_its_runs_until_its_lease_has_certainly_expired() {
    let mut cluster = cluster_with_one_run();
    let unreachable_node = cluster.running()[0].node;
    let other_node = if unreachable_node == node(0) {
        node(1)
    } else {
        node(0)
    };
    for _ in 0..(BEYOND_LEASE_MS / 500 - 2) {
        cluster.advance_ms(500);
        cluster.report(other_node);
        cluster.commit();
        assert!(cluster.commands[&other_node].start.is_empty());
    }
    for _ in 0..6 {
        cluster.advance_ms(500);
        cluster.report(other_node);
        cluster.commit();
    }
    assert_eq!(cluster.commands[&other_node].start.len(), 1);
    assert_eq!(cluster.commands[&other_node].start[0].attempt, 2);
}

#[test]
fn a_new_scheduler_waits_for_leases_granted_by_its_predecessor() {
    let mut cluster = cluster_with_one_run();
    let unreachable_node = cluster.running()[0].node;
    let other_node = if unreachable_node == node(0) {
        node(1)
    } else {
        node(0)
    };
    cluster.start_next_term(config(1, 2, 1));
    for _ in 0..(BEYOND_LEASE_MS / 500 - 2) {
        cluster.report(other_node);
        cluster.commit();
        cluster.advance_ms(500);
        assert!(cluster.commands[&other_node].start.is_empty());
    }
}

#[test]
fn runs_of_a_replaced_instance_are_over() {
    let mut cluster = cluster_with_one_run();
    let runner_node = cluster.running()[0].node;
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    runner.instance = "i-new".to_owned();
    runner.active.clear();
    cluster.report_all();
    cluster.report_all();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].attempt, 2);
}

#[test]
fn runs_of_a_runner_with_an_expired_lease_restart_elsewhere() {
    let mut cluster = cluster_with_one_run();
    let runner_node = cluster.running()[0].node;
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    runner.lease_expired = true;
    runner.active.clear();
    cluster.report_all();
    cluster.advance_ms(100);
    cluster.commit();
    let other_node = if runner_node == node(0) {
        node(1)
    } else {
        node(0)
    };
    assert_eq!(cluster.commands[&other_node].start.len(), 1);
    assert_eq!(cluster.commands[&other_node].start[0].attempt, 2);
}

#[test]
fn an_end_of_an_abandoned_run_changes_nothing() {
    let mut cluster = cluster_with_one_run();
    let RunningTask {
        node: runner_node,
        task,
        attempt,
    } = cluster.running()[0].clone();
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    runner.lease_expired = true;
    cluster.report(runner_node);
    cluster.commit();
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    runner.lease_expired = false;
    runner.active.insert(task.clone(), attempt);
    runner.end(&task, RunEnd::Done);
    cluster.report_all();
    assert_eq!(cluster.state(JOB), "running");
}

#[test]
fn a_withdrawn_start_is_over_only_after_starts_are_resolved() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":4000}]}"#);
    cluster.commit();
    cluster.request(ClientMethod::Cancel, &format!("/q/{JOB}"), "");
    cluster.commit();
    cluster.submit("00000000000000bb", r#"{"stages":[{"count":1,"cpu":4000}]}"#);
    cluster.commit();
    cluster
        .runners
        .get_mut(&node(0))
        .expect("a runner")
        .starts_resolved = false;
    cluster.report_all();
    assert!(cluster.commands[&node(0)].start.is_empty());
    cluster
        .runners
        .get_mut(&node(0))
        .expect("a runner")
        .starts_resolved = true;
    cluster.report_all();
    assert_eq!(cluster.commands[&node(0)].start.len(), 1);
}

#[test]
fn a_draining_runner_gets_no_starts() {
    let mut cluster = TestCluster::new(1);
    cluster
        .runners
        .get_mut(&node(0))
        .expect("a runner")
        .draining = true;
    cluster.report_all();
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.advance_ms(200);
    cluster.commit();
    assert!(cluster.commands[&node(0)].start.is_empty());
}

#[test]
fn an_unassigned_run_is_stopped() {
    let mut cluster = TestCluster::new(1);
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.active.insert("00000000000000cc.0.0.0".to_owned(), 1);
    cluster.report_all();
    assert_eq!(cluster.commands[&node(0)].stop.len(), 1);
}

#[test]
fn a_stalled_run_is_moved() {
    let mut cluster = cluster_with_one_run();
    let runner_node = cluster.running()[0].node;
    for _ in 0..8 {
        cluster.advance_ms(500);
        cluster.report_all();
    }
    cluster.execute_commands();
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    assert!(cluster.running()[0].attempt >= 2 || cluster.running()[0].node != runner_node);
}

#[test]
fn free_capacity_is_not_reserved_for_a_step_that_started() {
    let mut cluster = TestCluster::new(1);
    for number in 1..=3u64 {
        let urgent = format!("/urgent/{number:016x}");
        cluster.request(
            ClientMethod::Submit,
            &urgent,
            r#"{"stages":[{"count":1,"cpu":4000}]}"#,
        );
    }
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(300);
    cluster.commit();
    for _ in 0..2 {
        cluster.end_all_runs(RunEnd::Done);
        cluster.execute_commands();
        assert_eq!(cluster.running().len(), 1);
    }
}

#[test]
fn a_new_scheduler_notifies_agents_with_runs_at_once() {
    let mut cluster = cluster_with_one_run();
    let runner_node = cluster.running()[0].node;
    cluster.start_next_term(config(1, 2, 1));
    cluster.deliver_messages();
    assert_eq!(cluster.commands[&runner_node].term, 2);
    assert!(cluster.commands[&runner_node].start.is_empty());
}

#[test]
fn a_checkpoint_survives_a_takeover_and_a_runner_crash() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        JOB,
        r#"{"stages":[{"count":1,"cpu":500,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster
        .runners
        .get_mut(&node(0))
        .expect("a runner")
        .checkpoint = "half".to_owned();
    cluster.report_all();
    cluster.start_next_term(config(1, 2, 1));
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.instance = "i-new".to_owned();
    runner.checkpoint.clear();
    runner.active.clear();
    cluster.report_all();
    cluster.report_all();
    assert_eq!(cluster.commands[&node(0)].start[0].checkpoint.0, "half");
}
