//! Guards against gangs of which only a part runs: a gang starts as a whole or not at all, and restarts only once all
//! runs of its last attempt are over.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use test_cluster::{node, TestCluster};

const JOB: &str = "00000000000000aa";

#[test]
fn a_gang_starts_as_a_whole_with_one_attempt_number_and_one_end_counts_for_all() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(JOB, r#"{"stages":[{"count":4,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 4);
    assert!(running.iter().all(|run| run.attempt == 1));
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    let task = runner.active.keys().next().expect("a member").clone();
    runner.end(&task, RunEnd::Done);
    cluster.report_all();
    assert_eq!(cluster.state(JOB), "completed");
}

#[test]
fn a_gang_without_capacity_for_all_members_starts_none() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, r#"{"stages":[{"count":3,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.advance_ms(2_000);
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn a_failed_gang_restarts_only_once_the_runs_of_all_members_are_over() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(JOB, r#"{"stages":[{"count":2,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let first = cluster.running()[0].clone();
    let runner = cluster.runners.get_mut(&first.node).expect("a runner");
    runner.end(&first.task, RunEnd::Failed);
    cluster.report_all();
    assert!(cluster
        .commands
        .values()
        .all(|commands| commands.start.is_empty()));
    cluster.execute_commands();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 2);
    assert!(running.iter().all(|run| run.attempt == 2));
}
