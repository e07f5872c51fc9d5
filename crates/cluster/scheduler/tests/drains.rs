//! Guards against a task that needs a whole runner starving behind smaller ones, and against other work waiting for
//! long beside a runner that is drained for it but still has idle capacity.

mod test_cluster;

use test_cluster::TestCluster;

/// The job whose task needs a whole runner.
const LARGE_JOB: &str = "00000000000000aa";
/// A job whose task would fit beside the runs on the drained runner.
const OTHER_JOB: &str = "00000000000000bb";
/// The simulated time between two reports, in milliseconds.
const STEP_MS: u64 = 100;

/// Advances the time in steps of `STEP_MS`, each with progress of all runs, reports and the execution of all commands.
fn advance_in_steps(cluster: &mut TestCluster, millis: u64) {
    for _ in 0..millis / STEP_MS {
        cluster.advance_ms(STEP_MS);
        // Without progress the runs would count as stalled.
        for runner in cluster.runners.values_mut() {
            runner.percent += 1;
        }
        cluster.report_all();
        cluster.execute_commands();
    }
}

/// Returns true if any task of the job is running.
fn is_running(cluster: &TestCluster, job: &str) -> bool {
    let running = cluster.running();
    running.iter().any(|run| run.task.starts_with(job))
}

/// Returns a cluster of one runner with four cores, of which `used_cores` are used by runs with an estimate of nine
/// seconds. The runner is being drained for a task that needs all four cores.
fn drained_runner(used_cores: u32) -> TestCluster {
    let mut cluster = TestCluster::new(1);
    let body = format!(r#"{{"stages":[{{"count":{used_cores},"cpu":1000,"estimate_ms":9000}}]}}"#);
    cluster.submit("0000000000000001", &body);
    cluster.commit();
    cluster.execute_commands();
    cluster.submit(
        LARGE_JOB,
        r#"{"stages":[{"count":1,"cpu":4000,"estimate_ms":1000}]}"#,
    );
    cluster.commit();
    advance_in_steps(&mut cluster, 1_300);
    assert!(!is_running(&cluster, LARGE_JOB));
    cluster
}

/// Submits a job of one task that needs one core, and advances the time by 300 ms.
fn submit_other_job(cluster: &mut TestCluster, estimate_ms: u64) {
    let body = format!(r#"{{"stages":[{{"count":1,"cpu":1000,"estimate_ms":{estimate_ms}}}]}}"#);
    cluster.submit(OTHER_JOB, &body);
    cluster.commit();
    advance_in_steps(cluster, 300);
}

#[test]
fn other_work_waits_until_the_runner_is_drained() {
    let mut cluster = drained_runner(3);
    submit_other_job(&mut cluster, 20_000);
    assert!(!is_running(&cluster, OTHER_JOB));
    // The service is busy, so the other job must not start before the large task, however long it waits.
    advance_in_steps(&mut cluster, 3_000);
    assert!(!is_running(&cluster, OTHER_JOB));
}

#[test]
fn a_drain_does_not_block_other_work_for_long_beside_idle_capacity() {
    let mut cluster = drained_runner(1);
    submit_other_job(&mut cluster, 20_000);
    assert!(!is_running(&cluster, OTHER_JOB));
    advance_in_steps(&mut cluster, 2_000);
    assert!(is_running(&cluster, OTHER_JOB));
}
