//! How long work waits for a runner near its data. Work takes 1.5 times as long elsewhere.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use test_cluster::{node, RunningTask, TestCluster};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";
/// Tasks of a second near the second rack: they wait half a second for it.
const NEAR: &str = r#"{"stages":[{"count":2,"cpu":1000,"estimate_ms":1000,"affinity":"r1-1"}]}"#;

/// Two racks of two runners with four cores each; the second rack is full.
fn cluster_with_a_full_rack() -> TestCluster {
    let mut cluster = TestCluster::new(4);
    let body = r#"{"stages":[{"count":8,"cpu":1000,"estimate_ms":9000,"affinity":"r1-1"}]}"#;
    cluster.submit(A, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 8);
    assert!(cluster.running().iter().all(is_near));
    cluster
}

fn is_near(run: &RunningTask) -> bool {
    run.node == node(2) || run.node == node(3)
}

fn running_of(cluster: &TestCluster, job: &str) -> Vec<RunningTask> {
    let mut running = cluster.running();
    running.retain(|run| run.task.starts_with(job));
    running
}

fn pass_time(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / 50 {
        cluster.advance_ms(50);
        cluster.report_all();
        cluster.execute_commands();
    }
}

#[test]
fn a_task_takes_the_runner_near_its_data_that_becomes_free() {
    let mut cluster = cluster_with_a_full_rack();
    cluster.submit(B, NEAR);
    cluster.commit();
    pass_time(&mut cluster, 300);
    assert!(running_of(&cluster, B).is_empty());
    let ended: Vec<String> = cluster.runners[&node(3)].active.keys().cloned().collect();
    let runner = cluster.runners.get_mut(&node(3)).expect("a runner");
    ended.iter().for_each(|task| runner.end(task, RunEnd::Done));
    pass_time(&mut cluster, 100);
    let running = running_of(&cluster, B);
    assert_eq!(running.len(), 2);
    assert!(running.iter().all(is_near), "{running:?}");
}

#[test]
fn a_task_waits_no_longer_than_another_rack_would_cost_it() {
    let mut cluster = cluster_with_a_full_rack();
    cluster.submit(B, NEAR);
    cluster.commit();
    pass_time(&mut cluster, 400);
    assert!(running_of(&cluster, B).is_empty());
    pass_time(&mut cluster, 200);
    let running = running_of(&cluster, B);
    assert_eq!(running.len(), 2);
    assert!(!running.iter().any(is_near), "{running:?}");
}

#[test]
fn what_the_rack_cannot_take_in_that_time_does_not_wait() {
    let mut cluster = cluster_with_a_full_rack();
    // An empty rack of eight cores would take four of them in half a second.
    let body = r#"{"stages":[{"count":7,"cpu":1000,"estimate_ms":1000,"affinity":"r1-1"}]}"#;
    cluster.submit(B, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_of(&cluster, B).len(), 3);
}

#[test]
fn waiting_for_a_rack_preempts_nobody() {
    let mut cluster = cluster_with_a_full_rack();
    pass_time(&mut cluster, 1_000);
    let urgent = format!("/urgent/{B}");
    cluster.request(
        sagetrail_protocol::client::ClientMethod::Submit,
        &urgent,
        NEAR,
    );
    cluster.commit();
    pass_time(&mut cluster, 700);
    assert_eq!(running_of(&cluster, A).len(), 8);
    assert_eq!(running_of(&cluster, B).len(), 2);
}

#[test]
fn a_gang_waits_only_for_a_rack_that_can_hold_it() {
    for (tasks, is_spread_at_once) in [(5, true), (4, false)] {
        let mut cluster = TestCluster::new(4);
        let small = r#"{"stages":[{"count":1,"cpu":1000,"estimate_ms":9000,"affinity":"r1-0"}]}"#;
        cluster.submit(A, small);
        let other = small.replace("r1-0", "r1-1");
        cluster.submit("00000000000000cc", &other);
        cluster.commit();
        cluster.execute_commands();
        // Two of its tasks fit into an empty runner, four into an empty rack, and three into each rack now.
        let body = format!(
            r#"{{"stages":[{{"count":{tasks},"cpu":2000,"estimate_ms":4000,"gang":true,"rack_local":true}}]}}"#
        );
        cluster.submit(B, &body);
        cluster.commit();
        cluster.execute_commands();
        assert_eq!(!running_of(&cluster, B).is_empty(), is_spread_at_once);
        pass_time(&mut cluster, 2_200);
        assert_eq!(running_of(&cluster, B).len(), tasks);
    }
}
