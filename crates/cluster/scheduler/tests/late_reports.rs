//! Late reports: of a replaced incarnation of an agent, or of a runner instance that is dead.
//!
//! Guards against a report that is delayed on the network and then taken as current. It would end runs that are still
//! active, start their tasks a second time, or replace the live agent, whose own reports would then be ignored.

mod test_cluster;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::{RunEnd, RunnerReport};
use sagetrail_protocol::client::ClientMethod;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use test_cluster::{config, node, TestCluster};

const JOB: &str = "00000000000000aa";
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
/// The number of random schedules, one for each seed.
const SCHEDULES: u64 = 1_500;
/// The number of random steps in a schedule.
const STEPS: usize = 60;

fn cluster_with_one_run() -> (TestCluster, NodeId) {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, ONE_TASK);
    cluster.commit();
    cluster.execute_commands();
    let runner_node = cluster.running()[0].node;
    (cluster, runner_node)
}

fn other_node(runner_node: NodeId) -> NodeId {
    if runner_node == node(0) {
        node(1)
    } else {
        node(0)
    }
}

/// Lets time pass while all agents report, and asserts that the run continues and its task is not started again.
fn assert_not_restarted(cluster: &mut TestCluster) {
    for _ in 0..6 {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(
        cluster.running()[0].attempt,
        1,
        "the task was started again"
    );
}

/// Changes a report into one of a replaced agent about a former instance without active runs.
fn report_of_replaced_agent(report: RunnerReport) -> RunnerReport {
    let instance = "i-former".into();
    RunnerReport {
        agent: 9,
        sequence: 900,
        instance,
        active: Vec::new().into(),
        ..report
    }
}

#[test]
fn a_late_report_of_a_replaced_agent_does_not_shut_out_the_current_one() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    let late = cluster.next_report(runner_node).expect("a report");
    cluster.restart_agent(runner_node, 60);
    cluster.start_next_term(config(1, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.deliver(runner_node, late);
    assert_not_restarted(&mut cluster);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(JOB), "completed");
}

#[test]
fn a_late_report_that_comes_first_in_a_term_ends_nothing() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    let report = cluster.next_report(runner_node).expect("a report");
    cluster.start_next_term(config(1, 2, 1));
    cluster.deliver(runner_node, report_of_replaced_agent(report.clone()));
    cluster.deliver(
        runner_node,
        RunnerReport {
            lease_expired: true,
            ..report_of_replaced_agent(report)
        },
    );
    assert_not_restarted(&mut cluster);
}

#[test]
fn a_late_report_in_the_middle_of_a_term_ends_nothing() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    let report = cluster.next_report(runner_node).expect("a report");
    for sequence in [900, 901] {
        cluster.deliver(
            runner_node,
            RunnerReport {
                sequence,
                term: 0,
                revision: 0,
                ..report_of_replaced_agent(report.clone())
            },
        );
        cluster.deliver(
            runner_node,
            RunnerReport {
                sequence,
                lease_expired: true,
                ..report_of_replaced_agent(report.clone())
            },
        );
    }
    assert_not_restarted(&mut cluster);
}

#[test]
fn a_restarted_agent_with_a_stale_heartbeat_ends_nothing_before_starts_are_resolved() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    let instance = cluster.runners[&runner_node].instance.clone();
    let active = cluster.runners[&runner_node].active.clone();
    cluster.restart_agent(runner_node, 60);
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    (runner.instance, runner.starts_resolved) = ("i-former".to_owned(), false);
    runner.active.clear();
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
    }
    let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
    (runner.instance, runner.starts_resolved, runner.active) = (instance, true, active);
    assert_not_restarted(&mut cluster);
}

#[test]
fn a_restarted_agent_ends_runs_that_are_certainly_over() {
    for lease_expired in [false, true] {
        let (mut cluster, runner_node) = cluster_with_one_run();
        cluster.restart_agent(runner_node, 60);
        let runner = cluster.runners.get_mut(&runner_node).expect("a runner");
        (
            runner.instance,
            runner.lease_expired,
            runner.starts_resolved,
        ) = ("i-new".to_owned(), lease_expired, !lease_expired);
        runner.active.clear();
        cluster.report_all();
        cluster.report_all();
        cluster.advance_ms(100);
        cluster.commit();
        let started = |node: &NodeId| {
            cluster.commands[node]
                .start
                .iter()
                .any(|start| start.attempt == 2)
        };
        assert!(
            [runner_node, other_node(runner_node)].iter().any(started),
            "lease_expired: {lease_expired}"
        );
    }
}

