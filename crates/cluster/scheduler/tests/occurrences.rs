//! Occurrences of timed jobs: each runs exactly once, across leaders too, and leaves nothing once it is over.
//!
//! Guards against a leader that holds each occurrence of a job for as long as the job lasts, and against one that runs an
//! occurrence again because the records of its tasks are gone.

mod test_cluster;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use std::collections::BTreeMap;
use test_cluster::{config, RunningTask, TestCluster};

const JOB: &str = "00000000000000aa";
/// The first byte of the key of a task's record.
const TASK_KEY: u8 = b't';
/// The number of random schedules, one for each seed.
const SCHEDULES: u64 = 300;

/// A job of five occurrences of two tasks, due every 100 ms from 100 ms after the start on.
const FIVE_TIMES: &str =
    r#"{"stages":[{"count":2,"cpu":100}],"repeat":5,"first_run_ms":1000100,"interval_ms":100}"#;

fn cluster_with(body: &str) -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, body);
    cluster.commit();
    cluster
}

/// Lets time pass, and has the runners act on their commands.
fn pass_time(cluster: &mut TestCluster, millis: u64) {
    cluster.advance_ms(millis);
    cluster.report_all();
    cluster.execute_commands();
}

/// Returns the names of the active runs' tasks, without the job's ID, in order.
fn running_tasks(cluster: &TestCluster) -> Vec<String> {
    let mut tasks: Vec<String> = cluster
        .running()
        .into_iter()
        .map(|run| run.task[JOB.len() + 1..].to_owned())
        .collect();
    tasks.sort();
    tasks
}

fn end_run(cluster: &mut TestCluster, run: &RunningTask, end: RunEnd) {
    let runner = cluster.runners.get_mut(&run.node).expect("a runner");
    runner.end(&run.task, end);
}

/// Ends the active runs of one occurrence as done.
fn finish_occurrence(cluster: &mut TestCluster, occurrence: u32) {
    let prefix = format!("{JOB}.{occurrence}.");
    for run in cluster.running() {
        if run.task.starts_with(&prefix) {
            end_run(cluster, &run, RunEnd::Done);
        }
    }
    cluster.report_all();
    cluster.execute_commands();
}

fn task_records(cluster: &TestCluster) -> Vec<Vec<u8>> {
    let keys = cluster.records.keys();
    keys.filter(|key| key[0] == TASK_KEY).cloned().collect()
}

fn start_next_term(cluster: &mut TestCluster) {
    cluster.start_next_term(config(1, 2, 1));
    cluster.commit();
    for _ in 0..2 {
        cluster.report_all();
        cluster.execute_commands();
    }
}

#[test]
fn an_occurrence_that_is_over_leaves_no_task_records_and_does_not_run_again() {
    let mut cluster = cluster_with(FIVE_TIMES);
    for occurrence in 0..2 {
        pass_time(&mut cluster, 100);
        finish_occurrence(&mut cluster, occurrence);
    }
    assert!(task_records(&cluster).is_empty());
    start_next_term(&mut cluster);
    pass_time(&mut cluster, 50);
    assert!(running_tasks(&cluster).is_empty());
    pass_time(&mut cluster, 50);
    assert_eq!(running_tasks(&cluster), ["2.0.0", "2.0.1"]);
    assert_eq!(cluster.state(JOB), "running");
}

#[test]
fn occurrences_that_end_out_of_order_do_not_run_again() {
    let mut cluster = cluster_with(FIVE_TIMES);
    for _ in 0..5 {
        pass_time(&mut cluster, 100);
    }
    assert_eq!(running_tasks(&cluster).len(), 10);
    for occurrence in [3, 1, 2] {
        finish_occurrence(&mut cluster, occurrence);
        start_next_term(&mut cluster);
    }
    let left = ["0.0.0", "0.0.1", "4.0.0", "4.0.1"];
    assert_eq!(running_tasks(&cluster), left);
    pass_time(&mut cluster, 1_000);
    assert_eq!(running_tasks(&cluster), left);
    finish_occurrence(&mut cluster, 4);
    finish_occurrence(&mut cluster, 0);
    assert_eq!(cluster.state(JOB), "completed");
    assert_eq!(cluster.records.len(), 1, "only the job's record is left");
}

