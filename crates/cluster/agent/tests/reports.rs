//! What the scheduler is told, when, and by which way.

mod common;
use common::*;
use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Node};
use sagetrail_protocol::{Blob, Message, NodeId};
use serde_json::json;

#[test]
fn an_agent_asks_its_seeds_and_reports_once_it_knows_the_scheduler() {
    let mut script = Script::new();
    let asked = |script: &Script, node| script.sends.iter().any(|(to, _)| *to == node);
    script.pass(1000);
    assert!([LEADER, OTHER, THIRD]
        .iter()
        .all(|seed| asked(&script, *seed)));
    assert!(script.reports().is_empty());
    script.directory(1, LEADER);
    assert!(!script.last_report().has_runner);
}

#[test]
fn changes_are_told_at_once_and_percent_is_not() {
    let mut script = Script::settled();
    script.pass(20);
    script.beat(3, json!({"active":[[TASK, 1, "", 1]]}));
    assert_eq!(script.reports().len(), 1);
    script.pass(20);
    script.beat(4, json!({"active":[[TASK, 1, "", 50]]}));
    assert_eq!(script.reports().len(), 1);
    script.beat(5, json!({"active":[[TASK, 1, "cp", 50]]}));
    script.beat(
        6,
        json!({"active":[[TASK, 1, "cp", 50]],"finished":[[1,"t.0.0.0",1,"done",""]]}),
    );
    assert_eq!(script.reports().len(), 2, "reports keep a distance");
    script.pass(10);
    assert_eq!(script.reports().len(), 3);
    assert_eq!(script.last_report().finished.len(), 1);
    assert_eq!(script.last_report().active[0].percent, 50);
}

#[test]
fn reports_come_regularly_and_more_often_on_a_low_lease() {
    let mut script = Script::settled();
    for _ in 0..4 {
        script.pass(500);
        script.orders(orders(1, 1), true);
    }
    assert_eq!(script.reports().len(), 4);
    script.sends.clear();
    script.pass(3600);
    let early = script.reports().len();
    assert!((7..=8).contains(&early), "{early}");
    script.sends.clear();
    script.pass(4000);
    let pressing = script.reports().len();
    assert!((15..=17).contains(&pressing), "{pressing}");
}

#[test]
fn orders_settle_with_the_next_heartbeat() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    script.pass(600);
    assert_eq!(
        (
            script.last_report().revision,
            script.last_report().starts_resolved
        ),
        (2, false)
    );
    script.beat(3, json!({}));
    assert!(script.last_report().starts_resolved);
}

#[test]
fn the_first_heartbeat_of_all_settles_nothing() {
    let mut script = Script::new();
    script.directory(1, LEADER);
    script.orders(orders(1, 1), true);
    script.pass(20);
    script.beat(1, json!({}));
    script.pass(600);
    assert_eq!(
        (
            script.last_report().revision,
            script.last_report().starts_resolved
        ),
        (1, false)
    );
    script.beat(2, json!({}));
    assert!(script.last_report().starts_resolved);
}

#[test]
fn late_orders_are_ignored() {
    let mut script = Script::settled();
    script.orders(orders(3, 5), true);
    script.beat(3, json!({}));
    script.now = script.now.plus_millis(6000);
    script.orders(orders_with_start(2, 9), true);
    script.orders(orders_with_start(3, 4), true);
    let answer = script.beat(4, json!({}));
    assert!(answer["start"].is_null());
    assert_eq!(answer["fence_token"], 3);
    assert_eq!(script.agent.counters().older_orders, 2);
    script.now = script.now.plus_millis(6000);
    assert!(
        script.beat(5, json!({}))["hold_ms"].is_null(),
        "older orders extend no lease"
    );
}

#[test]
fn only_an_answer_to_this_agent_extends_its_lease() {
    let mut script = Script::new();
    script.directory(1, LEADER);
    script.beat(1, json!({}));
    script.orders(orders_with_start(1, 1), false);
    let former = RunnerCommands {
        agent: INCARNATION - 1,
        sent_at: 900,
        ..orders_with_start(1, 1)
    };
    script.orders(former, false);
    let ahead = script.now.plus_millis(5).0;
    script.orders(
        RunnerCommands {
            agent: INCARNATION,
            sent_at: ahead,
            ..orders_with_start(1, 1)
        },
        false,
    );
    let answer = script.beat(2, json!({}));
    assert!(answer["hold_ms"].is_null() && answer["start"].is_null());
    script.orders(orders_with_start(1, 1), true);
    assert!(script.beat(3, json!({}))["start"].is_array());
}

#[test]
fn a_silent_runner_lapses_after_its_hold_and_may_come_back() {
    let mut script = Script::settled();
    script.beat(3, json!({"active":[[TASK, 1, "", 1]]}));
    script.pass(2624);
    assert!(!script.last_report().lease_expired);
    script.pass(2);
    let report = script.last_report();
    assert!(report.lease_expired && report.has_runner && report.active.is_empty());
    assert_eq!(report.since_heartbeat_ms, 2625);
    script.pass(20);
    script.beat(4, json!({}));
    assert!(!script.last_report().lease_expired);
}