#[test]
fn runs_of_a_runner_unknown_to_its_restarted_agent_end_with_the_lease() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    cluster.restart_agent(runner_node, 60);
    for lease_expired in [false, true] {
        for _ in 0..2 {
            let report = cluster.next_report(runner_node).expect("a report");
            cluster.deliver(
                runner_node,
                RunnerReport {
                    has_runner: false,
                    instance: "".into(),
                    lease_expired,
                    ..report
                },
            );
        }
        cluster.advance_ms(100);
        cluster.commit();
        let started = cluster.commands[&other_node(runner_node)]
            .start
            .iter()
            .any(|start| start.attempt == 2);
        assert_eq!(started, lease_expired);
    }
}

/// Submits the job again and asserts that the answer is 200 and the job's state is unchanged.
fn assert_resubmitted(cluster: &mut TestCluster, state: &str) {
    let again = cluster.submit(JOB, ONE_TASK);
    cluster.commit();
    assert_eq!(cluster.reply(again).map(|reply| reply.status), Some(200));
    assert_eq!(cluster.state(JOB), state);
}

#[test]
fn a_resubmitted_id_stays_one_job_through_all_its_states() {
    for end in [None, Some(RunEnd::Done)] {
        let (mut cluster, _) = cluster_with_one_run();
        assert_resubmitted(&mut cluster, "running");
        cluster.start_next_term(config(1, 2, 1));
        assert_resubmitted(&mut cluster, "running");
        cluster.report_all();
        cluster.execute_commands();
        let state = if end.is_some() {
            "completed"
        } else {
            "cancelled"
        };
        match end {
            Some(end) => cluster.end_all_runs(end),
            None => {
                cluster.request(ClientMethod::Cancel, &format!("/q/{JOB}"), "");
                cluster.commit();
            }
        }
        assert_resubmitted(&mut cluster, state);
        cluster.start_next_term(config(1, 2, 1));
        for _ in 0..20 {
            cluster.advance_ms(500);
            cluster.report_all();
            cluster.execute_commands();
        }
        assert_resubmitted(&mut cluster, state);
        assert!(cluster.running().is_empty(), "{:?}", cluster.running());
    }
}

#[test]
fn unstarted_runs_of_a_draining_runner_move_at_once() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(JOB, ONE_TASK);
    cluster.commit();
    let runner_node = if cluster.commands[&node(0)].start.is_empty() {
        node(1)
    } else {
        node(0)
    };
    assert_eq!(cluster.commands[&runner_node].start.len(), 1);
    cluster
        .runners
        .get_mut(&runner_node)
        .expect("a runner")
        .draining = true;
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
        cluster.commit();
    }
    assert!(cluster.commands[&runner_node].start.is_empty());
    assert_eq!(
        cluster.commands[&other_node(runner_node)].start[0].attempt,
        2
    );
}

#[test]
fn a_draining_runner_keeps_draining_after_its_agent_restarts() {
    let (mut cluster, runner_node) = cluster_with_one_run();
    cluster
        .runners
        .get_mut(&runner_node)
        .expect("a runner")
        .draining = true;
    cluster.report_all();
    cluster.restart_agent(runner_node, 60);
    cluster
        .runners
        .get_mut(&runner_node)
        .expect("a runner")
        .draining = false;
    cluster.report_all();
    cluster.report_all();
    for job in 1..=8 {
        cluster.submit(
            &format!("{job:016x}"),
            r#"{"stages":[{"count":1,"cpu":1000}]}"#,
        );
    }
    cluster.commit();
    cluster.advance_ms(100);
    cluster.commit();
    assert!(cluster.commands[&runner_node].start.is_empty());
    assert!(!cluster.commands[&other_node(runner_node)].start.is_empty());
}

/// All reports sent so far, which a schedule may deliver again.
#[derive(Default)]
struct SentReports(Vec<(NodeId, RunnerReport)>);

