//! Guards against holding tasks too long, or not at all, for a runner near their data.
//!
//! Away from its data a task takes 1.5 times as long, so a hold is worth at most half the task's estimate. Holding must
//! neither preempt other runs nor keep tasks that the rack cannot start in time.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use test_cluster::{node, RunningTask, TestCluster};

/// The job that occupies the racks first.
const JOB_A: &str = "00000000000000aa";
/// The job whose placement is checked.
const JOB_B: &str = "00000000000000bb";
/// A job of two tasks with an estimate of one second and data in the second rack; they are held for it for half a
/// second.
const NEAR_SECOND_RACK: &str =
    r#"{"stages":[{"count":2,"cpu":1000,"estimate_ms":1000,"affinity":"r1-1"}]}"#;

/// Returns a cluster of two racks with two runners of four cores each; the second rack is full.
fn cluster_with_a_full_rack() -> TestCluster {
    let mut cluster = TestCluster::new(4);
    let body = r#"{"stages":[{"count":8,"cpu":1000,"estimate_ms":9000,"affinity":"r1-1"}]}"#;
    cluster.submit(JOB_A, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 8);
    assert!(cluster.running().iter().all(is_near));
    cluster
}

/// Returns true if the run is at a runner in the second rack.
fn is_near(run: &RunningTask) -> bool {
    run.node == node(2) || run.node == node(3)
}

/// Returns the active runs of one job.
fn running_of(cluster: &TestCluster, job: &str) -> Vec<RunningTask> {
    let mut running = cluster.running();
    running.retain(|run| run.task.starts_with(job));
    running
}

/// Advances the time in steps of 50 ms, each with reports and the execution of all commands.
fn advance_in_steps(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / 50 {
        cluster.advance_ms(50);
        cluster.report_all();
        cluster.execute_commands();
    }
}

#[test]
fn a_held_task_starts_at_a_near_runner_that_becomes_free() {
    let mut cluster = cluster_with_a_full_rack();
    cluster.submit(JOB_B, NEAR_SECOND_RACK);
    cluster.commit();
    advance_in_steps(&mut cluster, 300);
    assert!(running_of(&cluster, JOB_B).is_empty());
    let ended: Vec<String> = cluster.runners[&node(3)].active.keys().cloned().collect();
    let runner = cluster.runners.get_mut(&node(3)).expect("a runner");
    ended.iter().for_each(|task| runner.end(task, RunEnd::Done));
    advance_in_steps(&mut cluster, 100);
    let running = running_of(&cluster, JOB_B);
    assert_eq!(running.len(), 2);
    assert!(running.iter().all(is_near), "{running:?}");
}

#[test]
fn a_task_is_held_no_longer_than_its_extra_time_in_another_rack() {
    let mut cluster = cluster_with_a_full_rack();
    cluster.submit(JOB_B, NEAR_SECOND_RACK);
    cluster.commit();
    advance_in_steps(&mut cluster, 400);
    assert!(running_of(&cluster, JOB_B).is_empty());
    advance_in_steps(&mut cluster, 200);
    let running = running_of(&cluster, JOB_B);
    assert_eq!(running.len(), 2);
    assert!(!running.iter().any(is_near), "{running:?}");
}

#[test]
fn tasks_beyond_what_the_rack_can_start_in_time_are_not_held() {
    let mut cluster = cluster_with_a_full_rack();
    // An empty rack of eight cores would start four of the tasks in half a second.
    let body = r#"{"stages":[{"count":7,"cpu":1000,"estimate_ms":1000,"affinity":"r1-1"}]}"#;
    cluster.submit(JOB_B, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_of(&cluster, JOB_B).len(), 3);
}

#[test]
fn a_held_urgent_task_preempts_no_run() {
    let mut cluster = cluster_with_a_full_rack();
    advance_in_steps(&mut cluster, 1_000);
    let urgent = format!("/urgent/{JOB_B}");
    cluster.request(
        sagetrail_protocol::client::ClientMethod::Submit,
        &urgent,
        NEAR_SECOND_RACK,
    );
    cluster.commit();
    advance_in_steps(&mut cluster, 700);
    assert_eq!(running_of(&cluster, JOB_A).len(), 8);
    assert_eq!(running_of(&cluster, JOB_B).len(), 2);
}

#[test]
fn a_gang_waits_only_for_a_rack_that_can_hold_it() {
    for (tasks, is_spread_at_once) in [(5, true), (4, false)] {
        let mut cluster = TestCluster::new(4);
        let small = r#"{"stages":[{"count":1,"cpu":1000,"estimate_ms":9000,"affinity":"r1-0"}]}"#;
        cluster.submit(JOB_A, small);
        let other = small.replace("r1-0", "r1-1");
        cluster.submit("00000000000000cc", &other);
        cluster.commit();
        cluster.execute_commands();
        // Two of the gang's tasks fit into an empty runner, four into an empty rack, and three into each rack at
        // present.
        let body = format!(
            r#"{{"stages":[{{"count":{tasks},"cpu":2000,"estimate_ms":4000,"gang":true,"rack_local":true}}]}}"#
        );
        cluster.submit(JOB_B, &body);
        cluster.commit();
        cluster.execute_commands();
        assert_eq!(!running_of(&cluster, JOB_B).is_empty(), is_spread_at_once);
        advance_in_steps(&mut cluster, 2_200);
        assert_eq!(running_of(&cluster, JOB_B).len(), tasks);
    }
}
