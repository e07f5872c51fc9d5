//! What a runner is answered.

mod common;
use common::*;
use proptest::prelude::*;
use sagetrail_agent::{MAX_ACTIVE_RUNS, MAX_HEARTBEAT_BYTES};
use sagetrail_protocol::agent::{RunEnd, RunnerCommands};
use sagetrail_protocol::List;
use serde_json::json;

#[test]
fn without_a_scheduler_a_heartbeat_is_acknowledged_and_holds_nothing() {
    let mut script = Script::new();
    assert_eq!(script.beat(1, json!({})), json!({"retry_after_ms": 200}));
    let active = json!({"active":[[TASK, 2, "00000bb87a21d94b", 41]]});
    assert_eq!(script.beat(2, active), json!({"retry_after_ms": 100}));
}

#[test]
fn a_leased_agent_holds_starts_stops_and_observes() {
    let mut script = Script::settled();
    let wanted = RunnerCommands {
        start: List(vec![
            start("a.0.0.0", 3),
            start("b.0.0.0", 1),
            start("c.0.0.0", 1),
        ]),
        stop: List(vec![stop("d.0.0.0", 1), stop("e.0.0.0", 1)]),
        observed: 58,
        retry_after_ms: 70,
        ..orders(7, 1)
    };
    script.orders(wanted, true);
    let lists = json!({"active":[["b.0.0.0",1,"",0],["d.0.0.0",1,"",9.5,"added later"]],
        "finished":[[59,"c.0.0.0",1,"done",""]]});
    let answer = script.beat(3, lists);
    let expected = json!({"hold_ms":2500,"observed":58,"fence_token":7,"retry_after_ms":70,
        "start":[["a.0.0.0",3,"(text)",""]],"stop":[["d.0.0.0",1]]});
    assert_eq!(answer, expected);
}

#[test]
fn a_start_is_offered_again_until_it_is_listed() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    for sequence in 3..6 {
        assert!(
            script.beat(sequence, json!({}))["start"].is_array(),
            "the answer before was lost"
        );
    }
    let active = json!({"active":[[TASK, 1, "", 0]]});
    assert!(script.beat(6, active)["start"].is_null());
}

#[test]
fn a_hold_ends_with_the_lease() {
    let mut script = Script::settled();
    script.orders(orders(1, 1), true);
    script.orders(
        RunnerCommands {
            lease_ms: 3000,
            ..orders_with_start(1, 2)
        },
        true,
    );
    script.now = script.now.plus_millis(12_000 - 1_200);
    assert_eq!(script.beat(3, json!({}))["hold_ms"], 1200);
    script.now = script.now.plus_millis(900);
    let short = script.beat(4, json!({}));
    assert_eq!(short["hold_ms"], 300);
    assert!(short["start"].is_null(), "a run would be over at once");
    script.now = script.now.plus_millis(300);
    let over = script.beat(5, json!({}));
    assert!(over["hold_ms"].is_null() && over["start"].is_null());
    assert_eq!(over["fence_token"], 1);
}

#[test]
fn an_old_sequence_is_acknowledged_and_changes_nothing() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    script.beat(10, json!({"active":[[TASK, 1, "", 0]]}));
    script.pass(20);
    let reports = script.reports().len();
    for late in [10, 9, 1] {
        assert_eq!(script.beat(late, json!({})), json!({}));
    }
    assert_eq!(script.agent.counters().stale_heartbeats, 3);
    assert_eq!(script.reports().len(), reports);
    assert_eq!(script.last_report().active.len(), 1);
}

#[test]
fn a_late_heartbeat_does_not_settle() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    script.beat(2, json!({}));
    script.pass(600);
    assert!(!script.last_report().starts_resolved);
    assert_eq!(script.last_report().revision, 2);
}

#[test]
fn a_new_instance_replaces_the_old_one() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    script.beat(3, json!({"active":[[TASK, 1, "", 0]]}));
    script.pass(20);
    script.beat_as("i-2", 1, json!({}));
    let reply = script.beat_as("i-2", 2, json!({}));
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert!(
        answer["start"].is_null(),
        "the orders name another instance"
    );
    assert!(answer["observed"].is_null());
    let report = script.last_report();
    assert_eq!((&*report.instance, report.active.len()), ("i-2", 0));
    assert_eq!(
        script
            .beat_as(RUNNER, 4, json!({"active":[[TASK, 1, "", 0]]}))
            .status,
        409
    );
    assert_eq!(&*script.last_report().instance, "i-2");
    assert_eq!(script.agent.counters().replaced_heartbeats, 1);
}

