//! A job's life, as clients and agents see it.

mod test_cluster;
use sagetrail_protocol::agent::{Resources, RunEnd};
use sagetrail_protocol::client::ClientMethod;
use test_cluster::{config, node, TestCluster, START_WALL_MS};

const A: &str = "00000000000000aa";
const B: &str = "00000000000000bb";

#[test]
fn a_job_is_acknowledged_only_once_it_is_kept() {
    let mut cluster = TestCluster::new(2);
    let request = cluster.submit(A, r#"{"spec":"x","stages":[{"count":2,"cpu":500}]}"#);
    assert!(cluster.reply(request).is_none());
    cluster.commit();
    assert_eq!(cluster.reply(request).expect("kept").status, 200);
}

#[test]
fn the_same_id_again_is_one_job() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    let again = cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    assert_eq!(cluster.reply(again).expect("answered").status, 200);
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
}

#[test]
fn no_start_is_ordered_before_its_assignment_is_kept() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.report(node(0));
    assert!(cluster.orders[&node(0)].start.is_empty());
    cluster.commit();
    assert_eq!(cluster.orders[&node(0)].start.len(), 1);
}

#[test]
fn steps_wait_for_those_they_depend_on() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        A,
        r#"{"stages":[{"count":2,"cpu":500},{"count":1,"cpu":500,"depends_on":[0]}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 2);
    cluster.end_all_runs(RunEnd::Done);
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![(node(0), format!("{A}.0.1.0"), 1)]);
    assert_eq!(cluster.state(A), "running");
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(A), "completed");
}

#[test]
fn an_end_is_observed_only_once_it_is_kept() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    runner.end(&format!("{A}.0.0.0"), RunEnd::Done);
    cluster.report(node(0));
    assert_eq!(cluster.orders[&node(0)].observed, 0);
    cluster.commit();
    assert_eq!(cluster.orders[&node(0)].observed, 1);
}

#[test]
fn a_job_fails_after_its_attempts_and_nothing_starts_again() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    for _ in 0..2 {
        cluster.execute_commands();
        assert_eq!(cluster.running().len(), 1);
        cluster.end_all_runs(RunEnd::Failed);
    }
    assert_eq!(cluster.state(A), "failed");
    cluster.advance_ms(5_000);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn failures_are_counted_across_a_takeover() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    cluster.end_all_runs(RunEnd::Failed);
    cluster.start_next_term(config(1, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].2, 2);
    cluster.end_all_runs(RunEnd::Failed);
    assert_eq!(cluster.state(A), "failed");
}

#[test]
fn stops_and_lapses_are_no_failures() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":500}]}"#);
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
    assert_eq!(cluster.state(A), "running");
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(A, r#"{"stages":[{"count":3,"cpu":500}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let request = cluster.request(ClientMethod::Cancel, &format!("/q/{A}"), "");
    assert!(cluster.reply(request).is_none());
    cluster.commit();
    assert_eq!(cluster.reply(request).expect("kept").status, 200);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    assert_eq!(cluster.state(A), "cancelled");
    cluster.advance_ms(1_000);
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn an_unknown_job_is_gone() {
    let mut cluster = TestCluster::new(1);
    assert_eq!(cluster.state(B), "410");
    let request = cluster.request(ClientMethod::Cancel, &format!("/q/{B}"), "");
    assert_eq!(cluster.reply(request).expect("at once").status, 410);
}

#[test]
fn what_cannot_be_read_is_refused() {
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
        let request = cluster.submit(A, body);
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
fn times_start_when_they_fall_due_and_each_once() {
    let mut cluster = TestCluster::new(1);
    let first = START_WALL_MS + 1_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":2,"first_run_ms":{first},"interval_ms":2000}}"#
    );
    cluster.submit(A, &body);
    cluster.commit();
    cluster.advance_ms(900);
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![(node(0), format!("{A}.0.0.0"), 1)]);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(A), "running");
    cluster.advance_ms(1_900);
    cluster.report_all();
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![(node(0), format!("{A}.1.0.0"), 1)]);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(A), "completed");
}

