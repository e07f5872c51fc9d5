//! Reports of an earlier life of an agent, or of a runner that is no more, come late: they end nothing, start nothing
//! and take no living agent's place.

mod world;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sagetrail_protocol::agent::{RunEnd, RunnerReport};
use sagetrail_protocol::client::ClientMethod;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;
use world::{config, node, World};

const A: &str = "00000000000000aa";
const ONE_TASK: &str = r#"{"stages":[{"count":1,"cpu":500}]}"#;
const SCHEDULES: u64 = 1_500;
const STEPS: usize = 60;

fn one_running() -> (World, NodeId) {
    let mut world = World::new(2);
    world.submit(A, ONE_TASK);
    world.commit();
    world.obey_all();
    let at = world.running()[0].0;
    (world, at)
}

fn other_than(at: NodeId) -> NodeId {
    if at == node(0) {
        node(1)
    } else {
        node(0)
    }
}

/// Time passes and everybody reports; nothing may have been started beside what runs.
fn nothing_starts_again(world: &mut World) {
    for _ in 0..6 {
        world.pass_ms(100);
        world.report_all();
        world.obey_all();
    }
    assert_eq!(world.running().len(), 1);
    assert_eq!(world.running()[0].2, 1, "it was started again");
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
    let (mut world, at) = one_running();
    let late = world.next_report(at).expect("a report");
    world.restart_agent(at, 60);
    world.take_over(config(1, 2, 1));
    world.report_all();
    world.report_all();
    world.deliver(at, late);
    nothing_starts_again(&mut world);
    world.end_all(RunEnd::Done);
    assert_eq!(world.state(A), "completed");
}

#[test]
fn a_late_report_that_comes_first_in_a_term_ends_nothing() {
    let (mut world, at) = one_running();
    let report = world.next_report(at).expect("a report");
    world.take_over(config(1, 2, 1));
    world.deliver(at, former(report.clone()));
    world.deliver(
        at,
        RunnerReport {
            lease_expired: true,
            ..former(report)
        },
    );
    nothing_starts_again(&mut world);
}

#[test]
fn a_late_report_in_the_middle_of_a_term_ends_nothing() {
    let (mut world, at) = one_running();
    let report = world.next_report(at).expect("a report");
    for sequence in [900, 901] {
        world.deliver(
            at,
            RunnerReport {
                sequence,
                term: 0,
                revision: 0,
                ..former(report.clone())
            },
        );
        world.deliver(
            at,
            RunnerReport {
                sequence,
                lease_expired: true,
                ..former(report.clone())
            },
        );
    }
    nothing_starts_again(&mut world);
}

#[test]
fn a_new_agent_that_heard_an_instance_of_before_ends_nothing_until_it_is_settled() {
    let (mut world, at) = one_running();
    let instance = world.runners[&at].instance.clone();
    let active = world.runners[&at].active.clone();
    world.restart_agent(at, 60);
    let runner = world.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.settled) = ("i-former".to_owned(), false);
    runner.active.clear();
    for _ in 0..3 {
        world.report_all();
        world.pass_ms(100);
    }
    let runner = world.runners.get_mut(&at).expect("a runner");
    (runner.instance, runner.settled, runner.active) = (instance, true, active);
    nothing_starts_again(&mut world);
}

#[test]
fn a_new_agent_ends_what_it_knows_to_be_over() {
    for lapsed in [false, true] {
        let (mut world, at) = one_running();
        world.restart_agent(at, 60);
        let runner = world.runners.get_mut(&at).expect("a runner");
        (runner.instance, runner.lapsed, runner.settled) = ("i-new".to_owned(), lapsed, !lapsed);
        runner.active.clear();
        world.report_all();
        world.report_all();
        world.pass_ms(100);
        world.commit();
        let started = |node: &NodeId| {
            world.orders[node]
                .start
                .iter()
                .any(|start| start.attempt == 2)
        };
        assert!([at, other_than(at)].iter().any(started), "lapsed: {lapsed}");
    }
}

#[test]
fn runs_of_a_runner_that_no_new_agent_hears_are_over() {
    let (mut world, at) = one_running();
    world.restart_agent(at, 60);
    for lapsed in [false, true] {
        for _ in 0..2 {
            let report = world.next_report(at).expect("a report");
            world.deliver(
                at,
                RunnerReport {
                    has_runner: false,
                    instance: "".into(),
                    lease_expired: lapsed,
                    ..report
                },
            );
        }
        world.pass_ms(100);
        world.commit();
        let started = world.orders[&other_than(at)]
            .start
            .iter()
            .any(|start| start.attempt == 2);
        assert_eq!(started, lapsed);
    }
}

/// Submits the job again; it is accepted, and its state stays.
fn comes_again(world: &mut World, state: &str) {
    let again = world.submit(A, ONE_TASK);
    world.commit();
    assert_eq!(world.reply(again).map(|reply| reply.status), Some(200));
    assert_eq!(world.state(A), state);
}