#[test]
fn a_cancelled_job_leaves_only_its_own_record() {
    let mut cluster = cluster_with(FIVE_TIMES);
    pass_time(&mut cluster, 200);
    finish_occurrence(&mut cluster, 0);
    cluster.request(ClientMethod::Cancel, &format!("/q/{JOB}"), "");
    cluster.commit();
    for _ in 0..3 {
        pass_time(&mut cluster, 100);
    }
    assert!(running_tasks(&cluster).is_empty());
    assert_eq!(cluster.state(JOB), "cancelled");
    assert_eq!(cluster.records.len(), 1);
}

/// When the first member of a gang is done, the gang is; the other members end by themselves.
#[test]
fn an_occurrence_is_not_over_while_members_of_its_gang_are_active() {
    let mut cluster = cluster_with(
        r#"{"stages":[{"count":3,"cpu":100,"gang":true}],"repeat":2,"first_run_ms":1000100,"interval_ms":60000}"#,
    );
    pass_time(&mut cluster, 100);
    let runs = cluster.running();
    assert_eq!(runs.len(), 3);
    end_run(&mut cluster, &runs[0], RunEnd::Done);
    pass_time(&mut cluster, 100);
    assert_eq!(task_records(&cluster).len(), 3);
    for run in &runs[1..] {
        end_run(&mut cluster, run, RunEnd::GangMemberEnded);
    }
    pass_time(&mut cluster, 100);
    assert!(task_records(&cluster).is_empty());
    start_next_term(&mut cluster);
    assert!(cluster.running().is_empty());
}

/// Earlier versions left the record of each task until the end of the job.
#[test]
fn task_records_of_occurrences_that_are_over_are_replaced_at_the_start_of_a_term() {
    let mut cluster = cluster_with(FIVE_TIMES);
    for _ in 0..3 {
        pass_time(&mut cluster, 100);
    }
    let first = cluster.running()[0].clone();
    end_run(&mut cluster, &first, RunEnd::Done);
    pass_time(&mut cluster, 1);
    let other = cluster.running()[0].clone();
    end_run(&mut cluster, &other, RunEnd::Done);
    // The record of the task that is done stands for both tasks of the first occurrence.
    let keys = task_records(&cluster);
    let done = cluster.records[&keys[0]].clone();
    assert_eq!(done[0], 1, "the record of {} says done", first.task);
    cluster.records.insert(keys[1].clone(), done);
    start_next_term(&mut cluster);
    assert_eq!(task_records(&cluster), keys[2..]);
    assert_eq!(
        running_tasks(&cluster),
        ["1.0.0", "1.0.1", "2.0.0", "2.0.1"]
    );
}

/// Plays a random schedule of starts, ends, failures and new leaders, and returns how often each task was done.
fn play_schedule(seed: u64) -> BTreeMap<String, u32> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = cluster_with(FIVE_TIMES);
    let mut done: BTreeMap<String, u32> = BTreeMap::new();
    for _ in 0..400 {
        match random.random_range(0..8) {
            0 => start_next_term(&mut cluster),
            1 => cluster.advance_ms(random.random_range(1..80)),
            2 => cluster.report_all(),
            3 | 4 => cluster.execute_commands(),
            _ => {
                let runs = cluster.running();
                if runs.is_empty() {
                    continue;
                }
                let run = &runs[random.random_range(0..runs.len())];
                let is_done = random.random_range(0..4) > 0;
                let end = if is_done {
                    RunEnd::Done
                } else {
                    RunEnd::Rejected
                };
                *done.entry(run.task.clone()).or_default() += u32::from(is_done);
                end_run(&mut cluster, run, end);
            }
        }
    }
    for _ in 0..60 {
        pass_time(&mut cluster, 100);
        for run in cluster.running() {
            *done.entry(run.task.clone()).or_default() += 1;
            end_run(&mut cluster, &run, RunEnd::Done);
        }
    }
    assert_eq!(cluster.state(JOB), "completed", "seed {seed}");
    assert_eq!(cluster.records.len(), 1, "seed {seed}");
    done
}

#[test]
fn each_task_of_each_occurrence_is_done_once_in_random_schedules() {
    for seed in 0..SCHEDULES {
        let done = play_schedule(seed);
        assert_eq!(done.len(), 10, "seed {seed}");
        assert!(
            done.values().all(|&count| count == 1),
            "seed {seed}: {done:?}"
        );
    }
}
