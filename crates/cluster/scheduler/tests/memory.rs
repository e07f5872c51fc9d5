//! The memory that accepted jobs take.
//!
//! Guards against jobs that are accepted one by one and together outgrow the memory of the leader: it would be killed, and
//! so would each later leader, which has to hold the same jobs. Nothing accepted would be answered any more.

mod counting_allocator;
mod test_cluster;

use counting_allocator::CountingAllocator;
use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::client::ClientMethod;
use sagetrail_scheduler::CoreResources;
use test_cluster::{config, node, StoredState, TestCluster};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The memory of a core process, in megabytes.
const MEMORY_MB: f64 = 128.0;
/// The part of it that jobs may take, in bytes: half of what 64 MB leave.
const JOB_BYTES: usize = 32 << 20;
/// More jobs of any shape than that part can hold.
const MAX_SUBMISSIONS: usize = 40_000;
/// The longest body that the deployments' configurations allow, in bytes.
const MAX_BODY_BYTES: usize = 262_144;
/// The length of a checkpoint, in bytes, which is the longest that an agent passes on.
const CHECKPOINT_BYTES: usize = 64 << 10;

fn cluster_on(resources: CoreResources, runners: u32) -> TestCluster {
    let state = StoredState {
        config: Some(config(1, 2, 1)),
        resources,
        ..StoredState::default()
    };
    TestCluster::with_state(runners, state)
}

fn small_cluster(runners: u32) -> TestCluster {
    let resources = CoreResources {
        memory_mb: MEMORY_MB,
        disk_mb: None,
    };
    cluster_on(resources, runners)
}

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

/// Submits the same job under new IDs until one is rejected. Returns how many were accepted.
fn fill(cluster: &mut TestCluster, body: &str) -> usize {
    for number in 0..MAX_SUBMISSIONS {
        let request = cluster.submit(&job_id(number), body);
        cluster.commit();
        let status = cluster.reply(request).expect("an answer").status;
        cluster.replies.clear();
        if status == 429 {
            return number;
        }
        assert_eq!(status, 200);
    }
    panic!("no job was rejected");
}

/// Asserts that neither the jobs so far nor a new term that restores them take more memory than jobs may.
fn assert_within_memory(cluster: &mut TestCluster) {
    assert_peak(cluster, "before the new term");
    counting_allocator::reset_peak();
    cluster.start_next_term(config(1, 2, 1));
    assert_peak(cluster, "in the new term");
    cluster.report_all();
    cluster.report_all();
    cluster.advance_ms(100);
    assert_peak(cluster, "after reports in the new term");
}

fn assert_peak(cluster: &TestCluster, when: &str) {
    let peak = counting_allocator::peak_bytes();
    assert!(
        peak <= JOB_BYTES,
        "{peak} bytes {when}, {} records",
        cluster.records.len()
    );
}

/// Fills a cluster without runners with one shape of job and checks the memory.
fn check_shape(body: &str) -> TestCluster {
    let mut cluster = small_cluster(0);
    counting_allocator::reset_peak();
    let accepted = fill(&mut cluster, body);
    assert!(accepted > 0);
    assert_within_memory(&mut cluster);
    let last = job_id(accepted - 1);
    assert_eq!(cluster.state(&last), "queued", "{accepted} jobs");
    assert_eq!(cluster.state(&job_id(accepted)), "410");
    cluster
}

