//! Attempts: what reaches a runner, and what is made of its answer.

use crate::stage::*;

#[test]
fn what_a_client_says_to_the_runner_goes_on_with_every_attempt() {
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

/// A stage that knows no runner yet, and whose connections may take long to come up.
fn slow_dials(change: impl Fn(String) -> String) -> (Stage, Watch) {
    let dials = |page: String| {
        change(page.replace(r#""DialTimeoutUs":250000"#, r#""DialTimeoutUs":4000000"#))
    };
    let stage = Stage::of(0, 1024, dials);
    let watch = stage.list.watch();
    (stage, watch)
}

#[test]
fn a_connection_that_comes_up_late_begins_nothing_for_a_client_that_left() {
    for may_cancel in ["true", "false"] {
        let says = format!(r#""MayCancel":{may_cancel}"#);
        let (stage, watch) = slow_dials(|page| page.replace(r#""MayCancel":true"#, &says));
        let late = Late::start("s-0");
        watch.tell(42, true, &[late.entry("Ready")]);
        pause(100);
        let (mut leaves, mut stays) = (stage.client(), stage.client());
        leaves.hand_in("rerun", "8000m");
        pause(100);
        let id = stays.hand_in("rerun", "8000m");
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
fn a_connection_that_comes_up_late_begins_nothing_at_an_address_left_behind() {
    let (stage, watch) = slow_dials(|page| page);
    let (late, moved) = (Late::start("s-0"), Runner::start("s-0"));
    watch.tell(42, true, &[late.entry("Ready")]);
    pause(100);
    let mut client = stage.client();
    let id = client.hand_in("once", "9000m");
    pause(100);
    watch.tell(43, false, &[moved.entry("Ready", 0)]);
    pause(100);
    let old = late.open();
    let handed = moved.next();
    assert_eq!(handed.id(), id);
    old.nothing(100);
}

#[test]
fn a_connection_that_comes_up_late_begins_nothing_at_a_runner_that_drains() {
    let (stage, watch) = slow_dials(|page| page);
    let late = Late::start("s-0");
    watch.tell(42, true, &[late.entry("Ready")]);
    pause(100);
    let mut client = stage.client();
    client.hand_in("rerun", "9000m");
    pause(100);
    watch.tell(43, false, &[late.entry("Terminating")]);
    pause(200);
    let old = late.open();
    assert_eq!(client.answer().status(), 503);
    old.nothing(100);
}

#[test]
fn a_repeat_whose_connection_comes_up_after_the_window_is_not_begun() {
    let keyed = |page: String| {
        let page = page.replace("non_idempotent", "idempotency_key");
        let page = page.replace(r#""WindowUs":5000000"#, r#""WindowUs":900000"#);
        // Two attempts: silence does not end the second.
        page.replace(r#""MostHandOffs":6"#, r#""MostHandOffs":2"#)
    };
    let (stage, watch) = slow_dials(keyed);
    let (first, late) = (Runner::start("s-0"), Late::start("s-1"));
    watch.tell(42, true, &[first.entry("Ready", 0)]);
    pause(100);
    let mut client = stage.client();
    client.hand_in("once", "9000m");
    let handed = first.next();
    watch.tell(43, false, &[late.entry("Ready")]);
    pause(100);
    handed.close();
    pause(100);
    // It comes up at the system's next try, a second after the first.
    let other = late.open();
    assert_eq!(
        client.answer().status(),
        503,
        "any of them would drop a repeat, but none may see one so late"
    );
    other.nothing(100);
}

#[test]
fn a_second_answer_that_comes_late_proves_nothing_about_the_next_request() {
    let stage = Stage::start(1);
    let (a, b) = (&stage.runners[0], Runner::start("s-9"));
    let (mut one, mut two) = (stage.client(), stage.client());
    let first = one.hand_in("once", "6000m");
    let handed = a.next();
    let decline = |handed: &Handed| handed.answer("503 Service Unavailable", "Srv-Declined: 1\r\n");
    decline(&handed);
    let second = two.hand_in("once", "6000m");
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
fn half_a_line_at_rest_closes_the_connection_before_it_can_spoil_an_answer() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.hand_in("once", "6000m");
    let handed = runner.next();
    handed.take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    assert_eq!(client.answer().body, "a");
    handed.say("HTTP/1.1 2");
    assert!(handed.is_closed());
    let id = client.hand_in("once", "6000m");
    runner.next().take();
    assert_eq!(runner.connections(), 2);
    stage.news(&id, "s-0", r#""done","result":"b""#);
    assert_eq!(client.answer().body, "b");
}

#[test]
fn an_answer_that_breaks_off_on_a_kept_connection_is_no_sign_that_it_was_dead() {
    let stage = Stage::start(1);
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.hand_in("rerun", "6000m");
    runner.next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    client.answer();
    client.hand_in("rerun", "6000m");
    let handed = runner.next();
    assert_eq!(runner.connections(), 1, "on the kept one");
    handed.say("HTTP/1.1 202 Acc");
    handed.close();
    // The runner was there: it is passed over for a moment, as after any reset.
    runner.nothing(500);
    // What may have run and may not run twice is written off.
    let mut other = stage.client();
    runner.next().take();
    let id = other.hand_in("once", "6000m");
    runner.next().take();
    stage.news(&id, "s-0", r#""done","result":"a""#);
    other.answer();
    other.hand_in("once", "6000m");
    let handed = runner.next();
    handed.say("HTTP/1.1 503 Service Unavailable\r\nSrv-Decli");
    handed.close();
    assert_eq!(other.answer().status(), 502);
}

#[test]
fn a_202_that_crosses_the_giving_up_is_answered_with_a_word_before_another_attempt() {
    let stage = Stage::start(2);
    let mut client = stage.client();
    let id = client.hand_in("rerun", "6000m");
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
fn a_word_that_comes_once_more_does_not_end_the_next_attempt_at_the_same_runner() {
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""DueTimeUs":600000"#, r#""DueTimeUs":3000000"#)
    });
    let runner = &stage.runners[0];
    let mut client = stage.client();
    let id = client.hand_in("once", "9000m");
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
fn a_new_process_sends_nothing_to_a_cold_runner_until_what_went_before_is_past() {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let stage = Stage::of(1, 1024, |page| {
        page.replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{now}"#))
    });
    let mut client = stage.client();
    client.hand_in("rerun", "9000m");
    stage.runners[0].nothing(600);
    stage.runners[0].next();
}
