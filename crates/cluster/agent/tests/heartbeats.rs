//! Guards against wrong answers to the runner's heartbeats: leases that outlast the agent's, starts that are lost or
//! sent to the wrong instance, and effects of late, replaced or malformed heartbeats.

mod common;
use proptest::prelude::*;
use serde_json::json;

use sagetrail_agent::MAX_HEARTBEAT_BYTES;
use sagetrail_protocol::agent::{RunEnd, RunnerCommands, MAX_ACTIVE_RUNS};
use sagetrail_protocol::List;

use common::*;

#[test]
fn without_a_leader_a_heartbeat_is_acknowledged_and_grants_no_lease() {
    let mut agent = TestAgent::new();
    assert_eq!(
        agent.heartbeat(1, json!({})),
        json!({"retry_after_ms": 200})
    );
    let active = json!({"active":[[TASK, 2, "00000bb87a21d94b", 41]]});
    assert_eq!(agent.heartbeat(2, active), json!({"retry_after_ms": 100}));
}

#[test]
fn an_agent_with_a_lease_grants_a_lease_and_passes_commands_on() {
    let mut agent = TestAgent::connected();
    let wanted = RunnerCommands {
        start: List(vec![
            start("a.0.0.0", 3),
            start("b.0.0.0", 1),
            start("c.0.0.0", 1),
        ]),
        stop: List(vec![stop("d.0.0.0", 1), stop("e.0.0.0", 1)]),
        observed: 58,
        retry_after_ms: 70,
        ..commands(7, 1)
    };
    agent.receive_answer(wanted);
    let lists = json!({"active":[["b.0.0.0",1,"",0],["d.0.0.0",1,"",9.5,"added later"]],
        "finished":[[59,"c.0.0.0",1,"done",""]]});
    let answer = agent.heartbeat(3, lists);
    let expected = json!({"hold_ms":2500,"observed":58,"fence_token":7,"retry_after_ms":70,
        "start":[["a.0.0.0",3,"(text)",""]],"stop":[["d.0.0.0",1]]});
    assert_eq!(answer, expected);
}

#[test]
fn a_start_is_repeated_until_it_is_listed() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    for sequence in 3..6 {
        assert!(
            agent.heartbeat(sequence, json!({}))["start"].is_array(),
            "the start is repeated because the previous answer was lost"
        );
    }
    let active = json!({"active":[[TASK, 1, "", 0]]});
    assert!(agent.heartbeat(6, active)["start"].is_null());
}

#[test]
fn a_runner_lease_never_outlasts_the_agents_lease() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands(1, 1));
    agent.receive_answer(RunnerCommands {
        lease_ms: 3000,
        ..commands_with_start(1, 2)
    });
    agent.now = agent.now.plus_millis(12_000 - 1_200);
    assert_eq!(agent.heartbeat(3, json!({}))["hold_ms"], 1200);
    agent.now = agent.now.plus_millis(900);
    let short = agent.heartbeat(4, json!({}));
    assert_eq!(short["hold_ms"], 300);
    assert!(
        short["start"].is_null(),
        "a run would be over at once with so short a lease"
    );
    agent.now = agent.now.plus_millis(300);
    let expired = agent.heartbeat(5, json!({}));
    assert!(expired["hold_ms"].is_null() && expired["start"].is_null());
    assert_eq!(expired["fence_token"], 1);
}

#[test]
fn an_old_sequence_is_acknowledged_and_changes_nothing() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    agent.heartbeat(10, json!({"active":[[TASK, 1, "", 0]]}));
    agent.advance(20);
    let reports = agent.reports().len();
    for late in [10, 9, 1] {
        assert_eq!(agent.heartbeat(late, json!({})), json!({}));
    }
    assert_eq!(agent.node.counters().stale_heartbeats, 3);
    assert_eq!(agent.reports().len(), reports);
    assert_eq!(agent.last_report().active.len(), 1);
}

#[test]
fn a_late_heartbeat_resolves_no_commands() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    agent.heartbeat(2, json!({}));
    agent.advance(600);
    assert!(!agent.last_report().starts_resolved);
    assert_eq!(agent.last_report().revision, 2);
}

#[test]
fn a_new_instance_replaces_the_old_one() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 0]]}));
    agent.advance(20);
    agent.heartbeat_of("i-2", 1, json!({}));
    let reply = agent.heartbeat_of("i-2", 2, json!({}));
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert!(
        answer["start"].is_null(),
        "the commands name another instance"
    );
    assert!(answer["observed"].is_null());
    let report = agent.last_report();
    assert_eq!((&*report.instance, report.active.len()), ("i-2", 0));
    assert_eq!(
        agent
            .heartbeat_of(INSTANCE, 4, json!({"active":[[TASK, 1, "", 0]]}))
            .status,
        409
    );
    assert_eq!(&*agent.last_report().instance, "i-2");
    assert_eq!(agent.node.counters().replaced_heartbeats, 1);
}

