//! Guards against commands and batches that grow with the waiting work beyond what their reader accepts.
//!
//! Commands that are longer than a frame never reach the agent, so its runner gets no lease and no start. A batch that is
//! longer than a frame is never committed, and nothing after it is either.

mod test_cluster;

use sagetrail_protocol::agent::{RunEnd, RunnerCommands, MAX_ACTIVE_RUNS};
use sagetrail_protocol::service::{RecordOperation, Service};
use sagetrail_protocol::{frame, Message};

use test_cluster::{config, node, TestCluster};

const JOB: &str = "00000000000000aa";
const URGENT_JOB: &str = "00000000000000ff";
/// The longest specification of a job, in bytes.
const MAX_SPEC_BYTES: usize = 4_000;
/// The longest commands that a runner's agent could pass on in one reply, in bytes.
const MAX_COMMANDS_BYTES: usize = 4 << 20;
/// The longest batch that is expected, in bytes of keys and values. Frames and queues of replicas take more.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// Returns the body of a job of `count` tasks of `cpu` thousandths of a core, with the longest specification.
fn large_job(count: usize, cpu: u64) -> String {
    let spec = "x".repeat(MAX_SPEC_BYTES);
    format!(r#"{{"spec":"{spec}","stages":[{{"count":{count},"cpu":{cpu},"checkpoints":true}}]}}"#)
}

/// Returns the size of the commands sent last to the only runner, in bytes.
fn commands_bytes(cluster: &TestCluster) -> usize {
    let commands: &RunnerCommands = &cluster.commands[&node(0)];
    let message = Message::RunnerCommands(commands.clone());
    frame::encode(&message).map_or(usize::MAX, |bytes| bytes.len())
}

/// Commits all batches and returns the size of the largest, in bytes of keys and values.
fn commit_and_measure(cluster: &mut TestCluster) -> usize {
    let mut largest = 0;
    while let Some(batch) = cluster.scheduler.take_batch() {
        let size = |operation: &RecordOperation| match operation {
            RecordOperation::Put { key, value } => key.len() + value.len(),
            RecordOperation::Delete { key } => key.len(),
        };
        largest = largest.max(batch.operations.iter().map(size).sum());
        cluster.scheduler.committed(cluster.now, batch.number);
        cluster.deliver_messages();
    }
    largest
}

#[test]
fn many_starts_with_large_specs_are_commanded_in_parts() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, &large_job(1_400, 2));
    cluster.commit();
    for _ in 0..20 {
        assert!(commands_bytes(&cluster) <= MAX_COMMANDS_BYTES);
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 1_400);
}

#[test]
fn starts_from_large_checkpoints_are_commanded_in_parts() {
    let mut cluster = TestCluster::with_config(1, config(1, 9, 1));
    cluster.submit(JOB, &large_job(400, 10));
    cluster.commit();
    for _ in 0..10 {
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 400);
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.checkpoint = "c".repeat(60_000);
    cluster.report_all();
    cluster.end_all_runs(RunEnd::Stopped);
    for _ in 0..60 {
        assert!(commands_bytes(&cluster) <= MAX_COMMANDS_BYTES);
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 400);
}

#[test]
fn an_urgent_start_does_not_wait_behind_many_large_ones() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, &large_job(1_000, 2));
    cluster.commit();
    let path = format!("/urgent/{URGENT_JOB}");
    let body = r#"{"stages":[{"count":1,"cpu":100}]}"#;
    cluster.request(
        sagetrail_protocol::client::ClientMethod::Submit,
        &path,
        body,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.execute_commands();
    let running = cluster.running();
    assert!(running.iter().any(|run| run.task.starts_with(URGENT_JOB)));
}

#[test]
fn a_runner_gets_no_more_runs_than_a_heartbeat_may_list() {
    let mut cluster = TestCluster::new(1);
    for number in 0..2u64 {
        let body = r#"{"stages":[{"count":10000}]}"#;
        cluster.submit(&format!("{number:016x}"), body);
    }
    cluster.commit();
    for _ in 0..30 {
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), MAX_ACTIVE_RUNS);
}

#[test]
fn many_large_submissions_are_committed_in_several_batches() {
    let mut cluster = TestCluster::new(1);
    for number in 0..2_000u64 {
        cluster.submit(&format!("{number:016x}"), &large_job(1, 4_000));
    }
    let largest = commit_and_measure(&mut cluster);
    assert!(largest <= MAX_BATCH_BYTES, "a batch of {largest} bytes");
    assert_eq!(cluster.replies.len(), 2_000);
}

#[test]
fn the_end_of_many_runs_with_large_checkpoints_is_committed_in_several_batches() {
    let mut cluster = TestCluster::with_config(1, config(1, 9, 1));
    cluster.submit(JOB, &large_job(600, 5));
    cluster.commit();
    for _ in 0..10 {
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 600);
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.checkpoint = "c".repeat(60_000);
    cluster.report(node(0));
    let largest = commit_and_measure(&mut cluster);
    assert!(largest <= MAX_BATCH_BYTES, "a batch of {largest} bytes");
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.active.clear();
    runner.lease_expired = true;
    cluster.report(node(0));
    let largest = commit_and_measure(&mut cluster);
    assert!(largest <= MAX_BATCH_BYTES, "a batch of {largest} bytes");
}
