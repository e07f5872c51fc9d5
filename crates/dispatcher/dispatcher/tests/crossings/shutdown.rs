//! Shutdown of the process, and events that cross it.

use crate::stage::*;
use std::time::Instant;

/// Starts one of two dispatchers, which moves its clients away while nearly every job can still finish here.
fn one_of_two() -> Stage {
    Stage::of(1, 1024, |page| {
        page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":2"#)
    })
}

#[test]
fn a_partly_read_request_is_served_during_shutdown() {
    let mut stage = one_of_two();
    let (mut idle, mut half) = (stage.client(), stage.client());
    let (id, text) = job("rerun", "9000m");
    let (head, rest) = text.split_at(text.len() - 1);
    half.send(head);
    stage.term();
    assert!(idle.read().is_none(), "the idle one is let go");
    pause(100);
    half.send(rest);
    stage.runners[0].next().take();
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    let answer = half.answer();
    assert_eq!(
        (answer.body.as_str(), answer.header("connection")),
        ("a", Some("close"))
    );
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn an_incomplete_request_does_not_delay_the_shutdown_beyond_its_limit() {
    let mut stage = one_of_two();
    let mut half = stage.client();
    half.send("POST /rerun HTTP/1.1\r\nReq-Id: ab\r\n");
    let start = Instant::now();
    stage.term();
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        start.elapsed().as_millis() < 3700,
        "before it is killed: {:?}",
        start.elapsed()
    );
}

#[test]
fn further_sigterm_and_sighup_signals_do_not_affect_a_shutdown() {
    let mut stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.submit("once", "9000m");
    stage.runners[0].next().take();
    ["-HUP", "-TERM", "-TERM", "-HUP", "-TERM"]
        .iter()
        .for_each(|signal| stage.signal(signal));
    pause(100);
    stage.signal("-TERM");
    assert_eq!(stage.news(&id, "s-0", r#""done","result":"a""#), 204);
    assert_eq!(client.answer().body, "a");
    drop(client);
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert_eq!(
        log.matches("SIGTERM or SIGINT received").count(),
        1,
        "{log}"
    );
}

#[test]
fn shutdown_before_the_first_endpoint_list_answers_its_requests() {
    let mut stage = Stage::of(0, 1024, |page| page);
    let mut client = stage.client();
    assert_eq!(
        client
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status(),
        503
    );
    client.submit("once", "9000m");
    stage.term();
    assert_eq!(client.answer().status(), 503);
    client.submit("once", "9000m");
    assert_eq!(
        client.answer().status(),
        503,
        "what comes later is answered at once too"
    );
    drop(client);
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
}

/// A request that arrives while the connection is being closed would cause a reset, which discards a response that the
/// client has not read yet.
#[test]
fn a_partly_read_response_is_complete_after_the_shutdown() {
    let mut stage = one_of_two();
    let (mut slow, mut idle) = (stage.client(), stage.client());
    let id = slow.submit("rerun", "9000m");
    stage.runners[0].next().take();
    stage.term();
    assert!(idle.read().is_none());
    let long = "x".repeat(60_000);
    assert_eq!(
        stage.news(&id, "s-0", &format!(r#""done","result":"{long}""#)),
        204
    );
    // This is sent while the connection is being closed: a reset would discard the response.
    slow.submit("rerun", "9000m");
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert_eq!(slow.answer().body, long);
}
