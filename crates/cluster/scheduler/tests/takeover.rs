//! Runs across lost messages, silent runners and changes of the scheduler: never two at once, none lost.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, RunningTask, TestCluster};

const A: &str = "00000000000000aa";
/// Longer than any lease of an agent can last, in milliseconds.
const BEYOND_LEASE_MS: u64 = 13_000;

fn one_running() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    cluster
}

#[test]
fn a_takeover_leaves_running_work_alone() {
    let mut cluster = one_running();
    cluster.start_next_term(config(1, 2, 1));
    for _ in 0..5 {
        cluster.report_all();
        cluster.execute_commands();
        cluster.advance_ms(200);
    }
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].attempt, 1);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(A), "completed");
}

#[test]
fn after_a_takeover_nothing_starts_at_a_runner_before_its_settled_report() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
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
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
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
fn an_unreachable_runner_keeps_its_runs_until_its_lease_is_surely_over() {
    let mut cluster = one_running();
    let away = cluster.running()[0].node;
    let here = if away == node(0) { node(1) } else { node(0) };
    for _ in 0..(BEYOND_LEASE_MS / 500 - 2) {
        cluster.advance_ms(500);
        cluster.report(here);
        cluster.commit();
        assert!(cluster.commands[&here].start.is_empty());
    }
    for _ in 0..6 {
        cluster.advance_ms(500);
        cluster.report(here);
        cluster.commit();
    }
    assert_eq!(cluster.commands[&here].start.len(), 1);
    assert_eq!(cluster.commands[&here].start[0].attempt, 2);
}

#[test]
fn a_new_scheduler_waits_for_the_lease_its_predecessor_granted() {
    let mut cluster = one_running();
    let away = cluster.running()[0].node;
    let here = if away == node(0) { node(1) } else { node(0) };
    cluster.start_next_term(config(1, 2, 1));
    for _ in 0..(BEYOND_LEASE_MS / 500 - 2) {
        cluster.report(here);
        cluster.commit();
        cluster.advance_ms(500);
        assert!(cluster.commands[&here].start.is_empty());
    }
}

#[test]
fn a_new_instance_runs_nothing_of_the_former_one() {
    let mut cluster = one_running();
    let at = cluster.running()[0].node;
    let runner = cluster.runners.get_mut(&at).expect("a runner");
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
fn a_silent_runner_whose_lease_is_over_loses_its_runs() {
    let mut cluster = one_running();
    let at = cluster.running()[0].node;
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    runner.lease_expired = true;
    runner.active.clear();
    cluster.report_all();
    cluster.advance_ms(100);
    cluster.commit();
    let other = if at == node(0) { node(1) } else { node(0) };
    assert_eq!(cluster.commands[&other].start.len(), 1);
    assert_eq!(cluster.commands[&other].start[0].attempt, 2);
}

#[test]
fn an_end_of_an_abandoned_run_changes_nothing() {
    let mut cluster = one_running();
    let RunningTask {
        node: at,
        task,
        attempt,
    } = cluster.running()[0].clone();
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    runner.lease_expired = true;
    cluster.report(at);
    cluster.commit();
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    runner.lease_expired = false;
    runner.active.insert(task.clone(), attempt);
    runner.end(&task, RunEnd::Done);
    cluster.report_all();
    assert_eq!(cluster.state(A), "running");
}

#[test]
fn a_start_that_was_withdrawn_is_over_only_with_a_settled_report() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":4000}]}"#);
    cluster.commit();
    cluster.request(ClientMethod::Cancel, &format!("/q/{A}"), "");
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
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
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
    let mut cluster = one_running();
    let at = cluster.running()[0].node;
    for _ in 0..8 {
        cluster.advance_ms(500);
        cluster.report_all();
    }
    cluster.execute_commands();
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    assert!(cluster.running()[0].attempt >= 2 || cluster.running()[0].node != at);
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
    let mut cluster = one_running();
    let at = cluster.running()[0].node;
    cluster.start_next_term(config(1, 2, 1));
    cluster.take_sends();
    assert_eq!(cluster.commands[&at].term, 2);
    assert!(cluster.commands[&at].start.is_empty());
}

#[test]
fn a_checkpoint_outlives_scheduler_and_runner() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        A,
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
