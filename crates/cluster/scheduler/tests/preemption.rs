//! Guards against urgent work that waits behind runs of lower priority in a full cluster.
//!
//! Such runs must be preempted, for all urgent tasks at once, and the freed capacity must go to the urgent job.

mod test_cluster;

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{node, TestCluster};

const LOW_PRIORITY_JOB: &str = "00000000000000aa";
const URGENT_JOB: &str = "00000000000000bb";

#[test]
fn urgent_work_preempts_a_run_of_lower_priority_and_gets_its_capacity() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        LOW_PRIORITY_JOB,
        r#"{"stages":[{"count":4,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
    let urgent_path = format!("/urgent/{URGENT_JOB}");
    cluster.request(
        ClientMethod::Submit,
        &urgent_path,
        r#"{"stages":[{"count":1,"cpu":1000}]}"#,
    );
    cluster.commit();
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.commit();
        cluster.execute_commands();
    }
    assert!(cluster
        .running()
        .iter()
        .any(|run| run.task.starts_with(URGENT_JOB)));
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
        LOW_PRIORITY_JOB,
        r#"{"stages":[{"count":8,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(600);
    cluster.report_all();
    let urgent_path = format!("/urgent/{URGENT_JOB}");
    cluster.request(
        ClientMethod::Submit,
        &urgent_path,
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