#[test]
fn a_single_late_heartbeat_is_not_taken_for_a_new_instance() {
    let mut script = Script::settled();
    let late = script.beat_as("i-former", 90, json!({"active":[[TASK, 1, "", 0]]}));
    assert_eq!(
        (late.status, &late.body[..]),
        (200, &br#"{"retry_after_ms":100}"#[..])
    );
    script.beat(3, json!({}));
    script.beat_as("i-former", 91, json!({}));
    script.pass(600);
    assert_eq!(&*script.last_report().instance, RUNNER);
    script.beat_as("i-new", 1, json!({}));
    script.beat_as("i-new", 2, json!({}));
    assert_eq!(&*script.last_report().instance, "i-new");
}

#[test]
fn a_draining_runner_is_acknowledged_and_gets_no_start_any_more() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    script.pass(20);
    let answer = script.beat(3, json!({"state":"draining","remaining_ms":4000}));
    assert!(answer["start"].is_null());
    assert_eq!(answer["hold_ms"], 2500);
    assert!(script.last_report().draining);
    assert_eq!(script.last_report().remaining_ms, 4000);
    script.orders(orders_with_start(1, 3), true);
    assert!(script.beat(4, json!({"state":"ready"}))["start"].is_null());
}

#[test]
fn what_a_runner_is_may_be_left_out_once_said() {
    let mut script = Script::settled();
    let body = br#"{"seq":9,"finished":[[1,"t.0.0.0",1,"alone","ab"],[2,"u.0.0.0",1,"melted"]]}"#;
    script.pass(20);
    assert_eq!(
        script
            .post("/v1/instances/i-7f3a91c2/heartbeat", body.to_vec())
            .status,
        200
    );
    let report = script.last_report();
    assert_eq!((report.capacity.cpu, &*report.service), (16000, "huvo11a"));
    let ends: Vec<RunEnd> = report.finished.iter().map(|run| run.end).collect();
    assert_eq!(ends, [RunEnd::GangTimedOut, RunEnd::Stopped]);
}

#[test]
fn what_cannot_be_read_is_refused() {
    let mut script = Script::settled();
    let path = "/v1/instances/i-7f3a91c2/heartbeat";
    for body in [
        "",
        "[",
        "{\"active\":[[1]]}",
        "{\"active\":[[\"t\"]]}",
        "{\"seq\":\"x\"}",
    ] {
        assert_eq!(script.post(path, body.into()).status, 400, "{body}");
    }
    let many = vec![json!(["t", 1, "", 0]); MAX_ACTIVE_RUNS + 1];
    assert_eq!(
        script
            .post(path, serde_json::to_vec(&json!({"active": many})).unwrap())
            .status,
        400
    );
    assert_eq!(
        script
            .post(path, vec![b' '; MAX_HEARTBEAT_BYTES + 1])
            .status,
        413
    );
    assert_eq!(
        script.post("/v1/instances//heartbeat", Vec::new()).status,
        404
    );
    assert_eq!(
        script
            .post("/v1/instances/a/b/heartbeat", Vec::new())
            .status,
        404
    );
    assert_eq!(script.post("/v1/other", Vec::new()).status, 404);
    assert_eq!(script.agent.counters().malformed_heartbeats, 7);
}

proptest! {
    #[test]
    fn any_bytes_are_answered(body in prop::collection::vec(any::<u8>(), 0..200), path in "\\PC{0,40}") {
        let mut script = Script::settled();
        let reply = script.post("/v1/instances/x/heartbeat", body.clone());
        prop_assert!(reply.status == 400 || reply.status == 200);
        script.post(&path, body);
        script.pass(1000);
    }

    #[test]
    fn any_numbers_are_answered(percent in any::<f64>(), run in any::<u64>(), cpu in any::<f64>(),
                                seq in any::<u64>(), cold in any::<i64>()) {
        let mut script = Script::settled();
        let lists = json!({"active":[["t.0.0.0", run, "", percent]], "cold_remaining_ms": cold,
            "capacity": {"cpu": cpu}, "finished": [[run, "u.0.0.0", run, "done", ""]]});
        prop_assert_eq!(script.beat_as("y", seq, lists).status, 200);
    }
}
