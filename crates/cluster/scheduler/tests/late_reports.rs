//! Late reports of an earlier incarnation of an agent, or of a dead runner: they end nothing, start nothing and take
//! no living agent's place.

mod test_cluster;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::{RunEnd, RunnerReport};
use sagetrail_protocol::client::ClientMethod;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use test_cluster::{config, node, TestCluster};

const A: &str = "00000000000000aa";
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
const SCHEDULES: u64 = 1_500;
const STEPS: usize = 60;

fn one_running() -> (TestCluster, NodeId) {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, ONE_TASK);
    cluster.commit();
    cluster.execute_commands();
    let at = cluster.running()[0].node;
    (cluster, at)
}

fn other_than(at: NodeId) -> NodeId {
    if at == node(0) {
        node(1)
    } else {
        node(0)
    }
}

/// Time passes and all agents report; nothing may have been started beside what runs.
fn nothing_starts_again(cluster: &mut TestCluster) {
    for _ in 0..6 {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].attempt, 1, "it was started again");
}

/// What a former agent reported of a former instance.
fn former(report: RunnerReport) -> RunnerReport {
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
fn a_late_report_of_a_former_agent_does_not_silence_the_present_one() {
    let (mut cluster, at) = one_running();
    let late = cluster.next_report(at).expect("a report");
    cluster.restart_agent(at, 60);
    cluster.start_next_term(config(1, 2, 1));
    cluster.report_all();
    cluster.report_all();
    cluster.deliver(at, late);
    nothing_starts_again(&mut cluster);
    cluster.end_all_runs(RunEnd::Done);
    assert_eq!(cluster.state(A), "completed");
}

#[test]
fn a_late_report_that_comes_first_in_a_term_ends_nothing() {
    let (mut cluster, at) = one_running();
    let report = cluster.next_report(at).expect("a report");
    cluster.start_next_term(config(1, 2, 1));
    cluster.deliver(at, former(report.clone()));
    cluster.deliver(
        at,
        RunnerReport {
            lease_expired: true,
            ..former(report)
        },
    );
    nothing_starts_again(&mut cluster);
}

#[test]
fn a_late_report_in_the_middle_of_a_term_ends_nothing() {
    let (mut cluster, at) = one_running();
    let report = cluster.next_report(at).expect("a report");
    for sequence in [900, 901] {
        cluster.deliver(
            at,
            RunnerReport {
                sequence,
                term: 0,
                revision: 0,
                ..former(report.clone())
            },
        );
        cluster.deliver(
            at,
            RunnerReport {
                sequence,
                lease_expired: true,
                ..former(report.clone())
            },
        );
    }
    nothing_starts_again(&mut cluster);
}

#[test]
fn a_new_agent_with_a_heartbeat_of_a_former_instance_ends_nothing_until_it_is_settled() {
    let (mut cluster, at) = one_running();
    let instance = cluster.runners[&at].instance.clone();
    let active = cluster.runners[&at].active.clone();
    cluster.restart_agent(at, 60);
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.starts_resolved) = ("i-former".to_owned(), false);
    runner.active.clear();
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
    }
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.starts_resolved, runner.active) = (instance, true, active);
    nothing_starts_again(&mut cluster);
}

#[test]
fn a_new_agent_ends_what_it_knows_to_be_over() {
    for lapsed in [false, true] {
        let (mut cluster, at) = one_running();
        cluster.restart_agent(at, 60);
        let runner = cluster.runners.get_mut(&at).expect("a runner");
        (
            runner.instance,
            runner.lease_expired,
            runner.starts_resolved,
        ) = ("i-new".to_owned(), lapsed, !lapsed);
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
        assert!([at, other_than(at)].iter().any(started), "lapsed: {lapsed}");
    }
}

