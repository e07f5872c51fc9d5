//! Guards against missing, late or too frequent reports to the scheduler, and against leases or commands that the agent
//! accepts although they are outdated. Checks the content, the time and the route of the reports.

mod common;
use serde_json::json;

use sagetrail_protocol::agent::RunnerCommands;
use sagetrail_protocol::client::NotLeader;
use sagetrail_protocol::frame;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Node};
use sagetrail_protocol::{Blob, Message, NodeId};

use common::*;

#[test]
fn an_agent_contacts_its_seeds_and_reports_once_it_knows_the_leader() {
    let mut agent = TestAgent::new();
    let has_contacted = |agent: &TestAgent, node| agent.sends.iter().any(|(to, _)| *to == node);
    agent.advance(1000);
    assert!([LEADER, OTHER, THIRD]
        .iter()
        .all(|seed| has_contacted(&agent, *seed)));
    assert!(agent.reports().is_empty());
    agent.receive_directory(1, LEADER);
    assert!(!agent.last_report().has_runner);
}

#[test]
fn changes_are_reported_at_once_but_progress_is_not() {
    let mut agent = TestAgent::connected();
    agent.advance(20);
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 1]]}));
    assert_eq!(agent.reports().len(), 1);
    agent.advance(20);
    agent.heartbeat(4, json!({"active":[[TASK, 1, "", 50]]}));
    assert_eq!(agent.reports().len(), 1);
    agent.heartbeat(5, json!({"active":[[TASK, 1, "cp", 50]]}));
    agent.heartbeat(
        6,
        json!({"active":[[TASK, 1, "cp", 50]],"finished":[[1,"t.0.0.0",1,"done",""]]}),
    );
    assert_eq!(agent.reports().len(), 2, "reports have a minimum interval");
    agent.advance(10);
    assert_eq!(agent.reports().len(), 3);
    assert_eq!(agent.last_report().finished.len(), 1);
    assert_eq!(agent.last_report().active[0].percent, 50);
}

#[test]
fn reports_are_regular_and_more_frequent_on_a_short_lease() {
    let mut agent = TestAgent::connected();
    for _ in 0..4 {
        agent.advance(500);
        agent.receive_answer(commands(1, 1));
    }
    assert_eq!(agent.reports().len(), 4);
    agent.sends.clear();
    agent.advance(3600);
    let regular_count = agent.reports().len();
    assert!((7..=8).contains(&regular_count), "{regular_count} reports");
    agent.sends.clear();
    agent.advance(4000);
    let renewal_count = agent.reports().len();
    assert!(
        (15..=17).contains(&renewal_count),
        "{renewal_count} reports"
    );
}

#[test]
fn commands_are_resolved_by_the_next_heartbeat() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    agent.advance(600);
    assert_eq!(
        (
            agent.last_report().revision,
            agent.last_report().starts_resolved
        ),
        (2, false)
    );
    agent.heartbeat(3, json!({}));
    assert!(agent.last_report().starts_resolved);
}

#[test]
fn the_first_heartbeat_resolves_nothing() {
    let mut agent = TestAgent::new();
    agent.receive_directory(1, LEADER);
    agent.receive_answer(commands(1, 1));
    agent.advance(20);
    agent.heartbeat(1, json!({}));
    agent.advance(600);
    assert_eq!(
        (
            agent.last_report().revision,
            agent.last_report().starts_resolved
        ),
        (1, false)
    );
    agent.heartbeat(2, json!({}));
    assert!(agent.last_report().starts_resolved);
}

#[test]
fn late_commands_are_ignored() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands(3, 5));
    agent.heartbeat(3, json!({}));
    agent.now = agent.now.plus_millis(6000);
    agent.receive_answer(commands_with_start(2, 9));
    agent.receive_answer(commands_with_start(3, 4));
    let answer = agent.heartbeat(4, json!({}));
    assert!(answer["start"].is_null());
    assert_eq!(answer["fence_token"], 3);
    assert_eq!(agent.node.counters().older_commands, 2);
    agent.now = agent.now.plus_millis(6000);
    assert!(
        agent.heartbeat(5, json!({}))["hold_ms"].is_null(),
        "older commands must not extend the lease"
    );
}

