//! Guards against faults of the capacity that is reserved for urgent work: work of lower priority must leave it free,
//! but it must not block such work on behalf of draining runners or of urgent tasks that no runner can take.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{node, TestCluster};

/// The job of priority 0.
const URGENT_JOB: &str = "00000000000000aa";
/// The job of priority 1.
const LOW_PRIORITY_JOB: &str = "00000000000000bb";
/// A job of far more tasks than all runners can take, whose constraint no runner meets.
const MANY_TASKS: &str = r#"{"stages":[{"count":40,"cpu":1000,"constraints":"b"}]}"#;

/// The time after the end of the traffic from which on no job may stand still beside idle runners, in milliseconds
/// (`finish_s`).
const FINISH_MS: u64 = 14_000;

/// Submits the urgent job.
fn submit_urgent(cluster: &mut TestCluster, body: &str) {
    cluster.request(ClientMethod::Submit, &format!("/urgent/{URGENT_JOB}"), body);
    cluster.commit();
}

#[test]
fn draining_runners_do_not_count_for_reserved_capacity() {
    let mut cluster = TestCluster::new(4);
    (1..4).for_each(|number| cluster.runners.get_mut(&node(number)).unwrap().draining = true);
    cluster.report_all();
    submit_urgent(
        &mut cluster,
        &MANY_TASKS.replace(r#","constraints":"b""#, ""),
    );
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
    cluster.request(ClientMethod::Cancel, &format!("/urgent/{URGENT_JOB}"), "");
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    cluster.submit(LOW_PRIORITY_JOB, r#"{"stages":[{"count":1,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
}

#[test]
fn urgent_work_that_no_runner_can_take_reserves_no_capacity() {
    let mut cluster = TestCluster::new(1);
    submit_urgent(&mut cluster, MANY_TASKS);
    cluster.submit(LOW_PRIORITY_JOB, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
}

#[test]
fn work_of_lower_priority_leaves_the_capacity_free_that_urgent_work_recently_needed() {
    let mut cluster = TestCluster::new(2);
    let urgent_path = format!("/urgent/{URGENT_JOB}");
    cluster.request(
        ClientMethod::Submit,
        &urgent_path,
        r#"{"stages":[{"count":2,"cpu":1000}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(100);
    cluster.end_all_runs(RunEnd::Done);
    cluster.advance_ms(100);
    cluster.submit(LOW_PRIORITY_JOB, r#"{"stages":[{"count":8,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 6);
}

/// Occupies less than half of a service of four runners with long-running tasks.
fn occupy_seven_cores(cluster: &mut TestCluster) {
    let body = r#"{"stages":[{"count":7,"cpu":1000,"mem_mb":1,"long_running":true}]}"#;
    cluster.submit("00000000000000cc", body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 7);
}

/// Returns true if a job is running for which there is free capacity twice over.
fn is_other_job_running(cluster: &TestCluster) -> bool {
    let running = cluster.running();
    running
        .iter()
        .any(|run| run.task.starts_with(LOW_PRIORITY_JOB))
}

/// Lets time pass while all runners report and execute their commands.
fn pass_ms(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / 100 {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
}

/// A backlog far beyond the service's capacity must not be remembered as capacity that urgent work may need again: the
/// reservation would stay at its upper limit for a minute.
#[test]
fn a_large_urgent_backlog_that_is_over_reserves_capacity_for_seconds_only() {
    let mut cluster = TestCluster::new(4);
    occupy_seven_cores(&mut cluster);
    submit_urgent(&mut cluster, r#"{"stages":[{"count":20000,"cpu":1000}]}"#);
    pass_ms(&mut cluster, 200);
    cluster.request(ClientMethod::Cancel, &format!("/urgent/{URGENT_JOB}"), "");
    cluster.commit();
    pass_ms(&mut cluster, 200);
    assert_eq!(cluster.running().len(), 7);
    cluster.submit(
        LOW_PRIORITY_JOB,
        r#"{"stages":[{"count":1,"cpu":3000,"mem_mb":1}]}"#,
    );
    cluster.commit();
    pass_ms(&mut cluster, FINISH_MS);
    assert!(is_other_job_running(&cluster));
}

/// GPUs that are reserved must not keep back a task that needs none, even if all GPUs are in use.
#[test]
fn a_task_starts_whatever_is_reserved_of_resources_that_it_does_not_need() {
    let mut cluster = TestCluster::new(4);
    for runner in cluster.runners.values_mut() {
        runner.capacity.gpu = 2;
    }
    cluster.report_all();
    submit_urgent(
        &mut cluster,
        r#"{"stages":[{"count":20,"cpu":100,"gpu":1}]}"#,
    );
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 8);
    cluster.submit(
        LOW_PRIORITY_JOB,
        r#"{"stages":[{"count":1,"cpu":3000,"mem_mb":1}]}"#,
    );
    cluster.commit();
    pass_ms(&mut cluster, 300);
    assert!(is_other_job_running(&cluster));
}
