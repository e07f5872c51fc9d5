//! Guards against a runner that stays out of use after it was suspect, because the work that is left cannot be its trial
//! run or never ends.
//!
//! Only a run that succeeds makes a suspect runner healthy. If all the work for a runner are gangs, or if the trial run
//! lasts, the runner must come back into use all the same.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, RunningTask, TestCluster};

/// The label that only one runner has.
const RARE_LABEL: &str = "b";
/// The longest ejection of a runner after its first failures, in milliseconds.
const EJECTION_MS: u64 = 1_100;
/// The longest time for which accepted work may stand still beside an idle runner, in milliseconds.
const MAX_STILL_MS: u64 = 3_000;

/// Creates a cluster of four runners, the first of which is the only one with `RARE_LABEL`.
fn cluster_with_rare_label() -> TestCluster {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.labels[0] = RARE_LABEL.to_owned();
    cluster.report_all();
    cluster
}

/// Makes the runner with `RARE_LABEL` suspect: four jobs fail there and are cancelled. Then lets the ejection pass.
fn make_suspect(cluster: &mut TestCluster) {
    for id in 0..4u64 {
        submit(cluster, id, r#""count":1,"cpu":900"#);
    }
    for run in running_on_suspect(cluster) {
        if (0..4u64).any(|id| run.task.starts_with(&format!("{id:016x}"))) {
            let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
            runner.end(&run.task, RunEnd::Failed);
        }
    }
    cluster.report_all();
    for id in 0..4u64 {
        let path = format!("/q/{id:016x}");
        cluster.request(ClientMethod::Cancel, &path, "");
    }
    cluster.commit();
    pass_ms(cluster, EJECTION_MS);
}

/// Creates a cluster in which the only runner with `RARE_LABEL` has become suspect and is well again.
fn cluster_with_suspect() -> TestCluster {
    let mut cluster = cluster_with_rare_label();
    make_suspect(&mut cluster);
    assert_eq!(running_on_suspect(&cluster).len(), 0);
    cluster
}

/// Submits a job of one step that needs the rare label.
fn submit(cluster: &mut TestCluster, id: u64, stage: &str) {
    let body = format!(r#"{{"stages":[{{{stage},"constraints":"{RARE_LABEL}"}}]}}"#);
    cluster.submit(&format!("{id:016x}"), &body);
    cluster.commit();
    cluster.execute_commands();
}

/// Lets time pass while all runners report and execute their commands.
fn pass_ms(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / 100 {
        cluster.advance_ms(100);
        cluster.commit();
        cluster.execute_commands();
    }
}

fn running_on_suspect(cluster: &TestCluster) -> Vec<RunningTask> {
    let mut running = cluster.running();
    running.retain(|run| run.node == node(0));
    running
}

/// Returns the number of active runs of a job.
fn running_of(cluster: &TestCluster, id: u64) -> usize {
    let job = format!("{id:016x}");
    let running = cluster.running();
    let of_job = running.iter().filter(|run| run.task.starts_with(&job));
    of_job.count()
}

/// Ends all active runs in the same way.
fn end_all(cluster: &mut TestCluster, end: RunEnd) {
    cluster.end_all_runs(end);
    cluster.commit();
    cluster.execute_commands();
}

#[test]
fn a_whole_gang_may_be_the_trial_run() {
    let mut cluster = cluster_with_suspect();
    submit(&mut cluster, 10, r#""count":3,"cpu":900,"gang":true"#);
    pass_ms(&mut cluster, 300);
    assert_eq!(running_of(&cluster, 10), 3);
}

#[test]
fn after_a_gang_that_succeeded_the_runner_is_in_full_use() {
    let mut cluster = cluster_with_suspect();
    for id in 10..13 {
        submit(&mut cluster, id, r#""count":2,"cpu":900,"gang":true"#);
    }
    pass_ms(&mut cluster, 300);
    assert_eq!(running_on_suspect(&cluster).len(), 2);
    end_all(&mut cluster, RunEnd::Done);
    pass_ms(&mut cluster, 300);
    assert_eq!(running_on_suspect(&cluster).len(), 4);
}

#[test]
fn a_gang_that_fails_as_the_trial_run_is_followed_by_another_ejection() {
    let mut cluster = cluster_with_suspect();
    submit(&mut cluster, 10, r#""count":2,"cpu":900,"gang":true"#);
    pass_ms(&mut cluster, 300);
    end_all(&mut cluster, RunEnd::Failed);
    pass_ms(&mut cluster, 500);
    assert_eq!(running_on_suspect(&cluster).len(), 0);
    pass_ms(&mut cluster, 5_000);
    assert_eq!(running_of(&cluster, 10), 2);
}

#[test]
fn a_lasting_task_that_stays_at_work_ends_the_trial() {
    let mut cluster = cluster_with_suspect();
    submit(
        &mut cluster,
        10,
        r#""count":1,"cpu":600,"long_running":true"#,
    );
    submit(
        &mut cluster,
        11,
        r#""count":5,"cpu":600,"long_running":true"#,
    );
    pass_ms(&mut cluster, MAX_STILL_MS);
    assert_eq!(running_on_suspect(&cluster).len(), 6);
}

#[test]
fn a_lasting_gang_that_stays_at_work_ends_the_trial() {
    let mut cluster = cluster_with_suspect();
    for id in 10..12 {
        submit(
            &mut cluster,
            id,
            r#""count":2,"cpu":600,"gang":true,"long_running":true"#,
        );
    }
    pass_ms(&mut cluster, MAX_STILL_MS);
    assert_eq!(running_on_suspect(&cluster).len(), 4);
}

#[test]
fn a_trial_run_that_takes_long_does_not_keep_other_work_away() {
    let mut cluster = cluster_with_suspect();
    for id in 10..12 {
        submit(
            &mut cluster,
            id,
            r#""count":1,"cpu":600,"estimate_ms":60000"#,
        );
    }
    pass_ms(&mut cluster, 300);
    assert_eq!(running_on_suspect(&cluster).len(), 1);
    pass_ms(&mut cluster, MAX_STILL_MS);
    assert_eq!(running_on_suspect(&cluster).len(), 2);
}

#[test]
fn a_lasting_task_from_before_the_failures_proves_nothing() {
    let mut cluster = cluster_with_rare_label();
    submit(
        &mut cluster,
        9,
        r#""count":1,"cpu":100,"long_running":true"#,
    );
    make_suspect(&mut cluster);
    pass_ms(&mut cluster, MAX_STILL_MS);
    submit(
        &mut cluster,
        10,
        r#""count":4,"cpu":600,"estimate_ms":60000"#,
    );
    pass_ms(&mut cluster, 1_000);
    assert_eq!(running_of(&cluster, 10), 1);
}

#[test]
fn a_gang_takes_healthy_runners_before_one_on_trial() {
    let mut cluster = cluster_with_suspect();
    let body = r#"{"stages":[{"count":3,"cpu":3000,"gang":true}]}"#;
    cluster.submit("00000000000000aa", body);
    cluster.commit();
    cluster.execute_commands();
    let nodes: Vec<_> = cluster.running().iter().map(|run| run.node).collect();
    assert_eq!(nodes, [node(1), node(2), node(3)]);
}