#[test]
fn only_an_answer_to_this_agent_extends_its_lease() {
    let mut agent = TestAgent::new();
    agent.receive_directory(1, LEADER);
    agent.heartbeat(1, json!({}));
    agent.receive_commands(commands_with_start(1, 1));
    let former = RunnerCommands {
        agent: INCARNATION - 1,
        sent_at: 900,
        ..commands_with_start(1, 1)
    };
    agent.receive_commands(former);
    let ahead = agent.now.plus_millis(5).0;
    agent.receive_commands(RunnerCommands {
        agent: INCARNATION,
        sent_at: ahead,
        ..commands_with_start(1, 1)
    });
    let answer = agent.heartbeat(2, json!({}));
    assert!(answer["hold_ms"].is_null() && answer["start"].is_null());
    agent.receive_answer(commands_with_start(1, 1));
    assert!(agent.heartbeat(3, json!({}))["start"].is_array());
}

#[test]
fn a_silent_runners_lease_expires_and_it_may_return() {
    let mut agent = TestAgent::connected();
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 1]]}));
    agent.advance(2624);
    assert!(!agent.last_report().lease_expired);
    agent.advance(2);
    let report = agent.last_report();
    assert!(report.lease_expired && report.has_runner && report.active.is_empty());
    assert_eq!(report.since_heartbeat_ms, 2625);
    agent.advance(20);
    agent.heartbeat(4, json!({}));
    assert!(!agent.last_report().lease_expired);
}

#[test]
fn starts_from_before_an_expiry_wait_for_a_later_answer() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands_with_start(1, 2));
    let before = agent.now.0;
    agent.advance(3000);
    assert!(agent.last_report().lease_expired);
    assert!(agent.heartbeat(3, json!({}))["start"].is_null());
    agent.receive_commands(commands_with_start(1, 2));
    agent.receive_commands(RunnerCommands {
        agent: INCARNATION,
        sent_at: before,
        ..commands_with_start(1, 2)
    });
    assert!(agent.heartbeat(4, json!({}))["start"].is_null());
    agent.receive_answer(commands_with_start(1, 2));
    assert!(agent.heartbeat(5, json!({}))["start"].is_array());
}

#[test]
fn a_new_agent_waits_for_the_lease_of_its_predecessor() {
    let mut agent = TestAgent::new();
    agent.receive_directory(1, LEADER);
    agent.heartbeat(30, json!({"active":[[TASK, 1, "", 1]]}));
    agent.advance(2600);
    assert!(!agent.last_report().lease_expired);
    agent.advance(100);
    assert!(agent.last_report().lease_expired);
}

#[test]
fn a_deregistered_runner_drains_until_its_lease_expires() {
    let mut agent = TestAgent::connected();
    agent.heartbeat(3, json!({"active":[[TASK, 1, "", 1]]}));
    agent.advance(20);
    assert_eq!(
        agent
            .post("/v1/instances/i-7f3a91c2/deregister", Vec::new())
            .status,
        200
    );
    agent.advance(20);
    let report = agent.last_report();
    assert!(
        report.draining && !report.lease_expired && report.active.len() == 1,
        "the runner may continue to serve"
    );
    agent.advance(2_700);
    assert!(agent.last_report().lease_expired && agent.last_report().active.is_empty());
    assert_eq!(
        agent
            .post("/v1/instances/unknown/deregister", Vec::new())
            .status,
        200
    );
}

