//! Guards against a placement pass for each single event in a large cluster, and against a commit that changes the
//! commands of runners that it does not affect.
//!
//! With many runners or pending steps, a pass for each event would use up the CPU, so passes keep an interval. With few
//! of them work must still be placed at once.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::service::Service;
use test_cluster::{node, RunningTask, TestCluster};

/// The job that is submitted first.
const JOB_A: &str = "00000000000000aa";
/// A job that is submitted after `JOB_A`.
const JOB_B: &str = "00000000000000bb";
/// A job of a single task of half a core.
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
/// A number of runners at which not every event leads to a pass.
const MANY_RUNNERS: u32 = 400;

/// Returns the number of starts that are commanded at present, over all runners.
fn count_commanded_starts(cluster: &TestCluster) -> usize {
    cluster
        .commands
        .values()
        .map(|commands| commands.start.len())
        .sum()
}

#[test]
fn with_few_runners_each_job_is_placed_at_once() {
    let mut cluster = TestCluster::new(4);
    for job in [JOB_A, JOB_B] {
        cluster.submit(job, ONE_TASK);
        cluster.commit();
    }
    assert_eq!(count_commanded_starts(&cluster), 2);
}

#[test]
fn with_many_runners_a_job_that_arrives_soon_after_a_pass_waits_for_the_next_one() {
    let mut cluster = TestCluster::new(MANY_RUNNERS);
    cluster.advance_ms(50);
    cluster.submit(JOB_A, ONE_TASK);
    cluster.commit();
    cluster.submit(JOB_B, ONE_TASK);
    cluster.commit();
    assert_eq!(count_commanded_starts(&cluster), 1);
    let due = cluster.scheduler.next_wake().expect("a pass is due");
    assert!(due > cluster.now.steady);
    assert!(due.millis_since(cluster.now.steady) < 10, "and soon");
    cluster.advance_ms(due.millis_since(cluster.now.steady) + 1);
    cluster.commit();
    assert_eq!(count_commanded_starts(&cluster), 2);
}

#[test]
fn with_many_runners_an_empty_queue_requests_no_pass() {
    let mut cluster = TestCluster::new(MANY_RUNNERS);
    cluster.advance_ms(200);
    cluster.advance_ms(5);
    cluster.submit(JOB_A, ONE_TASK);
    cluster.commit();
    assert_eq!(count_commanded_starts(&cluster), 1);
    let due = cluster.scheduler.next_wake().expect("the timer");
    assert!(
        due.millis_since(cluster.now.steady) >= 50,
        "nothing is pending, so the timer alone is due"
    );
}

#[test]
fn an_end_is_observed_at_its_runner_once_its_batch_is_committed_and_nowhere_else() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(JOB_A, ONE_TASK);
    cluster.commit();
    cluster.execute_commands();
    let RunningTask {
        node: address,
        task,
        ..
    } = cluster.running()[0].clone();
    cluster
        .runners
        .get_mut(&address)
        .expect("it runs there")
        .end(&task, RunEnd::Done);
    cluster.report(address);
    assert_eq!(cluster.commands[&address].observed, 0);
    cluster.commit();
    assert_eq!(cluster.commands[&address].observed, 1);
    let others = (0..4).map(node).filter(|other| *other != address);
    assert!(others
        .into_iter()
        .all(|other| cluster.commands[&other].observed == 0));
}

#[test]
fn with_many_pending_steps_capacity_freed_soon_after_a_pass_waits_for_the_next_one() {
    let mut cluster = TestCluster::new(4);
    for number in 0..200u64 {
        cluster.submit(
            &format!("{number:016x}"),
            r#"{"stages":[{"count":1,"cpu":4000}]}"#,
        );
    }
    cluster.commit();
    cluster.advance_ms(50);
    assert_eq!(count_commanded_starts(&cluster), 4);
    cluster.execute_commands();
    let run = cluster.running()[0].clone();
    let runner = cluster.runners.get_mut(&run.node).expect("a runner");
    runner.end(&run.task, RunEnd::Done);
    cluster.report(run.node);
    cluster.commit();
    let due = cluster.scheduler.next_wake().expect("a pass is due");
    assert!(due > cluster.now.steady);
    assert!(due.millis_since(cluster.now.steady) < 4, "and soon");
    cluster.advance_ms(4);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
}