#[test]
fn a_steady_clock_that_runs_fast_moves_no_due_time() {
    let mut cluster = TestCluster::new(1);
    let first = START_WALL_MS + 14_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":1,"first_run_ms":{first},"interval_ms":2000}}"#
    );
    cluster.submit(A, &body);
    cluster.commit();
    // Two hundredths fast: 280 ms in 14 s.
    for _ in 0..139 {
        cluster.now.steady = cluster.now.steady.plus_millis(2);
        cluster.advance_ms(100);
        cluster.execute_commands();
        assert!(cluster.running().is_empty());
    }
    cluster.advance_ms(100);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running(), vec![(node(0), format!("{A}.0.0.0"), 1)]);
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(
        A,
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
    assert_eq!(cluster.state(A), "running");
}

#[test]
fn a_gang_starts_whole_with_one_attempt_and_one_end_counts_for_all() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(A, r#"{"stages":[{"count":4,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 4);
    assert!(running.iter().all(|(_, _, attempt)| *attempt == 1));
    let runner = cluster.runners.get_mut(&node(0)).expect("a runner");
    let task = runner.active.keys().next().expect("a member").clone();
    runner.end(&task, RunEnd::Done);
    cluster.report_all();
    assert_eq!(cluster.state(A), "completed");
}

#[test]
fn a_gang_without_room_for_all_starts_none() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, r#"{"stages":[{"count":3,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.advance_ms(2_000);
    cluster.commit();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn a_broken_gang_starts_again_only_when_every_member_is_over() {
    let mut cluster = TestCluster::new(4);
    cluster.submit(A, r#"{"stages":[{"count":2,"cpu":3000,"gang":true}]}"#);
    cluster.commit();
    cluster.execute_commands();
    let first = cluster.running()[0].clone();
    let runner = cluster.runners.get_mut(&first.0).expect("a runner");
    runner.end(&first.1, RunEnd::Failed);
    cluster.report_all();
    assert!(cluster
        .orders
        .values()
        .all(|orders| orders.start.is_empty()));
    cluster.execute_commands();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 2);
    assert!(running.iter().all(|(_, _, attempt)| *attempt == 2));
}

#[test]
fn one_runner_carries_no_more_than_anti_affinity_allows() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, r#"{"stages":[{"count":4,"cpu":100,"anti_affinity":1}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 2);
}

#[test]
fn constraints_bind_at_every_start() {
    let mut cluster = TestCluster::new(2);
    cluster.runners.get_mut(&node(1)).expect("a runner").labels[0] = "b".to_owned();
    cluster.report_all();
    cluster.submit(
        A,
        r#"{"stages":[{"count":9,"cpu":1000,"constraints":"b"}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    let running = cluster.running();
    assert_eq!(running.len(), 4);
    assert!(running.iter().all(|(at, _, _)| *at == node(1)));
}

#[test]
fn no_runner_is_filled_beyond_its_capacity() {
    let mut cluster = TestCluster::new(3);
    for number in 0..20u64 {
        cluster.submit(
            &format!("{number:016x}"),
            r#"{"stages":[{"count":5,"cpu":700,"mem_mb":900}]}"#,
        );
    }
    cluster.commit();
    cluster.execute_commands();
    for runner in cluster.runners.values() {
        assert_eq!(runner.active.len(), 5);
    }
}

#[test]
fn urgent_work_stops_a_lesser_run_and_gets_its_room() {
    let mut cluster = TestCluster::new(1);
    cluster.submit(
        A,
        r#"{"stages":[{"count":4,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 4);
    let urgent = format!("/urgent/{B}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":1,"cpu":1000}]}"#,
    );
    cluster.commit();
    for _ in 0..10 {
        cluster.advance_ms(100);
        cluster.commit();
        cluster.execute_commands();
    }
    assert!(cluster
        .running()
        .iter()
        .any(|(_, task, _)| task.starts_with(B)));
    assert_eq!(cluster.running().len(), 4);
    let capacity = Resources {
        cpu: 4000,
        mem_mb: 8000,
        gpu: 0,
    };
    assert_eq!(cluster.runners[&node(0)].capacity, capacity);
}