#[test]
fn jobs_of_one_small_task() {
    check_shape(r#"{"stages":[{"count":1}]}"#);
}

#[test]
fn jobs_of_many_tasks() {
    check_shape(r#"{"stages":[{"count":5000,"cpu":100}]}"#);
}

#[test]
fn jobs_of_many_steps() {
    let stages = vec![r#"{"count":1}"#; 256].join(",");
    check_shape(&format!(r#"{{"stages":[{stages}]}}"#));
}

#[test]
fn jobs_with_long_bodies() {
    let blanks = " ".repeat(MAX_BODY_BYTES - 100);
    check_shape(&format!(r#"{{"stages":[{{"count":1}}]{blanks}}}"#));
}

#[test]
fn jobs_with_many_labels() {
    let empty = vec![r#""""#; (MAX_BODY_BYTES - 100) / 3].join(",");
    check_shape(&format!(
        r#"{{"stages":[{{"count":1,"constraints":[{empty}]}}]}}"#
    ));
    let short = vec![r#""x""#; (MAX_BODY_BYTES - 100) / 4].join(",");
    check_shape(&format!(
        r#"{{"stages":[{{"count":1,"constraints":[{short}]}}]}}"#
    ));
}

#[test]
fn jobs_with_many_dependencies() {
    let on_first = vec!["0"; MAX_BODY_BYTES / 2 - 100].join(",");
    let stages = format!(r#"{{"count":1}},{{"count":1,"depends_on":[{on_first}]}}"#);
    check_shape(&format!(r#"{{"stages":[{stages}]}}"#));
}

#[test]
fn jobs_with_long_specs() {
    let spec = r"\u0001".repeat(4_000);
    check_shape(&format!(r#"{{"spec":"{spec}","stages":[{{"count":1}}]}}"#));
}

/// The database file is about twice as long as its records, and longer while all of them are replaced.
#[test]
fn records_of_long_bodies_leave_most_of_the_disk_free() {
    const DISK_MB: usize = 16;
    let mut cluster = cluster_on(
        CoreResources {
            memory_mb: 1_024.0,
            disk_mb: Some(DISK_MB as f64),
        },
        0,
    );
    let blanks = " ".repeat(MAX_BODY_BYTES - 100);
    let accepted = fill(
        &mut cluster,
        &format!(r#"{{"stages":[{{"count":1}}]{blanks}}}"#),
    );
    assert!(accepted > 0);
    let records = cluster.records.iter();
    let bytes: usize = records.map(|(key, value)| key.len() + value.len()).sum();
    assert!(bytes <= (DISK_MB << 20) / 4, "{bytes} bytes");
}

/// Hourly for a year: what is not due takes next to nothing.
#[test]
fn timed_jobs_that_are_not_due() {
    let mut cluster = small_cluster(0);
    let body = r#"{"stages":[{"count":2,"cpu":240,"mem_mb":250,"estimate_ms":560}],"repeat":8760,
        "first_run_ms":4600000,"interval_ms":3600000}"#;
    counting_allocator::reset_peak();
    for number in 0..500 {
        let request = cluster.submit(&job_id(number), body);
        cluster.commit();
        assert_eq!(cluster.reply(request).expect("an answer").status, 200);
    }
    assert!(counting_allocator::peak_bytes() < 500 * 4_000);
    assert_within_memory(&mut cluster);
}

/// All occurrences of all jobs fall due at once, and no runner takes their tasks.
#[test]
fn timed_jobs_whose_occurrences_are_all_due() {
    let body = r#"{"stages":[{"count":2}],"repeat":8760,"first_run_ms":1000500,"interval_ms":0}"#;
    let mut cluster = small_cluster(0);
    counting_allocator::reset_peak();
    for number in 0..100 {
        cluster.submit(&job_id(number), body);
        cluster.commit();
    }
    for _ in 0..20 {
        cluster.advance_ms(100);
        cluster.commit();
    }
    assert_within_memory(&mut cluster);
}

/// Occurrences for which there was no memory start once earlier ones are over, and all of them run exactly once.
#[test]
fn occurrences_that_wait_for_memory_run_in_the_end() {
    const TIMES: usize = 4_000;
    const JOBS: usize = 14;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":1}}],"repeat":{TIMES},"first_run_ms":1000500,"interval_ms":0}}"#
    );
    let mut cluster = small_cluster(1);
    counting_allocator::reset_peak();
    for number in 0..JOBS {
        cluster.submit(&job_id(number), &body);
    }
    let mut runs = 0;
    for _ in 0..300 {
        cluster.advance_ms(100);
        cluster.execute_commands();
        runs += cluster.running().len();
        cluster.end_all_runs(RunEnd::Done);
        cluster.replies.clear();
        if runs >= JOBS * TIMES {
            break;
        }
    }
    assert_eq!(runs, JOBS * TIMES);
    assert_peak(&cluster, "while the occurrences ran");
    cluster.execute_commands();
    for number in 0..JOBS {
        assert_eq!(cluster.state(&job_id(number)), "completed");
    }
    let records = cluster.records.len();
    assert_eq!(records, JOBS, "only the jobs' records are left");
}

/// Tasks gain a record and an assignment when they start, so jobs grow after they were accepted.
#[test]
fn jobs_whose_tasks_have_all_started() {
    let mut cluster = small_cluster(4);
    for number in 0..4 {
        let runner = cluster.runners.get_mut(&node(number)).expect("a runner");
        runner.capacity = Resources {
            cpu: 1_000_000,
            mem_mb: 1_000_000,
            gpu: 0,
        };
        runner.instance = format!("i-{number:032}");
    }
    cluster.report_all();
    cluster.report_all();
    counting_allocator::reset_peak();
    let accepted = fill(&mut cluster, r#"{"stages":[{"count":5000,"cpu":1}]}"#);
    assert!(accepted > 0);
    // The runners themselves take memory that the test must not count.
    cluster.runners.clear();
    cluster.commands.clear();
    assert_within_memory(&mut cluster);
}

/// Checkpoints grow while a task runs; without memory for a new one the former one stays.
#[test]
fn jobs_with_long_checkpoints() {
    let mut cluster = small_cluster(2);
    counting_allocator::reset_peak();
    cluster.request(
        ClientMethod::Submit,
        "/q/00000000000000aa",
        r#"{"stages":[{"count":300,"cpu":1,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 300);
    let nodes: Vec<_> = cluster.runners.keys().copied().collect();
    for node in nodes {
        let mut report = cluster.next_report(node).expect("a report");
        for index in 0..report.active.len() {
            let mut one = report.clone();
            one.sequence += index as u64;
            one.active.0[index].checkpoint = "c".repeat(CHECKPOINT_BYTES).into();
            cluster.deliver(node, one);
            cluster.commit();
        }
        report.active.0.clear();
    }
    cluster.runners.clear();
    cluster.commands.clear();
    assert_within_memory(&mut cluster);
}
