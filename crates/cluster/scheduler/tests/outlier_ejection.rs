//! Guards against a faulty runner that fails run after run, and against ejecting runners that are not the cause.
//!
//! A faulty runner is soon free again, so without ejection it would take and fail more runs than any healthy one. If
//! one job fails, or runs fail at many runners, the cause lies elsewhere and no runner may be ejected.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use test_cluster::{config, node, RunningTask, TestCluster};

/// Submits a job of one task for each ID and executes the commands that follow.
fn submit_jobs(cluster: &mut TestCluster, ids: std::ops::Range<u64>) {
    for id in ids {
        cluster.submit(
            &format!("{id:016x}"),
            r#"{"stages":[{"count":1,"cpu":900}]}"#,
        );
    }
    cluster.commit();
    cluster.execute_commands();
}

/// Ends all runs: those at the runners `failing` fail, all others succeed.
fn end_with_failures_at(cluster: &mut TestCluster, failing: &[NodeId]) {
    for RunningTask {
        node: address,
        task,
        ..
    } in cluster.running()
    {
        let end = if failing.contains(&address) {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        cluster
            .runners
            .get_mut(&address)
            .expect("a runner")
            .end(&task, end);
    }
    cluster.report_all();
}

/// Returns the number of active runs at one runner.
fn count_running_at(cluster: &TestCluster, address: NodeId) -> usize {
    cluster
        .running()
        .iter()
        .filter(|run| run.node == address)
        .count()
}

#[test]
fn a_runner_at_which_runs_fail_is_ejected_and_then_gets_one_trial_run() {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    submit_jobs(&mut cluster, 0..16);
    assert_eq!(count_running_at(&cluster, node(1)), 4);
    end_with_failures_at(&mut cluster, &[node(1)]);
    cluster.execute_commands();
    submit_jobs(&mut cluster, 100..116);
    assert_eq!(count_running_at(&cluster, node(1)), 0);
    for _ in 0..11 {
        cluster.advance_ms(100);
        cluster.report_all();
    }
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 1);
}

#[test]
fn many_failures_of_one_job_eject_no_runner() {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    cluster.submit("00000000000000aa", r#"{"stages":[{"count":16,"cpu":900}]}"#);
    cluster.commit();
    cluster.execute_commands();
    end_with_failures_at(&mut cluster, &[node(1)]);
    cluster.execute_commands();
    submit_jobs(&mut cluster, 100..116);
    assert!(count_running_at(&cluster, node(1)) > 1);
}

#[test]
fn no_runner_is_ejected_if_runs_fail_at_many_runners() {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    submit_jobs(&mut cluster, 0..16);
    end_with_failures_at(&mut cluster, &[node(0), node(1), node(2)]);
    submit_jobs(&mut cluster, 100..132);
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 16);
}
