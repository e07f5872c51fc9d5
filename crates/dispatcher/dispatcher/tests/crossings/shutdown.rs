//! The end of the process, and what crosses it.

use crate::stage::*;
use std::time::Instant;

/// One of two: it sends its clients away while nearly any job still ends here.
fn one_of_two() -> Stage {
    Stage::of(1, 1024, |page| {
        page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":2"#)
    })
}

#[test]
fn a_request_half_read_when_connections_are_let_go_is_served() {
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
fn a_request_never_whole_does_not_hold_the_end_up_past_its_time() {
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
fn a_second_word_to_end_and_one_to_read_anew_change_nothing() {
    let mut stage = Stage::start(1);
    let mut client = stage.client();
    let id = client.hand_in("once", "9000m");
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
fn told_to_end_before_the_first_list_it_answers_what_it_has_and_ends() {
    let mut stage = Stage::of(0, 1024, |page| page);
    let mut client = stage.client();
    assert_eq!(
        client
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status(),
        503
    );
    client.hand_in("once", "9000m");
    stage.term();
    assert_eq!(client.answer().status(), 503);
    client.hand_in("once", "9000m");
    assert_eq!(
        client.answer().status(),
        503,
        "what comes later is answered at once too"
    );
    drop(client);
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
}

#[test]
fn an_answer_half_read_at_the_end_is_read_whole() {
    let mut stage = one_of_two();
    let (mut slow, mut idle) = (stage.client(), stage.client());
    let id = slow.hand_in("rerun", "9000m");
    stage.runners[0].next().take();
    stage.term();
    assert!(idle.read().is_none());
    let long = "x".repeat(60_000);
    assert_eq!(
        stage.news(&id, "s-0", &format!(r#""done","result":"{long}""#)),
        204
    );
    // Sent in the moment in which the connection is closed: a reset would take the answer along.
    slow.hand_in("rerun", "9000m");
    let (code, log) = stage.ended();
    assert_eq!(code, Some(0), "{log}");
    assert_eq!(slow.answer().body, long);
}
