//! Runners at which work fails get none for a while.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use test_cluster::{config, node, RunningTask, TestCluster};

/// Submits jobs of one task each.
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

/// Ends all runs: those at `bad` fail, the others end well.
fn end_with_failures_at(cluster: &mut TestCluster, bad: &[NodeId]) {
    for RunningTask { node: at, task, .. } in cluster.running() {
        let end = if bad.contains(&at) {
            RunEnd::Failed
        } else {
            RunEnd::Done
        };
        cluster
            .runners
            .get_mut(&at)
            .expect("a runner")
            .end(&task, end);
    }
    cluster.report_all();
}

fn running_at(cluster: &TestCluster, at: NodeId) -> usize {
    cluster
        .running()
        .iter()
        .filter(|run| run.node == at)
        .count()
}

#[test]
fn a_runner_that_fails_what_others_do_is_ejected_then_tried_with_one_run() {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    submit_jobs(&mut cluster, 0..16);
    assert_eq!(running_at(&cluster, node(1)), 4);
    end_with_failures_at(&mut cluster, &[node(1)]);
    cluster.execute_commands();
    submit_jobs(&mut cluster, 100..116);
    assert_eq!(running_at(&cluster, node(1)), 0);
    for _ in 0..11 {
        cluster.advance_ms(100);
        cluster.report_all();
    }
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 1);
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
    assert!(running_at(&cluster, node(1)) > 1);
}

#[test]
fn where_many_fail_none_is_ejected() {
    let mut cluster = TestCluster::with_config(4, config(1, 9, 1));
    submit_jobs(&mut cluster, 0..16);
    end_with_failures_at(&mut cluster, &[node(0), node(1), node(2)]);
    submit_jobs(&mut cluster, 100..132);
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 16);
}
