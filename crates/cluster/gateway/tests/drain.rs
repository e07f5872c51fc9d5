//! Guards against a graceful shutdown that stops serving too early, leaves a request unanswered, or outlasts the grace
//! period, after which the platform kills the process.

mod common;

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Event, Method};

use common::{TestGateway, CORE};

#[test]
fn a_draining_gateway_ends_once_no_request_is_pending() {
    let mut gateway = TestGateway::connected();
    gateway.handle(Event::Terminate);
    assert_eq!(gateway.readiness(), 503);
    gateway.advance_in_contact(2400, CORE[0], 1, 5);
    assert!(!gateway.outbox.finished);
    let id = gateway.submit();
    let number = gateway.requests()[0].1.request;
    gateway.advance(200);
    assert!(!gateway.outbox.finished, "a request is pending");
    gateway.receive_reply(CORE[0], number, 200);
    assert_eq!(gateway.status_of(id), Some(200));
    assert!(gateway.outbox.finished);
    let late_request = gateway.submit();
    assert_eq!(gateway.status_of(late_request), Some(503));
}

#[test]
fn draining_ends_without_further_events() {
    let mut gateway = TestGateway::connected();
    gateway.handle(Event::Terminate);
    gateway.handle(Event::Terminate);
    gateway.advance(2499);
    assert!(!gateway.outbox.finished);
    gateway.advance(1);
    assert!(gateway.outbox.finished);
}

#[test]
fn all_requests_are_answered_before_the_grace_period_ends() {
    let mut gateway = TestGateway::connected();
    let sent = gateway.http(Method::Post, Vec::new(), Some(20_000));
    gateway.handle(Event::Terminate);
    gateway.advance_in_contact(4400, CORE[0], 1, 5);
    assert_eq!(
        (gateway.status_of(sent), gateway.outbox.finished),
        (None, false)
    );
    gateway.advance(100);
    assert_eq!(
        (gateway.status_of(sent), gateway.outbox.finished),
        (Some(504), true)
    );
}

#[test]
fn a_short_grace_period_is_kept() {
    let mut gateway = TestGateway::with_bounds(Bounds {
        grace_s: 2.0,
        ..Bounds::default()
    });
    gateway.handle(Event::Terminate);
    gateway.advance(500);
    assert!(gateway.outbox.finished);
}
