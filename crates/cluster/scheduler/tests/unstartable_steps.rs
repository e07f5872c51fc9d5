//! Guards against capacity that is kept for steps that cannot use it: drained or preempted runners, and the capacity
//! reserved for urgent work. Such a step stays pending for good, so what is kept for it must not be kept from others.

mod test_cluster;

use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, TestCluster};

/// The job whose step cannot start.
const STUCK_JOB: &str = "00000000000000aa";
/// The job that could start in its place.
const OTHER_JOB: &str = "00000000000000bb";
/// The job that occupies the runners.
const RUNNING_JOB: &str = "00000000000000cc";
/// The longest time for which accepted work may stand still beside idle runners, in milliseconds.
const MAX_STILL_MS: u64 = 3_000;
/// The simulated time between two reports, in milliseconds.
const STEP_MS: u64 = 100;

fn cluster_of(runners: u32) -> TestCluster {
    TestCluster::with_config(runners, config(1, 9, 1))
}

fn submit(cluster: &mut TestCluster, queue: &str, job: &str, stage: &str) {
    let body = format!(r#"{{"stages":[{{{stage}}}]}}"#);
    cluster.request(ClientMethod::Submit, &format!("/{queue}/{job}"), &body);
    cluster.commit();
    cluster.execute_commands();
}

/// Lets time pass while all runs make progress and all runners execute their commands.
fn pass_ms(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / STEP_MS {
        cluster.advance_ms(STEP_MS);
        // Without progress the runs would count as stalled.
        for runner in cluster.runners.values_mut() {
            runner.percent = (runner.percent + 1) % 100;
        }
        cluster.report_all();
        cluster.execute_commands();
    }
}

fn running_of(cluster: &TestCluster, job: &str) -> usize {
    let running = cluster.running();
    running
        .iter()
        .filter(|run| run.task.starts_with(job))
        .count()
}

#[test]
fn nothing_is_preempted_for_a_gang_that_anti_affinity_keeps_from_starting() {
    let mut cluster = cluster_of(1);
    submit(
        &mut cluster,
        "q",
        RUNNING_JOB,
        r#""count":4,"cpu":1000,"estimate_ms":90000"#,
    );
    let stuck = r#""count":2,"cpu":1000,"gang":true,"anti_affinity":1"#;
    submit(&mut cluster, "urgent", STUCK_JOB, stuck);
    for _ in 0..60 {
        pass_ms(&mut cluster, STEP_MS);
        assert_eq!(running_of(&cluster, RUNNING_JOB), 4);
    }
}

#[test]
fn no_runner_is_drained_for_a_gang_that_anti_affinity_keeps_from_starting() {
    let mut cluster = cluster_of(1);
    submit(
        &mut cluster,
        "q",
        RUNNING_JOB,
        r#""count":3,"cpu":1000,"estimate_ms":90000"#,
    );
    let stuck = r#""count":2,"cpu":2000,"gang":true,"anti_affinity":1"#;
    submit(&mut cluster, "q", STUCK_JOB, stuck);
    pass_ms(&mut cluster, 1_500);
    submit(&mut cluster, "q", OTHER_JOB, r#""count":1,"cpu":1000"#);
    pass_ms(&mut cluster, 300);
    assert_eq!(running_of(&cluster, OTHER_JOB), 1);
}

#[test]
fn no_runner_is_drained_for_a_task_that_lasting_tasks_keep_from_starting() {
    let mut cluster = cluster_of(1);
    submit(
        &mut cluster,
        "q",
        RUNNING_JOB,
        r#""count":3,"cpu":1000,"long_running":true"#,
    );
    submit(&mut cluster, "q", STUCK_JOB, r#""count":1,"cpu":4000"#);
    pass_ms(&mut cluster, 1_500);
    submit(&mut cluster, "q", OTHER_JOB, r#""count":1,"cpu":1000"#);
    pass_ms(&mut cluster, 300);
    assert_eq!(running_of(&cluster, OTHER_JOB), 1);
}

#[test]
fn a_runner_whose_runs_end_is_drained_rather_than_one_with_a_lasting_task() {
    let mut cluster = cluster_of(2);
    submit(
        &mut cluster,
        "q",
        RUNNING_JOB,
        r#""count":1,"cpu":1000,"long_running":true"#,
    );
    let with_lasting_task = cluster.running()[0].node;
    submit(
        &mut cluster,
        "q",
        OTHER_JOB,
        r#""count":6,"cpu":1000,"estimate_ms":9000"#,
    );
    submit(&mut cluster, "q", STUCK_JOB, r#""count":1,"cpu":4000"#);
    // All but one of the others end on each runner, and new ones keep coming.
    for number in 0..60u64 {
        let job = format!("{:016x}", 0x100 + number);
        submit(
            &mut cluster,
            "q",
            &job,
            r#""count":1,"cpu":1000,"estimate_ms":9000"#,
        );
        let mut running = cluster.running();
        running
            .retain(|run| !run.task.starts_with(RUNNING_JOB) && !run.task.starts_with(STUCK_JOB));
        if let Some(oldest) = running.first() {
            let runner = cluster.runners.get_mut(&oldest.node).expect("a runner");
            runner.end(&oldest.task, sagetrail_protocol::agent::RunEnd::Done);
        }
        pass_ms(&mut cluster, STEP_MS);
    }
    let running = cluster.running();
    let stuck = running.iter().find(|run| run.task.starts_with(STUCK_JOB));
    assert!(stuck.is_some_and(|run| run.node != with_lasting_task));
}

/// Occupies less than half of a service of four runners, and submits an urgent step that stays pending. Returns whether
/// a job of lower priority starts for which there is capacity twice over.
fn other_work_starts_beside(stuck: &str, runners_with_label: u32) -> bool {
    let mut cluster = cluster_of(4);
    for number in 0..runners_with_label {
        let runner = cluster.runners.get_mut(&node(number)).expect("a runner");
        runner.labels[0] = "b".to_owned();
    }
    cluster.report_all();
    submit(
        &mut cluster,
        "q",
        RUNNING_JOB,
        r#""count":7,"cpu":1000,"mem_mb":1,"long_running":true"#,
    );
    submit(&mut cluster, "urgent", STUCK_JOB, stuck);
    pass_ms(&mut cluster, 500);
    assert_eq!(running_of(&cluster, STUCK_JOB), 0);
    submit(
        &mut cluster,
        "q",
        OTHER_JOB,
        r#""count":1,"cpu":3000,"mem_mb":1"#,
    );
    pass_ms(&mut cluster, MAX_STILL_MS);
    running_of(&cluster, OTHER_JOB) == 1
}

#[test]
fn an_urgent_task_larger_than_any_runner_reserves_nothing() {
    assert!(other_work_starts_beside(r#""count":9,"cpu":5000"#, 0));
}

#[test]
fn an_urgent_gang_with_more_tasks_than_fit_reserves_nothing() {
    assert!(other_work_starts_beside(
        r#""count":9,"cpu":3000,"gang":true"#,
        0
    ));
}

#[test]
fn an_urgent_gang_that_anti_affinity_keeps_from_starting_reserves_nothing() {
    let stuck = r#""count":4,"cpu":2000,"gang":true,"anti_affinity":1,"constraints":"b""#;
    assert!(other_work_starts_beside(stuck, 2));
}

#[test]
fn an_urgent_task_that_lasting_tasks_keep_from_starting_reserves_nothing() {
    let stuck = r#""count":9,"cpu":3500,"constraints":"b""#;
    let mut cluster = cluster_of(4);
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.labels[0] = "b".to_owned();
    cluster.report_all();
    let lasting = r#""count":1,"cpu":1000,"long_running":true"#;
    let with_label = format!(r#"{lasting},"constraints":"b""#);
    submit(&mut cluster, "q", RUNNING_JOB, &with_label);
    let others = lasting.replace(r#""count":1"#, r#""count":6"#);
    submit(&mut cluster, "q", "00000000000000dd", &others);
    submit(&mut cluster, "urgent", STUCK_JOB, stuck);
    pass_ms(&mut cluster, 500);
    submit(&mut cluster, "q", OTHER_JOB, r#""count":1,"cpu":3000"#);
    pass_ms(&mut cluster, MAX_STILL_MS);
    assert_eq!(running_of(&cluster, OTHER_JOB), 1);
}
