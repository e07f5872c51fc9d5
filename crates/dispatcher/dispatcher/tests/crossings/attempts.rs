//! Attempts: what reaches a runner, and how its response is treated.

use crate::stage::*;

#[test]
fn end_to_end_headers_are_forwarded_with_every_attempt() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    client.send(
        "POST /rerun?key=7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: 9b1f\r\nReq-Kind: rerun\r\nReq-Deadline: 4000m\r\n\
         Idempotency-Key: 6328 52c2\r\nReq-Extra: slots=1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: between us\r\n\
         TE: trailers\r\nContent-Length: 5\r\n\r\nwaves",
    );
    let (a, b) = (&stage.runners[0], &stage.runners[1]);
    let (first, other) = match a.poll(400) {
        Some(handed) => (handed, b),
        None => (b.next(), a),
    };
    first.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
    for handed in [first, other.next()] {
        let header = |name: &str| handed.message.header(name);
        assert_eq!(header("idempotency-key"), Some("6328 52c2"));
        assert_eq!(
            (header("req-id"), header("req-extra")),
            (Some("9b1f"), Some("slots=1"))
        );
        assert_eq!(
            handed.message.headers.matches("req-deadline").count(),
            1,
            "it is told anew"
        );
        assert_eq!(handed.message.headers.matches("content-length").count(), 1);
        assert_eq!(
            (header("connection"), header("x-hop"), header("te")),
            (None, None, None)
        );
        assert_eq!(handed.message.body, "waves");
    }
}

