//! Guards against work that never starts because many steps in front of it cannot be placed. A pass considers a limited
//! number of steps, which must not be used up by steps that no runner can take.

mod test_cluster;

use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, TestCluster};

/// The number of steps in front; more than one pass considers.
const STEPS_IN_FRONT: u64 = 300;
/// The job behind them.
const OTHER_JOB: &str = "ffffffffffffffff";

fn submit(cluster: &mut TestCluster, queue: &str, job: &str, stage: &str) {
    let body = format!(r#"{{"stages":[{{{stage}}}]}}"#);
    cluster.request(ClientMethod::Submit, &format!("/{queue}/{job}"), &body);
    cluster.commit();
}

/// Creates a cluster with an urgent backlog of jobs with this step.
fn cluster_with_backlog(stage: &str) -> TestCluster {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    for number in 0..STEPS_IN_FRONT {
        submit(&mut cluster, "urgent", &format!("{number:016x}"), stage);
    }
    cluster
}

/// Lets time pass while all runners report and execute their commands.
fn pass_one_second(cluster: &mut TestCluster) {
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
}

/// Submits a job of lower priority and returns whether it is running after a short time.
fn other_job_starts(cluster: &mut TestCluster, stage: &str) -> bool {
    submit(cluster, "q", OTHER_JOB, stage);
    pass_one_second(cluster);
    let running = cluster.running();
    running.iter().any(|run| run.task.starts_with(OTHER_JOB))
}

#[test]
fn steps_whose_label_no_runner_has_do_not_keep_other_work_away() {
    let mut cluster = cluster_with_backlog(r#""count":1,"cpu":240,"constraints":"b""#);
    assert!(other_job_starts(&mut cluster, r#""count":1,"cpu":240"#));
}

#[test]
fn tasks_larger_than_any_runner_do_not_keep_other_work_away() {
    let mut cluster = cluster_with_backlog(r#""count":1,"cpu":5000"#);
    assert!(other_job_starts(&mut cluster, r#""count":1,"cpu":4000"#));
}

#[test]
fn gangs_with_more_tasks_than_fit_do_not_keep_other_work_away() {
    let mut cluster = cluster_with_backlog(r#""count":9,"cpu":4000,"gang":true"#);
    assert!(other_job_starts(&mut cluster, r#""count":1,"cpu":4000"#));
}

#[test]
fn steps_that_cannot_be_placed_do_not_keep_an_urgent_one_from_preempting() {
    let mut cluster = cluster_with_backlog(r#""count":1,"cpu":240,"constraints":"b""#);
    submit(
        &mut cluster,
        "q",
        OTHER_JOB,
        r#""count":16,"cpu":1000,"estimate_ms":90000"#,
    );
    pass_one_second(&mut cluster);
    assert_eq!(cluster.running().len(), 16);
    let urgent = "eeeeeeeeeeeeeeee";
    submit(&mut cluster, "urgent", urgent, r#""count":1,"cpu":1000"#);
    pass_one_second(&mut cluster);
    let running = cluster.running();
    assert!(running.iter().any(|run| run.task.starts_with(urgent)));
}

#[test]
fn steps_start_once_a_runner_with_their_label_comes() {
    let mut cluster = cluster_with_backlog(r#""count":1,"cpu":240,"constraints":"b""#);
    for runner in cluster.runners.values_mut() {
        runner.labels[0] = "b".to_owned();
    }
    pass_one_second(&mut cluster);
    assert_eq!(cluster.running().len(), 64);
}
