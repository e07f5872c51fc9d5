//! Discovery: how soon a change is known, whatever happens to a call.

use crate::stage::*;
use std::time::{Duration, Instant};

fn of_many(page: String) -> String {
    page.replace(r#""ReplicasOfMe":1"#, r#""ReplicasOfMe":300"#)
}

/// Whether a work item that is submitted now finds no runner.
fn has_no_runner(stage: &Stage) -> bool {
    let mut client = stage.client();
    client.submit("rerun", "4000m");
    client.answer().status() == 503
}

#[test]
fn a_change_on_several_lines_is_read() {
    let stage = Stage::start(1);
    let watch = stage.list.watch();
    let entry = stage.runners[0]
        .entry("Terminating", 0)
        .replace(',', ",\n      ");
    for line in format!(
        "{{\n  \"generation\": 42,\n  \"reset\": false,\n  \"instances\": [\n    {entry}\n  ]\n}}"
    )
    .lines()
    {
        watch.say(line);
    }
    pause(150);
    assert!(has_no_runner(&stage));
    drop(watch);
    assert!(stage.list.watch().asked.contains("index=42 "));
}

#[test]
fn a_change_lost_in_an_invalid_line_is_requested_at_once() {
    let stage = Stage::start(1);
    let (watch, start) = (stage.list.watch(), Instant::now());
    watch.say(r#"{"generation":42,"reset":false,"instances":[{"instanceId":"s-"#);
    watch.say("");
    let again = stage.list.watch();
    assert!(again.asked.contains("index=41 "), "{}", again.asked);
    assert!(start.elapsed().as_secs_f64() < 1.0, "{:?}", start.elapsed());
    // The old watch is read until the new one has been read.
    watch.tell(43, false, &[stage.runners[0].entry("Terminating", 0)]);
    pause(150);
    assert!(has_no_runner(&stage));
    again.tell(43, false, &[stage.runners[0].entry("Terminating", 0)]);
    assert!(watch.is_closed());
}

#[test]
fn an_invalid_line_does_not_cause_endless_requests() {
    let stage = Stage::start(1);
    let start = Instant::now();
    let mut asked = 0;
    while start.elapsed() < Duration::from_secs(3) {
        let watch = stage.list.watch();
        asked += 1;
        watch.say(r#"{"generation":42,"reset":false,"instances":[{"instanceId":"s-0"}]}"#);
        watch.say("");
        std::mem::forget(watch);
    }
    assert!((2..9).contains(&asked), "{asked} calls in 3 s");
}

#[test]
fn a_late_update_of_an_earlier_version_does_not_make_a_runner_ready() {
    let stage = Stage::start(1);
    let (watch, runner) = (stage.list.watch(), &stage.runners[0]);
    watch.tell(50, false, &[runner.entry("Terminating", 0)]);
    watch.tell(45, false, &[runner.entry("Ready", 0)]);
    pause(150);
    assert!(has_no_runner(&stage));
    drop(watch);
    assert!(stage.list.watch().asked.contains("index=50 "));
}

#[test]
fn a_watch_that_is_silent_from_the_start_is_opened_again_at_once() {
    let stage = Stage::of(1, 1024, of_many);
    let mut held = vec![stage.list.watch()];
    for _ in 0..2 {
        let start = Instant::now();
        held.push(stage.list.watch());
        assert!(start.elapsed().as_secs_f64() < 4.0, "{:?}", start.elapsed());
    }
}

#[test]
fn failed_calls_are_repeated_in_time_among_300_dispatchers() {
    let stage = Stage::of(1, 1024, of_many);
    drop(stage.list.watch());
    for most in [3.7, 2.2, 2.2, 2.2] {
        let start = Instant::now();
        drop(stage.list.watch());
        assert!(
            start.elapsed().as_secs_f64() < most,
            "{:?}",
            start.elapsed()
        );
    }
}

#[test]
fn a_call_that_waits_for_its_response_is_not_replaced() {
    // The settings have it ask again after 0.6 to 1 s. The response takes 2.5 s and comes before the watch counts as
    // silent.
    let soon = |page: String| page.replace(r#""MustAskInUs":10000000"#, r#""MustAskInUs":2000000"#);
    let stage = Stage::of(0, 1024, soon);
    let watch = stage.list.watch();
    pause(2500);
    let runner = Runner::start("s-0");
    watch.tell(42, true, &[runner.entry("Ready", 0)]);
    let mut client = stage.client();
    pause(100);
    client.submit("rerun", "4000m");
    runner.next();
    assert!(!watch.has_ended());
}

#[test]
fn with_pushed_lists_the_agent_is_asked_before_an_old_list_is_used() {
    let pushed =
        |page: String| page.replace(r#""Discovery":"on_request""#, r#""Discovery":"pushed""#);
    let stage = Stage::of(1, 1024, pushed);
    let watch = stage.list.watch();
    let mut client = stage.client();
    assert_eq!(
        client
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status(),
        503
    );
    watch.tell(42, false, &[stage.runners[0].entry("Terminating", 0)]);
    pause(100);
    assert!(has_no_runner(&stage));
    assert_eq!(
        client
            .send("GET /health/ready HTTP/1.1\r\n\r\n")
            .answer()
            .status(),
        200
    );
    // The agent returns, and its updates count at once.
    drop(watch);
    for _ in 0..5 {
        let start = Instant::now();
        drop(stage.list.watch());
        assert!(
            start.elapsed().as_secs_f64() < 0.25,
            "{:?}",
            start.elapsed()
        );
    }
    // No agent can be asked, so the old list is used.
    let stage = Stage::of(1, 1024, |page| {
        let at = page
            .split(r#""discovery":""#)
            .nth(1)
            .unwrap()
            .split('"')
            .next()
            .unwrap()
            .to_string();
        pushed(page).replace(&at, &free().to_string())
    });
    let mut client = stage.client();
    pause(300);
    client.submit("rerun", "4000m");
    stage.runners[0].next();
}

#[test]
fn an_unreachable_new_list_leaves_the_old_one_in_use() {
    let stage = Stage::start(2);
    let old = stage.list.watch();
    old.tell(42, false, &[]);
    let to = |at: std::net::SocketAddr| {
        stage
            .page
            .replace(&stage.list.at.to_string(), &at.to_string())
    };
    stage.reload(&to(free()));
    pause(300);
    old.tell(43, false, &[stage.runners[0].entry("Terminating", 0)]);
    pause(100);
    let third = List::start();
    stage.reload(&to(third.at));
    let new = third.watch();
    assert!(new.asked.contains("index=0 "));
    // In the middle of a line of the new list the old one is still read, until the new one has been read.
    new.say(r#"{"generation":1,"#);
    old.tell(44, false, &[stage.runners[1].entry("Terminating", 0)]);
    pause(100);
    assert!(has_no_runner(&stage));
    new.say(r#""reset":true,"instances":[]}"#);
    assert!(old.is_closed());
}