#[test]
fn an_id_that_comes_again_stays_one_job_through_its_whole_life() {
    for end in [None, Some(RunEnd::Done)] {
        let (mut world, _) = one_running();
        comes_again(&mut world, "running");
        world.take_over(config(1, 2, 1));
        comes_again(&mut world, "running");
        world.report_all();
        world.obey_all();
        let state = if end.is_some() {
            "completed"
        } else {
            "cancelled"
        };
        match end {
            Some(end) => world.end_all(end),
            None => {
                world.request(ClientMethod::Cancel, &format!("/q/{A}"), "");
                world.commit();
            }
        }
        comes_again(&mut world, state);
        world.take_over(config(1, 2, 1));
        for _ in 0..20 {
            world.pass_ms(500);
            world.report_all();
            world.obey_all();
        }
        comes_again(&mut world, state);
        assert!(world.running().is_empty(), "{:?}", world.running());
    }
}

#[test]
fn what_a_runner_that_leaves_has_not_started_goes_elsewhere_at_once() {
    let mut world = World::new(2);
    world.submit(A, ONE_TASK);
    world.commit();
    let at = if world.orders[&node(0)].start.is_empty() {
        node(1)
    } else {
        node(0)
    };
    assert_eq!(world.orders[&at].start.len(), 1);
    world.runners.get_mut(&at).expect("a runner").draining = true;
    for _ in 0..3 {
        world.report_all();
        world.pass_ms(100);
        world.commit();
    }
    assert!(world.orders[&at].start.is_empty());
    assert_eq!(world.orders[&other_than(at)].start[0].attempt, 2);
}

#[test]
fn a_runner_that_leaves_still_does_so_at_a_new_agent() {
    let (mut world, at) = one_running();
    world.runners.get_mut(&at).expect("a runner").draining = true;
    world.report_all();
    world.restart_agent(at, 60);
    world.runners.get_mut(&at).expect("a runner").draining = false;
    world.report_all();
    world.report_all();
    for job in 1..=8 {
        world.submit(
            &format!("{job:016x}"),
            r#"{"stages":[{"count":1,"cpu":1000}]}"#,
        );
    }
    world.commit();
    world.pass_ms(100);
    world.commit();
    assert!(world.orders[&at].start.is_empty());
    assert!(!world.orders[&other_than(at)].start.is_empty());
}

/// Everything that was ever reported, to come again.
#[derive(Default)]
struct Past(Vec<(NodeId, RunnerReport)>);

fn report(world: &mut World, past: &mut Past, node: NodeId) {
    let Some(report) = world.next_report(node) else {
        return;
    };
    past.0.push((node, report.clone()));
    world.deliver(node, report);
    world.commit();
}

/// A runner carries out its orders; its agent reports what came of them.
fn obey(world: &mut World, past: &mut Past, node: NodeId) {
    let Some(orders) = world.orders.get(&node).cloned() else {
        return report(world, past, node);
    };
    let Some(runner) = world
        .runners
        .get_mut(&node)
        .filter(|runner| runner.instance == *orders.instance)
    else {
        return report(world, past, node);
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
    report(world, past, node);
}

fn step(world: &mut World, past: &mut Past, random: &mut Pcg64Mcg, step: usize) {
    let node = node(random.random_range(0..3));
    match random.random_range(0..24) {
        0..=3 => {
            let (to, late) = past.0[random.random_range(0..past.0.len())].clone();
            world.deliver(to, late);
            world.commit();
        }
        4 => world.restart_agent(node, random.random_range(1..u64::MAX)),
        5 => {
            let runner = world.runners.get_mut(&node).expect("a runner");
            runner.instance = format!("i-{step}");
            (runner.active, runner.numbers) = (BTreeMap::new(), 0);
            runner.finished.clear();
            runner.over.clear();
        }
        6 => world.take_over(config(1, 2, 1)),
        7 => {
            let runner = world.runners.get_mut(&node).expect("a runner");
            let task = runner.active.keys().next().cloned();
            task.into_iter()
                .for_each(|task| runner.end(&task, RunEnd::Failed));
        }
        8..=11 => report(world, past, node),
        12..=17 => obey(world, past, node),
        _ => {
            world.pass_ms(random.random_range(1..150));
            world.commit();
        }
    }
}

/// No task runs twice at a time.
fn check(world: &World, seed: u64, step: usize) -> usize {
    let mut runs: Vec<String> = world
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
        world.running()
    );
    count
}

#[test]
fn no_schedule_of_late_reports_starts_a_task_twice() {
    let (mut most, mut quiet) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut world, mut past) = (World::new(3), Past::default());
        let body = r#"{"stages":[{"count":4,"cpu":1000,"long_running":true}]}"#;
        world.submit(A, body);
        world.commit();
        (0..3).for_each(|number| report(&mut world, &mut past, node(number)));
        for number in 0..STEPS {
            step(&mut world, &mut past, &mut random, number);
            most = most.max(check(&world, seed, number));
        }
        // Whatever came late, the living are heard in the end: everything runs.
        for number in 0..40 {
            (0..3).for_each(|runner| obey(&mut world, &mut past, node(runner)));
            world.pass_ms(100);
            world.commit();
            check(&world, seed, STEPS + number);
        }
        quiet += usize::from(world.running().len() == 4);
    }
    assert_eq!(most, 4);
    assert_eq!(quiet, SCHEDULES as usize, "runners were lost for good");
}