/// Starts a stage without known runners, where establishing a connection may take long.
fn slow_dials(change: impl Fn(String) -> String) -> (Stage, Watch) {
    let dials = |page: String| {
        change(page.replace(r#""DialTimeoutUs":250000"#, r#""DialTimeoutUs":4000000"#))
    };
    let stage = Stage::of(0, 1024, dials);
    let watch = stage.list.watch();
    (stage, watch)
}

#[test]
fn a_late_connection_sends_nothing_for_a_disconnected_client() {
    for may_cancel in ["true", "false"] {
        let says = format!(r#""MayCancel":{may_cancel}"#);
        let (stage, watch) = slow_dials(|page| page.replace(r#""MayCancel":true"#, &says));
        let late = UnreachableRunner::start("s-0");
        watch.tell(42, true, &[late.entry("Ready")]);
        pause(100);
        let (mut leaves, mut stays) = (stage.client(), stage.client());
        leaves.submit("rerun", "8000m");
        pause(100);
        let id = stays.submit("rerun", "8000m");
        pause(100);
        drop(leaves);
        let runner = late.open();
        let handed = runner.next();
        assert_eq!(handed.id(), id, "may cancel: {may_cancel}");
        handed.take();
        runner.nothing(1500);
    }
}

#[test]
fn a_late_connection_sends_nothing_to_a_former_address() {
    let (stage, watch) = slow_dials(|page| page);
    let (late, moved) = (UnreachableRunner::start("s-0"), Runner::start("s-0"));
    watch.tell(42, true, &[late.entry("Ready")]);
    pause(100);
    let mut client = stage.client();
    let id = client.submit("once", "9000m");
    pause(100);
    watch.tell(43, false, &[moved.entry("Ready", 0)]);
    pause(100);
    let old = late.open();
    let handed = moved.next();
    assert_eq!(handed.id(), id);
    old.nothing(100);
}

#[test]
fn a_late_connection_sends_nothing_to_a_draining_runner() {
    let (stage, watch) = slow_dials(|page| page);
    let late = UnreachableRunner::start("s-0");
    watch.tell(42, true, &[late.entry("Ready")]);
    pause(100);
    let mut client = stage.client();
    client.submit("rerun", "9000m");
    pause(100);
    watch.tell(43, false, &[late.entry("Terminating")]);
    pause(200);
    let old = late.open();
    assert_eq!(client.answer().status(), 503);
    old.nothing(100);
}

#[test]
fn a_late_connection_sends_no_retry_after_the_deduplication_window() {
    let keyed = |page: String| {
        let page = page.replace("non_idempotent", "idempotency_key");
        let page = page.replace(r#""WindowUs":5000000"#, r#""WindowUs":900000"#);
        // With two attempts silence does not end the second one.
        page.replace(r#""MostHandOffs":6"#, r#""MostHandOffs":2"#)
    };
    let (stage, watch) = slow_dials(keyed);
    let (first, late) = (Runner::start("s-0"), UnreachableRunner::start("s-1"));
    watch.tell(42, true, &[first.entry("Ready", 0)]);
    pause(100);
    let mut client = stage.client();
    client.submit("once", "9000m");
    let handed = first.next();
    watch.tell(43, false, &[late.entry("Ready")]);
    pause(100);
    handed.close();
    pause(100);
    // The connection is established at the next try of the system, a second after the first.
    let other = late.open();
    assert_eq!(
        client.answer().status(),
        503,
        "any of them would drop a repeat, but none may see one so late"
    );
    other.nothing(100);
}

#[test]
fn a_late_second_response_is_not_taken_for_one_to_the_next_request() {
    let stage = Stage::start(1);
    let (a, b) = (&stage.runners[0], Runner::start("s-9"));
    let (mut one, mut two) = (stage.client(), stage.client());
    let first = one.submit("once", "6000m");
    let handed = a.next();
    let decline =
        |handed: &ReceivedRequest| handed.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
    decline(&handed);
    let second = two.submit("once", "6000m");
    let next = a.next();
    assert_eq!(
        (next.id(), a.connections()),
        (second.as_str(), 1),
        "on the same connection"
    );
    stage.list.watch().tell(42, false, &[b.entry("Ready", 0)]);
    let moved = b.next();
    assert_eq!(moved.id(), first);
    decline(&handed);
    pause(30);
    next.take();
    b.nothing(400);
    assert_eq!(stage.news(&second, "s-0", r#""done","result":"own""#), 204);
    assert_eq!(two.answer().body, "own");
}

#[test]
fn part_of_a_line_on_an_idle_connection_closes_it() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.submit("once", "6000m");
    let handed = runner.next();
    handed.take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a");
    handed.say("HTTP/1.1 2");
    assert!(handed.is_closed());
    let id = client.submit("once", "6000m");
    runner.next().take();
    assert_eq!(runner.connections(), 2);
    stage.news(&id, "s-0", r#""done","result":"b""#);
    assert_eq!(client.answer().body, "b");
}

#[test]
fn an_incomplete_response_does_not_count_as_a_stale_connection() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.submit("rerun", "6000m");
    runner.next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    client.answer();
    client.submit("rerun", "6000m");
    let handed = runner.next();
    assert_eq!(runner.connections(), 1, "on the kept one");
    handed.say("HTTP/1.1 202 Acc");
    handed.close();
    // The runner was reachable. It is avoided for a moment, as after any reset.
    runner.nothing(500);
    // A work item that may have run and must not run twice is written off.
    let mut other = stage.client();
    runner.next().take();
    let id = other.submit("once", "6000m");
    runner.next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    other.answer();
    other.submit("once", "6000m");
    let handed = runner.next();
    handed.say("HTTP/1.1 503 Service Unavailable\r\nSrv-Decli");
    handed.close();
    assert_eq!(other.answer().status(), 502);
}

#[test]
fn a_202_that_crosses_the_close_leads_to_a_cancellation_before_a_retry() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.submit("rerun", "6000m");
    let (handed, slow, other) = match stage.runners[0].poll(300) {
        Some(handed) => (handed, &stage.runners[0], &stage.runners[1]),
        None => (
            stage.runners[1].next(),
            &stage.runners[1],
            &stage.runners[0],
        ),
    };
    assert!(
        handed.is_closed(),
        "given up, since it was not taken at once"
    );
    handed.take();
    let told = slow.next();
    assert_eq!(told.message.first, format!("DELETE /jobs/{id} HTTP/1.1"));
    other.nothing(200);
    told.answer("204 No Content", "");
    assert_eq!(other.next().id(), id);
}

#[test]
fn a_repeated_callback_does_not_end_the_next_attempt_at_the_same_runner() {
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""DueTimeUs":600000"#, r#""DueTimeUs":3000000"#)
    });
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.submit("once", "9000m");
    runner.next().take();
    assert_eq!(stage.news(&id, "s-0", r#""returned""#), 204);
    let again = runner.next();
    assert_eq!(again.id(), id, "it never ran");
    again.take();
    assert_eq!(stage.news(&id, "s-0", r#""started""#), 204);
    assert_eq!(stage.news(&id, "s-0", r#""returned""#), 204);
    let told = runner.next();
    assert_eq!(told.message.first, format!("DELETE /jobs/{id} HTTP/1.1"));
    told.answer("204 No Content", "");
    assert_eq!(client.answer().status(), 502, "it may have run this time");
    runner.nothing(1300);
}

#[test]
fn a_new_process_sends_nothing_to_a_cold_runner_until_earlier_work_has_ended() {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{now}"#))
    });
    let mut client = stage.client();
    client.submit("rerun", "9000m");
    stage.runners[0].nothing(600);
    stage.runners[0].next();
}
