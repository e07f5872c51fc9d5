//! Urgent work takes the capacity of lesser runs.

mod test_cluster;

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, TestCluster};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

#[test]
fn urgent_work_preempts_a_lesser_run_and_gets_its_capacity() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        A,
        r#"{"stages":[{"count":4,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
    let urgent = format!("/urgent/{B}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":1,"cpu":1000}]}"#,
    );
    cluster.commit();
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.commit();
        cluster.execute_commands();
    }
    assert!(cluster.running().iter().any(|run| run.task.starts_with(B)));
    assert_eq!(cluster.running().len(), 4);
    let capacity = Resources {
        cpu: 4000,
        mem_mb: 8000,
        gpu: 0,
    };
    assert_eq!(cluster.runners[&node(0)].capacity, capacity);
}

#[test]
fn capacity_is_freed_for_all_urgent_tasks_at_once() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(
        A,
        r#"{"stages":[{"count":8,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(600);
    cluster.report_all();
    let urgent = format!("/urgent/{B}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":6,"cpu":1000}]}"#,
    );
    cluster.commit();
    cluster.advance_ms(100);
    cluster.commit();
    let stops: usize = cluster
        .commands
        .values()
        .map(|commands| commands.stop.len())
        .sum();
    assert_eq!(stops, 6);
}

/// Two runners, each with a run of two cores that saves no checkpoint and should take this long; a gang of a higher
/// priority that needs both comes a second later. Returns how many of its tasks run at last.
fn gang_members_beside_runs_of(estimate_ms: u64) -> usize {
    let mut cluster = TestCluster::with_config(2, config(1, 2, 2));
    let lesser = format!(
        r#"{{"stages":[{{"count":2,"cpu":2000,"estimate_ms":{estimate_ms},"anti_affinity":1}}]}}"#
    );
    cluster.submit(A, &lesser);
    cluster.commit();
    cluster.execute_commands();
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.report_all();
    }
    assert_eq!(cluster.running().len(), 2);
    let gang = r#"{"stages":[{"count":2,"cpu":4000,"estimate_ms":2000,"gang":true}]}"#;
    cluster.request(ClientMethod::Submit, &format!("/middle/{B}"), gang);
    cluster.commit();
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.commit();
        cluster.execute_commands();
    }
    let running = cluster.running();
    let members = running.iter().filter(|run| run.task.starts_with(B));
    members.count()
}

#[test]
fn a_gang_stops_runs_without_checkpoints_whose_jobs_can_begin_anew_in_time() {
    // Due after twice the work and 800 ms: begun anew after 3 s, work of four seconds is in time, that of one is not.
    assert_eq!(gang_members_beside_runs_of(4_000), 2);
    assert_eq!(gang_members_beside_runs_of(1_000), 0);
}
