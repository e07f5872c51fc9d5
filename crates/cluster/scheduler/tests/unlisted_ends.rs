//! Ends of runs for which a runner's heartbeat has no room, because it lists only the first ones.
//!
//! Guards against taking such runs for ones that never started: their tasks ran a second time on another runner, although
//! they had been done.

mod test_cluster;

use sagetrail_protocol::agent::{RunEnd, MAX_LISTED_ENDS};
use sagetrail_protocol::NodeId;
use test_cluster::{config, TestCluster};

const JOB: &str = "00000000000000aa";
/// The number of tasks, whose ends take several heartbeats.
const TASKS: usize = 3 * MAX_LISTED_ENDS + 200;
/// The number of rounds of reports in which all ends can be listed and observed.
const ROUNDS: usize = 12;

fn submit_tasks(cluster: &mut TestCluster) {
    let body = format!(r#"{{"stages":[{{"count":{TASKS},"cpu":1,"estimate_ms":2500}}]}}"#);
    cluster.submit(JOB, &body);
    cluster.commit();
}

/// Returns the runner at which all tasks run.
fn only_runner(cluster: &TestCluster) -> NodeId {
    let running = cluster.running();
    assert_eq!(running.len(), TASKS);
    let node = running[0].node;
    assert!(running.iter().all(|run| run.node == node));
    node
}

/// Ends all runs of a runner as done, without a report.
fn finish_runs(cluster: &mut TestCluster, node: NodeId) {
    let runner = cluster.runners.get_mut(&node).expect("a runner");
    let tasks: Vec<String> = runner.active.keys().cloned().collect();
    tasks.iter().for_each(|task| runner.end(task, RunEnd::Done));
}

fn start_drain(cluster: &mut TestCluster, node: NodeId, remaining_ms: u64) {
    let runner = cluster.runners.get_mut(&node).expect("a runner");
    runner.draining = true;
    runner.remaining_ms = remaining_ms;
}

/// Lets all runners report and act on their commands until the job is completed, and asserts that no task starts again.
fn assert_completed_without_second_starts(cluster: &mut TestCluster) {
    for _ in 0..ROUNDS {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
        let again = cluster.running();
        assert!(again.is_empty(), "{} tasks started again", again.len());
    }
    assert_eq!(cluster.state(JOB), "completed");
}

/// Runs all tasks on a runner, ends them, drains the runner and starts a term that has seen no report of it.
fn drain_with_ends_and_new_leader(cluster: &mut TestCluster) {
    submit_tasks(cluster);
    cluster.execute_commands();
    let node = only_runner(cluster);
    start_drain(cluster, node, 6_000);
    finish_runs(cluster, node);
    cluster.start_next_term(config(1, 2, 1));
}

#[test]
fn unlisted_ends_on_a_draining_runner_count_under_a_new_leader() {
    let mut cluster = TestCluster::new(2);
    drain_with_ends_and_new_leader(&mut cluster);
    assert_completed_without_second_starts(&mut cluster);
}

#[test]
fn unlisted_ends_of_runs_that_no_report_showed_active_count() {
    let mut cluster = TestCluster::new(2);
    submit_tasks(&mut cluster);
    for (node, commands) in cluster.commands.clone() {
        let runner = cluster.runners.get_mut(&node).expect("a runner");
        for start in commands.start.iter() {
            runner.start(&start.task, start.attempt);
        }
    }
    let node = only_runner(&cluster);
    finish_runs(&mut cluster, node);
    start_drain(&mut cluster, node, 6_000);
    assert_completed_without_second_starts(&mut cluster);
}

#[test]
fn unlisted_ends_of_runs_that_are_being_evacuated_count() {
    let mut cluster = TestCluster::new(2);
    submit_tasks(&mut cluster);
    cluster.execute_commands();
    let node = only_runner(&cluster);
    // The runs cannot end in time, so the scheduler stops them, but they are done before the stops arrive.
    start_drain(&mut cluster, node, 500);
    cluster.report_all();
    cluster.advance_ms(100);
    assert!(!cluster.commands[&node].stop.is_empty());
    finish_runs(&mut cluster, node);
    assert_completed_without_second_starts(&mut cluster);
}

#[test]
fn runs_that_never_started_move_once_all_ends_are_listed() {
    let mut cluster = TestCluster::new(2);
    submit_tasks(&mut cluster);
    cluster.execute_commands();
    let node = only_runner(&cluster);
    finish_runs(&mut cluster, node);
    let never_started = "00000000000000ab";
    cluster.submit(
        never_started,
        r#"{"stages":[{"count":1,"cpu":1,"estimate_ms":2500}]}"#,
    );
    cluster.commit();
    let has_start = |node: &NodeId| {
        let starts = cluster.commands[node].start.iter();
        starts
            .filter(|start| start.task.starts_with(never_started))
            .count()
            == 1
    };
    assert!(has_start(&node), "the run is assigned to the runner");
    start_drain(&mut cluster, node, 6_000);
    for _ in 0..ROUNDS {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert_eq!(cluster.state(JOB), "completed");
    let running = cluster.running();
    assert_eq!(running.len(), 1);
    assert_ne!(running[0].node, node);
}
