//! Reports of an earlier life of an agent, or of a runner that is no more, come late: they end nothing, start nothing
//! and take no living agent's place.

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
    let at = cluster.running()[0].0;
    (cluster, at)
}

fn other_than(at: NodeId) -> NodeId {
    if at == node(0) {
        node(1)
    } else {
        node(0)
    }
}

/// Time passes and everybody reports; nothing may have been started beside what runs.
fn nothing_starts_again(cluster: &mut TestCluster) {
    for _ in 0..6 {
        cluster.advance_ms(100);
        cluster.report_all();
        cluster.execute_commands();
    }
    assert_eq!(cluster.running().len(), 1);
    assert_eq!(cluster.running()[0].2, 1, "it was started again");
}

/// What an agent before the present one said of a runner before the present one.
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
fn a_new_agent_that_heard_an_instance_of_before_ends_nothing_until_it_is_settled() {
    let (mut cluster, at) = one_running();
    let instance = cluster.runners[&at].instance.clone();
    let active = cluster.runners[&at].active.clone();
    cluster.restart_agent(at, 60);
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.settled) = ("i-former".to_owned(), false);
    runner.active.clear();
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
    }
    let runner = cluster.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.settled, runner.active) = (instance, true, active);
    nothing_starts_again(&mut cluster);
}

#[test]
fn a_new_agent_ends_what_it_knows_to_be_over() {
    for lapsed in [false, true] {
        let (mut cluster, at) = one_running();
        cluster.restart_agent(at, 60);
        let runner = cluster.runners.get_mut(&at).expect("a runner");
        (runner.instance, runner.lapsed, runner.settled) = ("i-new".to_owned(), lapsed, !lapsed);
        runner.active.clear();
        cluster.report_all();
        cluster.report_all();
        cluster.advance_ms(100);
        cluster.commit();
        let started = |node: &NodeId| {
            cluster.orders[node]
                .start
                .iter()
                .any(|start| start.attempt == 2)
        };
        assert!([at, other_than(at)].iter().any(started), "lapsed: {lapsed}");
    }
}

#[test]
fn runs_of_a_runner_that_no_new_agent_hears_are_over() {
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
        let started = cluster.orders[&other_than(at)]
            .start
            .iter()
            .any(|start| start.attempt == 2);
        assert_eq!(started, lapsed);
    }
}

/// Submits the job again; it is accepted, and its state stays.
fn comes_again(cluster: &mut TestCluster, state: &str) {
    let again = cluster.submit(A, ONE_TASK);
    cluster.commit();
    assert_eq!(cluster.reply(again).map(|reply| reply.status), Some(200));
    assert_eq!(cluster.state(A), state);
}

#[test]
fn an_id_that_comes_again_stays_one_job_through_its_whole_life() {
    for end in [None, Some(RunEnd::Done)] {
        let (mut cluster, _) = one_running();
        comes_again(&mut cluster, "running");
        cluster.start_next_term(config(1, 2, 1));
        comes_again(&mut cluster, "running");
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
        comes_again(&mut cluster, state);
        cluster.start_next_term(config(1, 2, 1));
        for _ in 0..20 {
            cluster.advance_ms(500);
            cluster.report_all();
            cluster.execute_commands();
        }
        comes_again(&mut cluster, state);
        assert!(cluster.running().is_empty(), "{:?}", cluster.running());
    }
}

#[test]
fn what_a_runner_that_leaves_has_not_started_goes_elsewhere_at_once() {
    let mut cluster = TestCluster::new(2);
    cluster.submit(A, ONE_TASK);
    cluster.commit();
    let at = if cluster.orders[&node(0)].start.is_empty() {
        node(1)
    } else {
        node(0)
    };
    assert_eq!(cluster.orders[&at].start.len(), 1);
    cluster.runners.get_mut(&at).expect("a runner").draining = true;
    for _ in 0..3 {
        cluster.report_all();
        cluster.advance_ms(100);
        cluster.commit();
    }
    assert!(cluster.orders[&at].start.is_empty());
    assert_eq!(cluster.orders[&other_than(at)].start[0].attempt, 2);
}

#[test]
fn a_runner_that_leaves_still_does_so_at_a_new_agent() {
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
    assert!(cluster.orders[&at].start.is_empty());
    assert!(!cluster.orders[&other_than(at)].start.is_empty());
}

/// Everything that was ever reported, to come again.
#[derive(Default)]
struct Past(Vec<(NodeId, RunnerReport)>);

fn report(cluster: &mut TestCluster, past: &mut Past, node: NodeId) {
    let Some(report) = cluster.next_report(node) else {
        return;
    };
    past.0.push((node, report.clone()));
    cluster.deliver(node, report);
    cluster.commit();
}

/// A runner carries out its orders; its agent reports what came of them.
fn obey(cluster: &mut TestCluster, past: &mut Past, node: NodeId) {
    let Some(orders) = cluster.orders.get(&node).cloned() else {
        return report(cluster, past, node);
    };
    let Some(runner) = cluster
        .runners
        .get_mut(&node)
        .filter(|runner| runner.instance == *orders.instance)
    else {
        return report(cluster, past, node);
    };
    for start in orders.start.iter() {
        if !runner.has_ended(&start.task, start.attempt) {
            runner.active.insert(start.task.to_string(), start.attempt);
        }
    }
    orders
        .stop
        .iter()
        .for_each(|stop| runner.end(&stop.task, RunEnd::Stopped));
    runner.finished.retain(|run| run.number > orders.observed);
    report(cluster, past, node);
}

fn step(cluster: &mut TestCluster, past: &mut Past, random: &mut Pcg64Mcg, step: usize) {
    let node = node(random.random_range(0..3));
    match random.random_range(0..24) {
        0..=3 => {
            let (to, late) = past.0[random.random_range(0..past.0.len())].clone();
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
        8..=11 => report(cluster, past, node),
        12..=17 => obey(cluster, past, node),
        _ => {
            cluster.advance_ms(random.random_range(1..150));
            cluster.commit();
        }
    }
}

/// No task runs twice at a time.
fn check(cluster: &TestCluster, seed: u64, step: usize) -> usize {
    let mut runs: Vec<String> = cluster
        .running()
        .into_iter()
        .map(|(_, task, _)| task)
        .collect();
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
    let (mut most, mut quiet) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut cluster, mut past) = (TestCluster::new(3), Past::default());
        let body = r#"{"stages":[{"count":4,"cpu":1000,"long_running":true}]}"#;
        cluster.submit(A, body);
        cluster.commit();
        (0..3).for_each(|number| report(&mut cluster, &mut past, node(number)));
        for number in 0..STEPS {
            step(&mut cluster, &mut past, &mut random, number);
            most = most.max(check(&cluster, seed, number));
        }
        // Whatever came late, the living are heard in the end: everything runs.
        for number in 0..40 {
            (0..3).for_each(|runner| obey(&mut cluster, &mut past, node(runner)));
            cluster.advance_ms(100);
            cluster.commit();
            check(&cluster, seed, STEPS + number);
        }
        quiet += usize::from(cluster.running().len() == 4);
    }
    assert_eq!(most, 4);
    assert_eq!(quiet, SCHEDULES as usize, "runners were lost for good");
}