#[test]
fn runs_of_a_runner_that_reaches_no_new_agent_are_over() {
    let (mut cluster, at) = one_running();
    cluster.restart_agent(at, 60);
    for lapsed in [false, true] {
        for _ in 0..2 {
            let report = cluster.next_report(at).expect("a report");
            cluster.deliver(
                at,
                RunnerReport {
                    has_runner: false,
                    instance: "".into(),
                    lease_expired: lapsed,
                    ..report
                },
            );
        }
        cluster.advance_ms(100);
        cluster.commit();
        let started = cluster.commands[&other_than(at)]
            .start
            .iter()
            .any(|start| start.attempt == 2);
        assert_eq!(started, lapsed);
    }
}

/// Submits the job again; it is accepted, and its state stays.
fn assert_resubmitted(cluster: &mut TestCluster, state: &str) {
    let again = cluster.submit(A, ONE_TASK);
    cluster.commit();
    assert_eq!(cluster.reply(again).map(|reply| reply.status), Some(200));
    assert_eq!(cluster.state(A), state);
}

#[test]
fn a_resubmitted_id_stays_one_job_through_all_its_states() {
    for end in [None, Some(RunEnd::Done)] {
        let (mut cluster, _) = one_running();
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
                cluster.request(ClientMethod::Cancel, &format!("/q/{A}"), "");
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
fn unstarted_runs_of_a_draining_runner_go_elsewhere_at_once() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, ONE_TASK);
    cluster.commit();
    let at = if cluster.commands[&node(0)].start.is_empty() {
        node(1)
    } else {
        node(0)
    };
    assert_eq!(cluster.commands[&at].start.len(), 1);
    cluster.runners.get_mut(&at).expect("a runner").draining = true;
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
        cluster.commit();
    }
    assert!(cluster.commands[&at].start.is_empty());
    assert_eq!(cluster.commands[&other_than(at)].start[0].attempt, 2);
}

#[test]
fn a_draining_runner_keeps_draining_at_a_new_agent() {
    let (mut cluster, at) = one_running();
    cluster.runners.get_mut(&at).expect("a runner").draining = true;
    cluster.report_all();
    cluster.restart_agent(at, 60);
    cluster.runners.get_mut(&at).expect("a runner").draining = false;
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
    assert!(cluster.commands[&at].start.is_empty());
    assert!(!cluster.commands[&other_than(at)].start.is_empty());
}

/// Everything that was ever reported, to be delivered again.
#[derive(Default)]
struct SentReports(Vec<(NodeId, RunnerReport)>);

fn report(cluster: &mut TestCluster, sent: &mut SentReports, node: NodeId) {
    let Some(report) = cluster.next_report(node) else {
        return;
    };
    sent.0.push((node, report.clone()));
    cluster.deliver(node, report);
    cluster.commit();
}

/// A runner carries out its commands; its agent reports what came of them.
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

fn random_step(
    cluster: &mut TestCluster,
    sent: &mut SentReports,
    random: &mut Pcg64Mcg,
    step: usize,
) {
    let node = node(random.random_range(0..3));
    match random.random_range(0..24) {
        0..=3 => {
            let (to, late) = sent.0[random.random_range(0..sent.0.len())].clone();
            cluster.deliver(to, late);
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

/// No task runs twice at a time. Returns how many run.
fn check(cluster: &TestCluster, seed: u64, step: usize) -> usize {
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
    let (mut most, mut all_running) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut cluster, mut sent) = (TestCluster::new(3), SentReports::default());
        let body = r#"{"stages":[{"count":4,"cpu":1000,"long_running":true}]}"#;
        cluster.submit(A, body);
        cluster.commit();
        (0..3).for_each(|number| report(&mut cluster, &mut sent, node(number)));
        for number in 0..STEPS {
            random_step(&mut cluster, &mut sent, &mut random, number);
            most = most.max(check(&cluster, seed, number));
        }
        // Whatever came late, living agents are believed in the end: everything runs.
        for number in 0..40 {
            (0..3).for_each(|runner| execute_commands(&mut cluster, &mut sent, node(runner)));
            cluster.advance_ms(100);
            cluster.commit();
            check(&cluster, seed, STEPS + number);
        }
        all_running += usize::from(cluster.running().len() == 4);
    }
    assert_eq!(most, 4);
    assert_eq!(
        all_running, SCHEDULES as usize,
        "runners were lost for good"
    );
}
