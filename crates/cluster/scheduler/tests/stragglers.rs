//! Runners that work much slower than others.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::NodeId;
use test_cluster::{node, TestCluster};

const RUNNERS: u32 = 6;
const STEP_MS: u64 = 100;
/// What a sound runner's runs do in a step, in hundredths of two seconds of work.
const SOUND_PERCENT: u8 = 5;
const A: &str = "00000000000000aa";

/// Six runners full with runs of two seconds.
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

/// So many steps in which the runs at some runners stand still and all others go on.
fn work(cluster: &mut TestCluster, steps: u32, slow: &[NodeId]) {
    for _ in 0..steps {
        cluster.advance_ms(STEP_MS);
        for (at, runner) in &mut cluster.runners {
            if !slow.contains(at) {
                runner.percent = (runner.percent + SOUND_PERCENT) % 100;
            }
        }
        cluster.report_all();
    }
}

fn end_all_at(cluster: &mut TestCluster, at: NodeId) {
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    let tasks: Vec<String> = runner.active.keys().cloned().collect();
    tasks.iter().for_each(|task| runner.end(task, RunEnd::Done));
    runner.percent = 0;
    cluster.report_all();
}

fn running_at(cluster: &TestCluster, at: NodeId) -> usize {
    let running = cluster.running();
    running.iter().filter(|run| run.node == at).count()
}

#[test]
fn a_straggler_gets_no_new_work_while_others_take_it() {
    let mut cluster = busy_cluster(false);
    work(&mut cluster, 12, &[node(1)]);
    end_all_at(&mut cluster, node(1));
    end_all_at(&mut cluster, node(2));
    cluster.submit(A, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 0);
    assert_eq!(running_at(&cluster, node(2)), 4);
}

#[test]
fn work_that_finds_no_other_runner_takes_a_straggler_in_the_end() {
    let mut cluster = busy_cluster(false);
    work(&mut cluster, 12, &[node(1)]);
    end_all_at(&mut cluster, node(1));
    cluster.submit(A, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    work(&mut cluster, 5, &[]);
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 0);
    work(&mut cluster, 12, &[]);
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 4);
}

#[test]
fn runs_leave_a_straggler_for_runners_that_have_room() {
    let mut cluster = busy_cluster(true);
    end_all_at(&mut cluster, node(2));
    work(&mut cluster, 12, &[node(1)]);
    for _ in 0..4 {
        cluster.execute_commands();
        cluster.advance_ms(STEP_MS);
    }
    assert_eq!(running_at(&cluster, node(1)), 0);
    assert_eq!(running_at(&cluster, node(2)), 4);
}

#[test]
fn runs_stay_where_nobody_else_has_room() {
    let mut cluster = busy_cluster(true);
    work(&mut cluster, 12, &[node(1)]);
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 4);
}

#[test]
fn where_all_are_slow_none_is_a_straggler() {
    let mut cluster = busy_cluster(false);
    let all: Vec<NodeId> = (0..RUNNERS).map(node).collect();
    work(&mut cluster, 12, &all);
    end_all_at(&mut cluster, node(1));
    cluster.submit(A, r#"{"stages":[{"count":4,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 4);
}

#[test]
fn a_former_straggler_is_tried_and_then_filled_again() {
    let mut cluster = busy_cluster(false);
    work(&mut cluster, 12, &[node(1)]);
    end_all_at(&mut cluster, node(1));
    // Without runs the evidence goes stale.
    work(&mut cluster, 20, &[]);
    cluster.submit(
        A,
        r#"{"stages":[{"count":40,"cpu":100,"estimate_ms":2000}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 5);
    work(&mut cluster, 12, &[]);
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 40);
}

#[test]
fn a_trial_that_tells_nothing_ends() {
    let mut cluster = busy_cluster(false);
    work(&mut cluster, 12, &[node(1)]);
    end_all_at(&mut cluster, node(1));
    work(&mut cluster, 20, &[]);
    // Lasting tasks have no progress by which a runner could be judged.
    let body = r#"{"stages":[{"count":40,"cpu":100,"long_running":true}]}"#;
    cluster.submit(A, body);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 5);
    work(&mut cluster, 32, &[]);
    cluster.execute_commands();
    assert_eq!(running_at(&cluster, node(1)), 40);
}