#[test]
fn a_single_late_heartbeat_is_not_taken_for_a_new_instance() {
    let mut agent = TestAgent::connected();
    let late = agent.heartbeat_of("i-former", 90, json!({"active":[[TASK, 1, "", 0]]}));
    assert_eq!(
        (late.status, &late.body[..]),
        (200, &br#"{"retry_after_ms":100}"#[..])
    );
    agent.heartbeat(3, json!({}));
    agent.heartbeat_of("i-former", 91, json!({}));
    agent.advance(600);
    assert_eq!(&*agent.last_report().instance, INSTANCE);
    agent.heartbeat_of("i-new", 1, json!({}));
    agent.heartbeat_of("i-new", 2, json!({}));
    assert_eq!(&*agent.last_report().instance, "i-new");
}

#[test]
fn a_draining_runner_gets_a_lease_and_no_start() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    agent.advance(20);
    let answer = agent.heartbeat(3, json!({"state":"draining","remaining_ms":4000}));
    assert!(answer["start"].is_null());
    assert_eq!(answer["hold_ms"], 2500);
    assert!(agent.last_report().draining);
    assert_eq!(agent.last_report().remaining_ms, 4000);
    agent.receive_answer(commands_with_start(1, 3));
    assert!(agent.heartbeat(4, json!({"state":"ready"}))["start"].is_null());
}

#[test]
fn the_profile_may_be_left_out_of_later_heartbeats() {
    let mut agent = TestAgent::connected();
    let body = br#"{"seq":9,"finished":[[1,"t.0.0.0",1,"alone","ab"],[2,"u.0.0.0",1,"melted"]]}"#;
    agent.advance(20);
    assert_eq!(
        agent
            .post("/v1/instances/i-7f3a91c2/heartbeat", body.to_vec())
            .status,
        200
    );
    let report = agent.last_report();
    assert_eq!((report.capacity.cpu, &*report.service), (16000, "huvo11a"));
    let ends: Vec<RunEnd> = report.finished.iter().map(|run| run.end).collect();
    assert_eq!(ends, [RunEnd::GangTimedOut, RunEnd::Stopped]);
}

#[test]
fn malformed_heartbeats_are_rejected() {
    let mut agent = TestAgent::connected();
    let path = "/v1/instances/i-7f3a91c2/heartbeat";
    for body in [
        "",
        "[",
        "{\"active\":[[1]]}",
        "{\"active\":[[\"t\"]]}",
        "{\"seq\":\"x\"}",
    ] {
        assert_eq!(agent.post(path, body.into()).status, 400, "{body}");
    }
    let many = vec![json!(["t", 1, "", 0]); MAX_ACTIVE_RUNS + 1];
    assert_eq!(
        agent
            .post(path, serde_json::to_vec(&json!({"active": many})).unwrap())
            .status,
        400
    );
    assert_eq!(
        agent.post(path, vec![b' '; MAX_HEARTBEAT_BYTES + 1]).status,
        413
    );
    assert_eq!(
        agent.post("/v1/instances//heartbeat", Vec::new()).status,
        404
    );
    assert_eq!(
        agent.post("/v1/instances/a/b/heartbeat", Vec::new()).status,
        404
    );
    assert_eq!(agent.post("/v1/other", Vec::new()).status, 404);
    assert_eq!(agent.node.counters().malformed_heartbeats, 7);
}

proptest! {
    #[test]
    fn any_bytes_are_answered(body in prop::collection::vec(any::<u8>(), 0..200), path in "\\PC{0,40}") {
        let mut agent = TestAgent::connected();
        let reply = agent.post("/v1/instances/x/heartbeat", body.clone());
        prop_assert!(reply.status == 400 || reply.status == 200);
        agent.post(&path, body);
        agent.advance(1000);
    }

    #[test]
    fn any_numbers_are_answered(percent in any::<f64>(), run in any::<u64>(), cpu in any::<f64>(),
                                seq in any::<u64>(), cold in any::<i64>()) {
        let mut agent = TestAgent::connected();
        let lists = json!({"active":[["t.0.0.0", run, "", percent]], "cold_remaining_ms": cold,
            "capacity": {"cpu": cpu}, "finished": [[run, "u.0.0.0", run, "done", ""]]});
        prop_assert_eq!(agent.heartbeat_of("y", seq, lists).status, 200);
    }
}
