//! Guards against placements that break a rule: tasks at runners without capacity, outside their constraints or above
//! their anti-affinity, tasks away from their data while a near runner is free, late jobs before those that can still
//! meet their objective, and large tasks that starve behind small ones.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use test_cluster::{node, RunningTask, TestCluster};

/// The job that is submitted first.
const JOB_A: &str = "00000000000000aa";
/// A job that is submitted after `JOB_A`.
const JOB_B: &str = "00000000000000bb";

#[test]
fn one_runner_takes_no_more_than_anti_affinity_allows() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(
        JOB_A,
        r#"{"stages":[{"count":4,"cpu":100,"anti_affinity":1}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 2);
}

#[test]
fn tasks_start_only_at_runners_that_meet_their_constraints() {
    let mut cluster = TestCluster::new(2);
    cluster.runners.get_mut(&node(1)).expect("a runner").labels[0] = "b".to_owned();
    cluster.report_all();
    cluster.submit(
        JOB_A,
        r#"{"stages":[{"count":9,"cpu":1000,"constraints":"b"}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 4);
    assert!(running.iter().all(|run| run.node == node(1)));
}

#[test]
fn no_runner_is_filled_beyond_its_capacity() {
    let mut cluster = TestCluster::new(3);
    for number in 0..20u64 {
        cluster.submit(
            &format!("{number:016x}"),
            r#"{"stages":[{"count":5,"cpu":700,"mem_mb":900}]}"#,
        );
    }
    cluster.commit();
    cluster.execute_commands();
    for runner in cluster.runners.values() {
        assert_eq!(runner.active.len(), 5);
    }
}

#[test]
fn tasks_start_near_their_data_while_a_near_runner_has_capacity() {
    let mut cluster = TestCluster::new(8);
    for number in 0..8u64 {
        let body = r#"{"stages":[{"count":1,"cpu":500,"affinity":"r1-1"}]}"#;
        cluster.submit(&format!("{number:016x}"), body);
    }
    cluster.commit();
    cluster.execute_commands();
    let near = [node(2), node(3)];
    assert_eq!(cluster.running().len(), 8);
    assert!(cluster.running().iter().all(|run| near.contains(&run.node)));
}

#[test]
fn jobs_that_can_meet_their_objective_start_before_late_jobs() {
    let mut cluster = TestCluster::new(1);
    let body = r#"{"stages":[{"count":4,"cpu":1000,"estimate_ms":1000}]}"#;
    cluster.submit("0000000000000001", body);
    cluster.commit();
    cluster.execute_commands();
    cluster.submit(JOB_A, body);
    cluster.commit();
    for _ in 0..50 {
        cluster.advance_ms(100);
        cluster.report_all();
    }
    cluster.submit(JOB_B, body);
    cluster.commit();
    cluster.advance_ms(100);
    cluster.end_all_runs(RunEnd::Done);
    cluster.execute_commands();
    assert!(
        cluster
            .running()
            .iter()
            .all(|run| run.task.starts_with(JOB_B)),
        "{:?}",
        cluster.running()
    );
}

#[test]
fn a_task_that_needs_a_whole_runner_is_not_starved_by_smaller_tasks() {
    let mut cluster = TestCluster::new(2);
    let small = r#"{"stages":[{"count":1,"cpu":1000}]}"#;
    for number in 0..8u64 {
        cluster.submit(&format!("{number:016x}"), small);
    }
    cluster.commit();
    cluster.execute_commands();
    cluster.submit(JOB_A, r#"{"stages":[{"count":1,"cpu":4000}]}"#);
    cluster.commit();
    // Every 200 ms one small run ends and another small job is submitted.
    for number in 100..160u64 {
        cluster.advance_ms(200);
        cluster.commit();
        let oldest = cluster
            .running()
            .into_iter()
            .min_by_key(|run| run.task.clone());
        let Some(RunningTask {
            node: address,
            task,
            ..
        }) = oldest.filter(|run| !run.task.starts_with(JOB_A))
        else {
            break;
        };
        cluster
            .runners
            .get_mut(&address)
            .expect("a runner")
            .end(&task, RunEnd::Done);
        cluster.submit(&format!("{number:016x}"), small);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert!(cluster
        .running()
        .iter()
        .any(|run| run.task.starts_with(JOB_A)));
}