/// Sends a runner's report and keeps a copy for a late delivery.
fn report(cluster: &mut TestCluster, sent: &mut SentReports, node: NodeId) {
    let Some(report) = cluster.next_report(node) else {
        return;
    };
    sent.0.push((node, report.clone()));
    cluster.deliver(node, report);
    cluster.commit();
}

/// Makes a runner execute its commands, and its agent report the result.
fn execute_commands(cluster: &mut TestCluster, sent: &mut SentReports, node: NodeId) {
    let Some(commands) = cluster.commands.get(&node).cloned() else {
        return report(cluster, sent, node);
    };
    let Some(runner) = cluster
        .runners
        .get_mut(&node)
        .filter(|runner| runner.instance == *commands.instance)
    else {
        return report(cluster, sent, node);
    };
    for start in commands.start.iter() {
        if !runner.has_ended(&start.task, start.attempt) {
            runner.active.insert(start.task.to_string(), start.attempt);
        }
    }
    commands
        .stop
        .iter()
        .for_each(|stop| runner.end(&stop.task, RunEnd::Stopped));
    runner.finished.retain(|run| run.number > commands.observed);
    report(cluster, sent, node);
}

/// Applies one random event: a late delivery, a restart of an agent, a new instance, a takeover, a failed run, a
/// report, an execution of commands, or the passing of time.
fn apply_random_step(
    cluster: &mut TestCluster,
    sent: &mut SentReports,
    random: &mut Pcg64Mcg,
    step: usize,
) {
    let node = node(random.random_range(0..3));
    match random.random_range(0..24) {
        0..=3 => {
            let (sender, late) = sent.0[random.random_range(0..sent.0.len())].clone();
            cluster.deliver(sender, late);
            cluster.commit();
        }
        4 => cluster.restart_agent(node, random.random_range(1..u64::MAX)),
        5 => {
            let runner = cluster.runners.get_mut(&node).expect("a runner");
            runner.instance = format!("i-{step}");
            (runner.active, runner.last_end_number) = (BTreeMap::new(), 0);
            runner.finished.clear();
            runner.ended_attempts.clear();
        }
        6 => cluster.start_next_term(config(1, 2, 1)),
        7 => {
            let runner = cluster.runners.get_mut(&node).expect("a runner");
            let task = runner.active.keys().next().cloned();
            task.into_iter()
                .for_each(|task| runner.end(&task, RunEnd::Failed));
        }
        8..=11 => report(cluster, sent, node),
        12..=17 => execute_commands(cluster, sent, node),
        _ => {
            cluster.advance_ms(random.random_range(1..150));
            cluster.commit();
        }
    }
}

/// Asserts that no task has two active runs. Returns the number of active runs.
fn assert_no_concurrent_runs(cluster: &TestCluster, seed: u64, step: usize) -> usize {
    let mut runs: Vec<String> = cluster.running().into_iter().map(|run| run.task).collect();
    let count = runs.len();
    runs.sort();
    runs.dedup();
    assert_eq!(
        runs.len(),
        count,
        "schedule {seed}, step {step}: a task runs twice: {:?}",
        cluster.running()
    );
    count
}

#[test]
fn no_schedule_of_late_reports_starts_a_task_twice() {
    let (mut max_running, mut complete_schedules) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut cluster, mut sent) = (TestCluster::new(3), SentReports::default());
        let body = r#"{"stages":[{"count":4,"cpu":1000,"long_running":true}]}"#;
        cluster.submit(JOB, body);
        cluster.commit();
        (0..3).for_each(|number| report(&mut cluster, &mut sent, node(number)));
        for number in 0..STEPS {
            apply_random_step(&mut cluster, &mut sent, &mut random, number);
            max_running = max_running.max(assert_no_concurrent_runs(&cluster, seed, number));
        }
        // Late reports must not shut out live agents for good: after regular reports all tasks run again.
        for number in 0..40 {
            (0..3).for_each(|runner| execute_commands(&mut cluster, &mut sent, node(runner)));
            cluster.advance_ms(100);
            cluster.commit();
            assert_no_concurrent_runs(&cluster, seed, STEPS + number);
        }
        complete_schedules += usize::from(cluster.running().len() == 4);
    }
    assert_eq!(max_running, 4);
    assert_eq!(
        complete_schedules, SCHEDULES as usize,
        "in some schedules not all tasks run in the end"
    );
}