#[test]
fn an_unresponsive_leader_is_searched_for_and_reached_through_relays() {
    let mut agent = TestAgent::connected();
    agent.receive_answer(commands(1, 1));
    agent.advance(3000);
    let used_relays = |agent: &TestAgent| -> Vec<NodeId> {
        let to_leader = agent.sends.iter().filter(
            |(_, message)| matches!(message, Message::Relayed(relayed) if relayed.to == LEADER && relayed.from == AGENT),
        );
        to_leader.map(|(relay, _)| *relay).collect()
    };
    let relays = used_relays(&agent);
    assert!(
        [OTHER, THIRD, RELAY]
            .iter()
            .all(|relay| relays.contains(relay)),
        "{relays:?}"
    );
    let payload = frame::encode(&Message::RunnerCommands(RunnerCommands {
        agent: INCARNATION,
        sent_at: agent.now.0,
        ..commands(1, 2)
    }));
    let answer = Relayed {
        from: LEADER,
        to: AGENT,
        payload: Blob(payload.unwrap()),
    };
    agent.receive(THIRD, Message::Relayed(answer));
    agent.sends.clear();
    agent.advance(600);
    assert_eq!(
        used_relays(&agent),
        [THIRD],
        "the relay of the last answer is kept"
    );
    agent.receive_answer(commands(1, 2));
    agent.sends.clear();
    agent.advance(600);
    assert!(
        used_relays(&agent).is_empty(),
        "the direct connection works again"
    );
}

#[test]
fn messages_between_other_processes_are_relayed_only_once() {
    let mut agent = TestAgent::connected();
    let relayed = Relayed {
        from: OTHER,
        to: LEADER,
        payload: Blob(vec![1]),
    };
    agent.receive(OTHER, Message::Relayed(relayed.clone()));
    assert_eq!(agent.sends, [(LEADER, Message::Relayed(relayed.clone()))]);
    agent.receive(THIRD, Message::Relayed(relayed));
    assert_eq!(agent.sends.len(), 1);
    let nested = Relayed {
        from: LEADER,
        to: AGENT,
        payload: Blob(vec![9, 9, 9]),
    };
    agent.receive(OTHER, Message::Relayed(nested));
    assert_eq!(agent.sends.len(), 1);
}

#[test]
fn a_new_leader_gets_a_report_at_once() {
    let mut agent = TestAgent::connected();
    let not_leader = NotLeader {
        request: 0,
        term: 2,
        leader: THIRD,
    };
    agent.receive(LEADER, Message::NotLeader(not_leader));
    let (to, message) = agent.sends.last().unwrap();
    assert!(*to == THIRD && matches!(message, Message::RunnerReport(_)));
    agent.sends.clear();
    agent.receive_directory(1, LEADER);
    agent.advance(500);
    assert!(agent
        .sends
        .iter()
        .any(|(to, message)| *to == THIRD && matches!(message, Message::RunnerReport(_))));
}

#[test]
fn a_not_leader_message_without_a_leader_starts_a_search() {
    let mut agent = TestAgent::connected();
    agent.receive(
        LEADER,
        Message::NotLeader(NotLeader {
            request: 0,
            term: 1,
            leader: NodeId::default(),
        }),
    );
    agent.advance(260);
    let hellos = agent
        .sends
        .iter()
        .filter(|(_, message)| matches!(message, Message::Hello(_)))
        .count();
    assert!(hellos >= 3);
}

#[test]
fn an_agent_asked_to_terminate_continues_to_serve_for_a_while() {
    let mut agent = TestAgent::connected();
    agent.handle(Event::Terminate);
    agent.advance(790);
    assert!(!agent.finished);
    assert_eq!(agent.heartbeat(3, json!({}))["hold_ms"], 2500);
    agent.advance(11);
    assert!(agent.finished);
}

#[test]
fn an_idle_agent_wakes_rarely() {
    let mut agent = TestAgent::connected();
    let mut wakes = 0;
    let end = agent.now.plus_millis(10_000);
    while let Some(wake) = agent.node.next_wake().filter(|wake| *wake <= end) {
        agent.now = wake;
        agent.handle(Event::Wake);
        agent.receive_answer(commands(1, 1));
        agent.receive_directory(1, LEADER);
        wakes += 1;
    }
    assert!(wakes <= 45, "{wakes} wakes in 10 s");
}
