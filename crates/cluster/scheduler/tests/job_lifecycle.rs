//! Lifecycle of a job, from its submission to its end, as clients and agents observe it.
//!
//! Guards against answers and starts that precede the commit of their record, tasks that start too early, twice or not
//! at all, and failures that are counted wrongly.

mod test_cluster;

use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, first_run, node, TestCluster, START_WALL_MS};

const JOB: &str = "00000000000000aa";
const OTHER_JOB: &str = "00000000000000bb";

#[test]
fn a_submission_is_answered_only_after_its_commit() {
    let mut cluster = TestCluster::new(2);
    let request = cluster.submit(JOB, r#"{"spec":"x","stages":[{"count":2,"cpu":500}]}"#);
    assert!(cluster.reply(request).is_none());
    cluster.commit();
    assert_eq!(cluster.reply(request).expect("committed").status, 200);
}

#[test]
fn resubmitting_a_job_id_creates_no_second_job() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    let again = cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    assert_eq!(cluster.reply(again).expect("answered").status, 200);
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
}

#[test]
fn no_start_is_commanded_before_its_assignment_is_committed() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.report(node(0));
    assert!(cluster.commands[&node(0)].start.is_empty());
    cluster.commit();
    assert_eq!(cluster.commands[&node(0)].start.len(), 1);
}

#[test]
fn a_step_starts_only_after_its_dependencies_have_ended() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        JOB,
        r#"{"stages":[{"count":2,"cpu":500},{"count":1,"cpu":500,"depends_on":[0]}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 2);
    cluster.end_all_runs(RunEnd::Done);
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![first_run(format!("{JOB}.0.1.0"))]);
    assert_eq!(cluster.state(JOB), "running");
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(JOB), "completed");
}

#[test]
fn an_end_is_acknowledged_only_after_its_commit() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.end(&format!("{JOB}.0.0.0"), RunEnd::Done);
    cluster.report(node(0));
    assert_eq!(cluster.commands[&node(0)].observed, 0);
    cluster.commit();
    assert_eq!(cluster.commands[&node(0)].observed, 1);
}

#[test]
fn a_job_fails_after_its_last_attempt_and_is_not_restarted() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    for _ in 0..2 {
        cluster.execute_commands();
        assert_eq!(cluster.running().len(), 1);
        cluster.end_all_runs(RunEnd::Failed);
    }
    assert_eq!(cluster.state(JOB), "failed");
    cluster.advance_ms(5_000);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn failures_are_counted_across_a_takeover() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    cluster.end_all_runs(RunEnd::Failed);
    cluster.start_next_term(config(1, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].attempt, 2);
    cluster.end_all_runs(RunEnd::Failed);
    assert_eq!(cluster.state(JOB), "failed");
}

#[test]
fn only_failed_runs_count_as_failures() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    for end in [
        RunEnd::LeaseExpired,
        RunEnd::Stopped,
        RunEnd::Rejected,
        RunEnd::GangTimedOut,
        RunEnd::GangMemberEnded,
    ] {
        cluster.execute_commands();
        assert_eq!(cluster.running().len(), 1, "before {end:?}");
        cluster.end_all_runs(end);
    }
    assert_eq!(cluster.state(JOB), "running");
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(JOB, r#"{"stages":[{"count":3,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let request = cluster.request(ClientMethod::Cancel, &format!("/q/{JOB}"), "");
    assert!(cluster.reply(request).is_none());
    cluster.commit();
    assert_eq!(cluster.reply(request).expect("committed").status, 200);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    assert_eq!(cluster.state(JOB), "cancelled");
    cluster.advance_ms(1_000);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn requests_for_an_unknown_job_are_answered_with_410() {
    let mut cluster = TestCluster::new(1);
    assert_eq!(cluster.state(OTHER_JOB), "410");
    let request = cluster.request(ClientMethod::Cancel, &format!("/q/{OTHER_JOB}"), "");
    assert_eq!(cluster.reply(request).expect("at once").status, 410);
}

#[test]
fn invalid_requests_are_rejected() {
    let mut cluster = TestCluster::new(1);
    let bodies = [
        "",
        "{",
        r#"{"stages":[]}"#,
        r#"{"stages":[{"count":0}]}"#,
        r#"{"stages":[{"count":4000000000}]}"#,
        r#"{"stages":[{"count":1,"depends_on":[0]}]}"#,
        r#"{"stages":[{"count":1,"depends_on":[7]}]}"#,
        r#"{"stages":[{"count":-1}]}"#,
    ];
    for body in bodies {
        let request = cluster.submit(JOB, body);
        assert_eq!(
            cluster.reply(request).expect("at once").status,
            400,
            "{body}"
        );
    }
    let request = cluster.request(
        ClientMethod::Submit,
        "/q/nothex",
        r#"{"stages":[{"count":1}]}"#,
    );
    assert_eq!(cluster.reply(request).expect("at once").status, 400);
    let request = cluster.request(ClientMethod::Read, "/none/", "");
    assert_eq!(cluster.reply(request).expect("at once").status, 404);
}

#[test]
fn each_occurrence_starts_once_when_it_is_due() {
    let mut cluster = TestCluster::new(1);
    let first_run_ms = START_WALL_MS + 1_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":2,"first_run_ms":{first_run_ms},"interval_ms":2000}}"#
    );
    cluster.submit(JOB, &body);
    cluster.commit();
    cluster.advance_ms(900);
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![first_run(format!("{JOB}.0.0.0"))]);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(JOB), "running");
    cluster.advance_ms(1_900);
    cluster.report_all();
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![first_run(format!("{JOB}.1.0.0"))]);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(JOB), "completed");
}

#[test]
fn a_fast_steady_clock_does_not_shift_due_times() {
    let mut cluster = TestCluster::new(1);
    let first_run_ms = START_WALL_MS + 14_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":1,"first_run_ms":{first_run_ms},"interval_ms":2000}}"#
    );
    cluster.submit(JOB, &body);
    cluster.commit();
    // The steady clock runs 2 % fast, which adds up to 280 ms in 14 s.
    for _ in 0..139 {
        cluster.now.steady = cluster.now.steady.plus_millis(2);
        cluster.advance_ms(100);
        cluster.execute_commands();
        assert!(cluster.running().is_empty());
    }
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![first_run(format!("{JOB}.0.0.0"))]);
}

#[test]
fn a_long_running_task_restarts_after_any_end() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(
        JOB,
        r#"{"stages":[{"count":1,"cpu":500,"long_running":true}]}"#,
    );
    cluster.commit();
    for end in [
        RunEnd::Failed,
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Failed,
        RunEnd::Failed,
    ] {
        cluster.execute_commands();
        cluster.advance_ms(3_000);
        cluster.report_all();
        cluster.execute_commands();
        assert_eq!(cluster.running().len(), 1, "before {end:?}");
        cluster.end_all_runs(end);
    }
    assert_eq!(cluster.state(JOB), "running");
}

#[test]
fn occurrences_wait_until_they_are_due_after_a_takeover() {
    let mut cluster = TestCluster::new(1);
    let first_run_ms = START_WALL_MS + 5_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":2,"first_run_ms":{first_run_ms},"interval_ms":2000}}"#
    );
    cluster.submit(JOB, &body);
    cluster.commit();
    cluster.start_next_term(config(2, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}
