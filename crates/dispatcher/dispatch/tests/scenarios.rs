//! Scenarios of the exchange without a socket: a fake host, driven by calls with the time. They guard against a second
//! or a missing reply to a client, a second copy of work that must not run twice, and attempts at a runner that is out
//! of service.

use sagetrail_dispatch::*;
use sagetrail_policy::{Category, Dispatcher, Job, Placement, PolicyConfig, Repeat};
use std::cell::Cell;
use std::rc::Rc;

/// Calls that the exchange made, in order.
#[derive(Default)]
struct Calls {
    /// Purpose, runner, time-out in seconds, and the flag that the request was written.
    requests: Vec<(Purpose, usize, f64, Rc<Cell<bool>>)>,
    /// Client and HTTP status.
    replies: Vec<(u32, u16)>,
    aborted_requests: usize,
    retries: Vec<Purpose>,
}

#[derive(Clone, Default)]
struct FakeHost(Rc<std::cell::RefCell<Calls>>);

impl ExchangeHost for FakeHost {
    type Client = u32;
    type RequestHandle = ();
    fn answer(&mut self, client: u32, reply: Reply) {
        self.0.borrow_mut().replies.push((client, reply.status));
    }
    fn has_disconnected(_: &u32) -> bool {
        true
    }
    fn send_request(
        &mut self,
        purpose: Purpose,
        runner: usize,
        _: RunnerRequest,
        deadline_s: f64,
        is_written: Rc<Cell<bool>>,
    ) {
        self.0
            .borrow_mut()
            .requests
            .push((purpose, runner, deadline_s, is_written));
    }
    fn abort_request(&mut self, _: ()) {
        self.0.borrow_mut().aborted_requests += 1;
    }
    fn schedule_retry(&mut self, purpose: Purpose) {
        self.0.borrow_mut().retries.push(purpose);
    }
    fn add_runner(&mut self, _: Rc<Endpoint>) {}
    fn close_idle_connections(&mut self, _: usize) {}
    fn ask_discovery(&mut self) {}
    fn set_has_endpoints(&mut self, _: bool) {}
}

fn exchange(runners: usize) -> (Exchange<FakeHost>, FakeHost) {
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
    let config = ExchangeConfig {
        unix_at_zero_s: 1e9,
        connect_timeout_s: 0.25,
        drain_grace_s: 0.3,
        max_open_work_items: 100,
        retry_after_s: 1.0,
        allow_concurrent_attempts: false,
        may_cancel: true,
    };
    let host = FakeHost::default();
    let mut exchange = Exchange::new(Dispatcher::new(terms, 7, 0.0), host.clone(), config, 0.0);
    let entry = |n: usize| ListEntry {
        id: format!("s-{n}"),
        address: Some(([127, 0, 0, 1], 4000 + n as u16).into()),
        kind: 0,
        zone: 0,
        cell: 0,
        started_unix_s: 0.0,
        lifecycle: Lifecycle::Ready,
    };
    exchange.apply_update(DiscoveryUpdate {
        is_full: true,
        entries: (0..runners).map(entry).collect(),
        ..DiscoveryUpdate::default()
    });
    (exchange, host)
}

fn take(exchange: &mut Exchange<FakeHost>, now_s: f64, id: &str, category: usize) {
    let request = WorkRequest {
        id: id.into(),
        target: "/a".to_string(),
        headers: Default::default(),
        body: Default::default(),
        client_left: Default::default(),
    };
    let job = Job {
        category,
        key: 0,
        expires_at_s: 0.0,
        hint_s: 0.0,
        slots: 1.0,
        memory: 0.0,
    };
    exchange.set_now(now_s);
    exchange.accept(request, job, 4.0, 1);
    exchange.process_due();
}

fn callback(exchange: &mut Exchange<FakeHost>, now_s: f64, from: &str, state: JobState) {
    exchange.set_now(now_s);
    exchange.callback(Callback {
        id: "w".to_string(),
        from: from.to_string(),
        state,
    });
    exchange.process_due();
}

#[test]
fn a_result_gets_one_reply_however_often_it_is_reported() {
    let (mut exchange, host) = exchange(1);
    take(&mut exchange, 1.0, "w", 0);
    let is_written = host.0.borrow().requests[0].3.clone();
    callback(
        &mut exchange,
        1.1,
        "s-0",
        JobState::Done {
            result: String::new(),
        },
    );
    assert!(
        host.0.borrow().replies.is_empty(),
        "the attempt has not been written to the runner yet"
    );
    is_written.set(true);
    for now_s in [1.2, 1.3] {
        callback(
            &mut exchange,
            now_s,
            "s-0",
            JobState::Done {
                result: String::new(),
            },
        );
    }
    assert_eq!(host.0.borrow().replies, [(1, 200)]);
}

#[test]
fn exclusive_work_that_may_have_run_is_written_off() {
    let (mut exchange, host) = exchange(2);
    take(&mut exchange, 1.0, "w", 1);
    let (purpose, ..) = host.0.borrow().requests[0];
    exchange.set_now(1.1);
    exchange.request_ended(purpose, Err(RequestFailure::NoResponse));
    exchange.process_due();
    assert_eq!(host.0.borrow().replies, [(1, 502)]);
    assert_eq!(host.0.borrow().requests.len(), 1);
}

#[test]
fn an_attempt_that_was_not_delivered_is_retried_at_the_other_runner() {
    let (mut exchange, host) = exchange(2);
    take(&mut exchange, 1.0, "w", 1);
    let (purpose, first, ..) = host.0.borrow().requests[0];
    exchange.set_now(1.1);
    exchange.request_ended(purpose, Err(RequestFailure::NotDelivered));
    exchange.process_due();
    let requests = &host.0.borrow().requests;
    assert_eq!(requests.len(), 2);
    assert_ne!(requests[1].1, first);
}

#[test]
fn at_its_expiry_a_work_item_is_dropped_and_answered_without_any_event() {
    let (mut exchange, host) = exchange(1);
    take(&mut exchange, 1.0, "w", 1);
    let mut now_s = 1.0;
    while exchange.next_due_s() < 8.0 && host.0.borrow().replies.is_empty() {
        now_s = exchange.next_due_s().max(now_s + 1e-4);
        exchange.set_now(now_s);
        exchange.process_due();
    }
    assert_eq!(host.0.borrow().replies, [(1, 502)]);
    assert!(now_s <= 5.0 + 0.02, "at {now_s}");
    assert_eq!(host.0.borrow().aborted_requests, 1);
}

#[test]
fn a_panic_in_one_call_is_contained() {
    let (mut exchange, host) = exchange(1);
    exchange.contain_panic(|_| panic!("a fault"));
    take(&mut exchange, 1.0, "w", 0);
    assert_eq!(host.0.borrow().requests.len(), 1);
}

#[test]
fn a_runner_out_of_service_gets_no_attempts_until_it_is_put_back() {
    let (mut exchange, host) = exchange(1);
    assert!(
        !exchange.set_out_of_service("s-9", true),
        "no list ever named it"
    );
    assert!(exchange.set_out_of_service("s-0", true));
    take(&mut exchange, 1.0, "w", 0);
    assert!(host.0.borrow().requests.is_empty());
    assert_eq!(
        host.0.borrow().replies,
        [(1, 503)],
        "there is no other runner"
    );
    assert!(exchange.set_out_of_service("s-0", false));
    take(&mut exchange, 1.1, "w", 0);
    assert_eq!(host.0.borrow().requests.len(), 1);
}