#[test]
fn starts_ordered_before_a_lapse_wait_for_a_later_answer() {
    let mut script = Script::settled();
    script.orders(orders_with_start(1, 2), true);
    let before = script.now.0;
    script.pass(3000);
    assert!(script.last_report().lease_expired);
    assert!(script.beat(3, json!({}))["start"].is_null());
    script.orders(orders_with_start(1, 2), false);
    script.orders(
        RunnerCommands {
            agent: INCARNATION,
            sent_at: before,
            ..orders_with_start(1, 2)
        },
        false,
    );
    assert!(script.beat(4, json!({}))["start"].is_null());
    script.orders(orders_with_start(1, 2), true);
    assert!(script.beat(5, json!({}))["start"].is_array());
}

#[test]
fn a_new_agent_waits_for_the_hold_of_its_predecessor() {
    let mut script = Script::new();
    script.directory(1, LEADER);
    script.beat(30, json!({"active":[[TASK, 1, "", 1]]}));
    script.pass(2600);
    assert!(!script.last_report().lease_expired);
    script.pass(100);
    assert!(script.last_report().lease_expired);
}

#[test]
fn a_deregistered_runner_drains_and_is_over_when_its_hold_is() {
    let mut script = Script::settled();
    script.beat(3, json!({"active":[[TASK, 1, "", 1]]}));
    script.pass(20);
    assert_eq!(
        script
            .post("/v1/instances/i-7f3a91c2/deregister", Vec::new())
            .status,
        200
    );
    script.pass(20);
    let report = script.last_report();
    assert!(
        report.draining && !report.lease_expired && report.active.len() == 1,
        "it may serve on"
    );
    script.pass(2_700);
    assert!(script.last_report().lease_expired && script.last_report().active.is_empty());
    assert_eq!(
        script
            .post("/v1/instances/unknown/deregister", Vec::new())
            .status,
        200
    );
}

#[test]
fn a_silent_scheduler_is_looked_for_and_reached_through_others() {
    let mut script = Script::settled();
    script.orders(orders(1, 1), true);
    script.pass(3000);
    let relayed = |script: &Script| -> Vec<NodeId> {
        let to_leader = script.sends.iter().filter(
            |(_, message)| matches!(message, Message::Relayed(r) if r.to == LEADER && r.from == AGENT),
        );
        to_leader.map(|(relay, _)| *relay).collect()
    };
    let relays = relayed(&script);
    assert!(
        [OTHER, THIRD, RELAY]
            .iter()
            .all(|relay| relays.contains(relay)),
        "{relays:?}"
    );
    let payload = frame::encode(&Message::RunnerCommands(RunnerCommands {
        agent: INCARNATION,
        sent_at: script.now.0,
        ..orders(1, 2)
    }));
    let answer = Relayed {
        from: LEADER,
        to: AGENT,
        payload: Blob(payload.unwrap()),
    };
    script.message(THIRD, Message::Relayed(answer));
    script.sends.clear();
    script.pass(600);
    assert_eq!(relayed(&script), [THIRD], "the way that worked is kept");
    script.orders(orders(1, 2), true);
    script.sends.clear();
    script.pass(600);
    assert!(relayed(&script).is_empty(), "the straight way works again");
}

#[test]
fn messages_of_others_are_passed_on_once() {
    let mut script = Script::settled();
    let relayed = Relayed {
        from: OTHER,
        to: LEADER,
        payload: Blob(vec![1]),
    };
    script.message(OTHER, Message::Relayed(relayed.clone()));
    assert_eq!(script.sends, [(LEADER, Message::Relayed(relayed.clone()))]);
    script.message(THIRD, Message::Relayed(relayed));
    assert_eq!(script.sends.len(), 1);
    let nested = Relayed {
        from: LEADER,
        to: AGENT,
        payload: Blob(vec![9, 9, 9]),
    };
    script.message(OTHER, Message::Relayed(nested));
    assert_eq!(script.sends.len(), 1);
}

#[test]
fn a_new_scheduler_is_told_at_once() {
    let mut script = Script::settled();
    let refusal = NotLeader {
        request: 0,
        term: 2,
        leader: THIRD,
    };
    script.message(LEADER, Message::NotLeader(refusal));
    let (to, message) = script.sends.last().unwrap();
    assert!(*to == THIRD && matches!(message, Message::RunnerReport(_)));
    script.sends.clear();
    script.directory(1, LEADER);
    script.pass(500);
    assert!(script
        .sends
        .iter()
        .any(|(to, message)| *to == THIRD && matches!(message, Message::RunnerReport(_))));
}

#[test]
fn a_refusal_without_a_name_starts_a_search() {
    let mut script = Script::settled();
    script.message(
        LEADER,
        Message::NotLeader(NotLeader {
            request: 0,
            term: 1,
            leader: NodeId::default(),
        }),
    );
    script.pass(260);
    let hellos = script
        .sends
        .iter()
        .filter(|(_, message)| matches!(message, Message::Hello(_)))
        .count();
    assert!(hellos >= 3);
}

#[test]
fn an_agent_that_is_to_end_serves_on_for_a_while() {
    let mut script = Script::settled();
    script.event(Event::Terminate);
    script.pass(790);
    assert!(!script.finished);
    assert_eq!(script.beat(3, json!({}))["hold_ms"], 2500);
    script.pass(11);
    assert!(script.finished);
}

#[test]
fn a_quiet_agent_is_seldom_awake() {
    let mut script = Script::settled();
    let mut wakes = 0;
    let end = script.now.plus_millis(10_000);
    while let Some(wake) = script.agent.next_wake().filter(|wake| *wake <= end) {
        script.now = wake;
        script.event(Event::Wake);
        script.orders(orders(1, 1), true);
        script.directory(1, LEADER);
        wakes += 1;
    }
    assert!(wakes <= 45, "{wakes} wakes in 10 s");
}
