//! Stories of the exchange without a socket: one fake world, driven by calls with the time.

use sagetrail_dispatch::*;
use sagetrail_policy::{Category, Dispatcher, Job, Placement, PolicyConfig, Repeat};
use std::cell::Cell;
use std::rc::Rc;

/// What the exchange asked for, in order.
#[derive(Default)]
struct World {
    begun: Vec<(Task, usize, f64, Rc<Cell<bool>>)>,
    answers: Vec<(u32, u16)>,
    stopped: usize,
    again: Vec<Task>,
}

#[derive(Clone, Default)]
struct Fake(Rc<std::cell::RefCell<World>>);

impl Outside for Fake {
    type Client = u32;
    type Errand = ();
    fn answer(&mut self, client: u32, reply: Reply) {
        self.0.borrow_mut().answers.push((client, reply.status));
    }
    fn gone(_: &u32) -> bool {
        true
    }
    fn begin(&mut self, task: Task, runner: usize, _: Outgoing, until: f64, whole: Rc<Cell<bool>>) {
        self.0.borrow_mut().begun.push((task, runner, until, whole));
    }
    fn stop(&mut self, _: ()) {
        self.0.borrow_mut().stopped += 1;
    }
    fn again(&mut self, task: Task) {
        self.0.borrow_mut().again.push(task);
    }
    fn enlist(&mut self, _: Rc<Gate>) {}
    fn drop_idle(&mut self, _: usize) {}
    fn ask_discovery(&mut self) {}
    fn has_list(&mut self, _: bool) {}
}

fn exchange(runners: usize) -> (Exchange<Fake>, Fake) {
    let category = |repeat| Category {
        due_s: 0.5,
        stretch: 0.0,
        payoff: 1.0,
        tardy: 0.2,
        repeat,
        window_s: 3.0,
        placement: Placement::default(),
    };
    let terms = PolicyConfig {
        dispatcher_count: 1,
        requests_list: true,
        reports_acceptance: true,
        reports_start: true,
        may_cancel: true,
        max_retry_after_s: 2.0,
        max_attempts: 3,
        list_request_limit_s: 10.0,
        categories: vec![category(Repeat::Idempotent), category(Repeat::AtMostOnce)],
        ..PolicyConfig::default()
    };
    let parts = Parts {
        unix: 1e9,
        dial_s: 0.25,
        drain_s: 0.3,
        most_held: 100,
        retry_after_s: 1.0,
        two_at_once: false,
        may_cancel: true,
    };
    let world = Fake::default();
    let mut exchange = Exchange::new(Dispatcher::new(terms, 7, 0.0), world.clone(), parts, 0.0);
    let member = |n: usize| Member {
        id: format!("s-{n}"),
        address: Some(([127, 0, 0, 1], 4000 + n as u16).into()),
        kind: 0,
        zone: 0,
        cell: 0,
        started: 0.0,
        life: Life::Ready,
    };
    exchange.listed(Told {
        whole: true,
        members: (0..runners).map(member).collect(),
        ..Told::default()
    });
    (exchange, world)
}

fn take(exchange: &mut Exchange<Fake>, now: f64, id: &str, category: usize) {
    let order = Order {
        id: id.into(),
        target: "/a".to_string(),
        headers: Default::default(),
        body: Default::default(),
        gone: Default::default(),
    };
    let job = Job {
        category,
        key: 0,
        expires_at_s: 0.0,
        hint_s: 0.0,
        slots: 1.0,
        memory: 0.0,
    };
    exchange.at(now);
    exchange.take(order, job, 4.0, 1);
    exchange.settle();
}

fn callback(exchange: &mut Exchange<Fake>, now: f64, from: &str, state: State) {
    exchange.at(now);
    exchange.callback(Callback {
        id: "w".to_string(),
        from: from.to_string(),
        state,
    });
    exchange.settle();
}

#[test]
fn a_result_is_one_answer_however_often_it_is_told() {
    let (mut exchange, world) = exchange(1);
    take(&mut exchange, 1.0, "w", 0);
    let whole = world.0.borrow().begun[0].3.clone();
    callback(
        &mut exchange,
        1.1,
        "s-0",
        State::Done {
            result: String::new(),
        },
    );
    assert!(
        world.0.borrow().answers.is_empty(),
        "nothing has been written to it yet"
    );
    whole.set(true);
    for now in [1.2, 1.3] {
        callback(
            &mut exchange,
            now,
            "s-0",
            State::Done {
                result: String::new(),
            },
        );
    }
    assert_eq!(world.0.borrow().answers, [(1, 200)]);
}

#[test]
fn exclusive_work_that_may_have_run_is_written_off() {
    let (mut exchange, world) = exchange(2);
    take(&mut exchange, 1.0, "w", 1);
    let (task, ..) = world.0.borrow().begun[0];
    exchange.at(1.1);
    exchange.errand_ended(task, Err(Broken::Unanswered));
    exchange.settle();
    assert_eq!(world.0.borrow().answers, [(1, 502)]);
    assert_eq!(world.0.borrow().begun.len(), 1);
}

#[test]
fn what_was_never_reached_goes_to_the_other_runner() {
    let (mut exchange, world) = exchange(2);
    take(&mut exchange, 1.0, "w", 1);
    let (task, first, ..) = world.0.borrow().begun[0];
    exchange.at(1.1);
    exchange.errand_ended(task, Err(Broken::Unreached));
    exchange.settle();
    let begun = &world.0.borrow().begun;
    assert_eq!(begun.len(), 2);
    assert_ne!(begun[1].1, first);
}

#[test]
fn at_the_expiry_it_is_given_up_and_answered_by_the_clock_alone() {
    let (mut exchange, world) = exchange(1);
    take(&mut exchange, 1.0, "w", 1);
    let mut now = 1.0;
    while exchange.due() < 8.0 && world.0.borrow().answers.is_empty() {
        now = exchange.due().max(now + 1e-4);
        exchange.at(now);
        exchange.settle();
    }
    assert_eq!(world.0.borrow().answers, [(1, 502)]);
    assert!(now <= 5.0 + 0.02, "at {now}");
    assert_eq!(world.0.borrow().stopped, 1);
}

#[test]
fn a_fault_in_one_call_is_contained() {
    let (mut exchange, world) = exchange(1);
    exchange.guarded(|_| panic!("a fault"));
    take(&mut exchange, 1.0, "w", 0);
    assert_eq!(world.0.borrow().begun.len(), 1);
}

#[test]
fn a_runner_out_by_hand_gets_nothing_until_it_is_put_back() {
    let (mut exchange, world) = exchange(1);
    assert!(!exchange.by_hand("s-9", true), "no list ever named it");
    assert!(exchange.by_hand("s-0", true));
    take(&mut exchange, 1.0, "w", 0);
    assert!(world.0.borrow().begun.is_empty());
    assert_eq!(
        world.0.borrow().answers,
        [(1, 503)],
        "nobody else may have it"
    );
    assert!(exchange.by_hand("s-0", false));
    take(&mut exchange, 1.1, "w", 0);
    assert_eq!(world.0.borrow().begun.len(), 1);
}
