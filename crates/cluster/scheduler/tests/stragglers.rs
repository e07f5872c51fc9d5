//! Guards against a runner that works much slower than others slowing down its jobs.
//!
//! Such a straggler must get no new runs and must lose runs that end sooner elsewhere. It must not be avoided forever:
//! a step that finds no other runner takes it, and stale evidence leads to a trial with a few runs.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use test_cluster::{node, TestCluster};

/// The number of runners, each of four cores.
const RUNNERS: u32 = 6;
/// The simulated time between two reports, in milliseconds.
const STEP_MS: u64 = 100;
/// The progress of a run at a runner of normal pace in `STEP_MS`, in percent of its estimate of two seconds.
const NORMAL_PROGRESS_PERCENT: u8 = 5;
const NEW_JOB: &str = "00000000000000aa";

/// Returns a cluster of six runners that are all full of runs with an estimate of two seconds.
fn busy_cluster(checkpoints: bool) -> TestCluster {
    let mut cluster = TestCluster::new(RUNNERS);
    for number in 0..u64::from(RUNNERS) * 4 {
        let body = format!(
            r#"{{"stages":[{{"count":1,"cpu":1000,"estimate_ms":2000,"checkpoints":{checkpoints}}}]}}"#
        );
        cluster.submit(&format!("{number:016x}"), &body);
    }
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4 * RUNNERS as usize);
    cluster
}

/// Advances the time by `steps` steps, each with reports. Runs at the `slow` runners make no progress; all others do.
fn advance_steps(cluster: &mut TestCluster, steps: u32, slow: &[NodeId]) {
    for _ in 0..steps {
        cluster.advance_ms(STEP_MS);
        for (address, runner) in &mut cluster.runners {
            if !slow.contains(address) {
                runner.percent = (runner.percent + NORMAL_PROGRESS_PERCENT) % 100;
            }
        }
        cluster.report_all();
    }
}

/// Ends all runs at one runner successfully.
fn end_all_runs_at(cluster: &mut TestCluster, address: NodeId) {
    let runner = cluster.runners.get_mut(&address).expect("a runner");
    let tasks: Vec<String> = runner.active.keys().cloned().collect();
    tasks.iter().for_each(|task| runner.end(task, RunEnd::Done));
    runner.percent = 0;
    cluster.report_all();
}

/// Returns the number of active runs at one runner.
fn count_running_at(cluster: &TestCluster, address: NodeId) -> usize {
    let running = cluster.running();
    running.iter().filter(|run| run.node == address).count()
}

#[test]
fn a_straggler_gets_no_new_runs_while_other_runners_have_capacity() {
    let mut cluster = busy_cluster(false);
    advance_steps(&mut cluster, 12, &[node(1)]);
    end_all_runs_at(&mut cluster, node(1));
    end_all_runs_at(&mut cluster, node(2));
    cluster.submit(NEW_JOB, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 0);
    assert_eq!(count_running_at(&cluster, node(2)), 4);
}

#[test]
fn a_step_that_finds_no_other_runner_starts_at_a_straggler_after_a_while() {
    let mut cluster = busy_cluster(false);
    advance_steps(&mut cluster, 12, &[node(1)]);
    end_all_runs_at(&mut cluster, node(1));
    cluster.submit(NEW_JOB, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    advance_steps(&mut cluster, 5, &[]);
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 0);
    advance_steps(&mut cluster, 12, &[]);
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 4);
}

#[test]
fn runs_move_from_a_straggler_to_runners_with_free_capacity() {
    let mut cluster = busy_cluster(true);
    end_all_runs_at(&mut cluster, node(2));
    advance_steps(&mut cluster, 12, &[node(1)]);
    for _ in 0..4 {
        cluster.execute_commands();
        cluster.advance_ms(STEP_MS);
    }
    assert_eq!(count_running_at(&cluster, node(1)), 0);
    assert_eq!(count_running_at(&cluster, node(2)), 4);
}

#[test]
fn runs_stay_at_a_straggler_if_no_other_runner_has_free_capacity() {
    let mut cluster = busy_cluster(true);
    advance_steps(&mut cluster, 12, &[node(1)]);
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 4);
}

#[test]
fn no_runner_is_a_straggler_if_all_are_slow() {
    let mut cluster = busy_cluster(false);
    let all: Vec<NodeId> = (0..RUNNERS).map(node).collect();
    advance_steps(&mut cluster, 12, &all);
    end_all_runs_at(&mut cluster, node(1));
    cluster.submit(NEW_JOB, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 4);
}

#[test]
fn a_straggler_with_stale_evidence_gets_trial_runs_and_then_full_load() {
    let mut cluster = busy_cluster(false);
    advance_steps(&mut cluster, 12, &[node(1)]);
    end_all_runs_at(&mut cluster, node(1));
    // Without runs the evidence becomes stale.
    advance_steps(&mut cluster, 20, &[]);
    cluster.submit(
        NEW_JOB,
        r#"{"stages":[{"count":40,"cpu":100,"estimate_ms":2000}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 5);
    advance_steps(&mut cluster, 12, &[]);
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 40);
}

#[test]
fn a_trial_without_evidence_ends() {
    let mut cluster = busy_cluster(false);
    advance_steps(&mut cluster, 12, &[node(1)]);
    end_all_runs_at(&mut cluster, node(1));
    advance_steps(&mut cluster, 20, &[]);
    // Long-running tasks have no progress that could show the runner's pace.
    let body = r#"{"stages":[{"count":40,"cpu":100,"long_running":true}]}"#;
    cluster.submit(NEW_JOB, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 5);
    advance_steps(&mut cluster, 32, &[]);
    cluster.execute_commands();
    assert_eq!(count_running_at(&cluster, node(1)), 40);
}