#[test]
fn after_a_takeover_times_still_wait_until_they_fall_due() {
    let mut cluster = TestCluster::new(1);
    let first = START_WALL_MS + 5_000;
    let body = format!(
        r#"{{"stages":[{{"count":1,"cpu":500}}],"repeat":2,"first_run_ms":{first},"interval_ms":2000}}"#
    );
    cluster.submit(A, &body);
    cluster.commit();
    cluster.start_next_term(config(2, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.execute_commands();
    assert!(cluster.running().is_empty());
}

#[test]
fn room_is_made_for_all_urgent_tasks_at_once() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(
        A,
        r#"{"stages":[{"count":8,"cpu":1000,"checkpoints":true}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(600);
    cluster.report_all();
    let urgent = format!("/urgent/{B}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":6,"cpu":1000}]}"#,
    );
    cluster.commit();
    cluster.advance_ms(100);
    cluster.commit();
    let stops: usize = cluster
        .orders
        .values()
        .map(|orders| orders.stop.len())
        .sum();
    assert_eq!(stops, 6);
}

#[test]
fn lesser_work_leaves_the_room_that_urgent_work_lately_needed() {
    let mut cluster = TestCluster::new(2);
    let urgent = format!("/urgent/{B}");
    cluster.request(
        ClientMethod::Submit,
        &urgent,
        r#"{"stages":[{"count":2,"cpu":1000}]}"#,
    );
    cluster.commit();
    cluster.execute_commands();
    cluster.advance_ms(100);
    cluster.end_all_runs(RunEnd::Done);
    cluster.advance_ms(100);
    cluster.submit(A, r#"{"stages":[{"count":8,"cpu":1000}]}"#);
    cluster.commit();
    cluster.execute_commands();
    assert_eq!(cluster.running().len(), 6);
}

#[test]
fn data_is_gone_to_while_a_runner_near_it_has_room() {
    let mut cluster = TestCluster::new(8);
    for number in 0..8u64 {
        let body = r#"{"stages":[{"count":1,"cpu":500,"affinity":"r1-1"}]}"#;
        cluster.submit(&format!("{number:016x}"), body);
    }
    cluster.commit();
    cluster.execute_commands();
    let near = [node(2), node(3)];
    assert_eq!(cluster.running().len(), 8);
    assert!(cluster.running().iter().all(|(at, _, _)| near.contains(at)));
}

#[test]
fn what_can_still_be_in_time_goes_before_what_is_late() {
    let mut cluster = TestCluster::new(1);
    let body = r#"{"stages":[{"count":4,"cpu":1000,"estimate_ms":1000}]}"#;
    cluster.submit("0000000000000001", body);
    cluster.commit();
    cluster.execute_commands();
    cluster.submit(A, body);
    cluster.commit();
    for _ in 0..50 {
        cluster.advance_ms(100);
        cluster.report_all();
    }
    cluster.submit(B, body);
    cluster.commit();
    cluster.advance_ms(100);
    cluster.end_all_runs(RunEnd::Done);
    cluster.execute_commands();
    assert!(
        cluster
            .running()
            .iter()
            .all(|(_, task, _)| task.starts_with(B)),
        "{:?}",
        cluster.running()
    );
}

#[test]
fn a_task_that_needs_a_whole_runner_does_not_wait_for_ever_behind_smaller_ones() {
    let mut cluster = TestCluster::new(2);
    let small = r#"{"stages":[{"count":1,"cpu":1000}]}"#;
    for number in 0..8u64 {
        cluster.submit(&format!("{number:016x}"), small);
    }
    cluster.commit();
    cluster.execute_commands();
    cluster.submit(A, r#"{"stages":[{"count":1,"cpu":4000}]}"#);
    cluster.commit();
    // One small run ends each 200 ms and another is handed in.
    for number in 100..160u64 {
        cluster.advance_ms(200);
        cluster.commit();
        let oldest = cluster
            .running()
            .into_iter()
            .min_by_key(|(_, task, _)| task.clone());
        let Some((at, task, _)) = oldest.filter(|(_, task, _)| !task.starts_with(A)) else {
            break;
        };
        cluster
            .runners
            .get_mut(&at)
            .expect("a runner")
            .end(&task, RunEnd::Done);
        cluster.submit(&format!("{number:016x}"), small);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert!(cluster
        .running()
        .iter()
        .any(|(_, task, _)| task.starts_with(A)));
}
