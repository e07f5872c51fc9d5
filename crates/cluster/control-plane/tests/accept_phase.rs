//! What the rounds of the register carry: the change alone to members that hold the value before it.

mod support;
use sagetrail_protocol::control::{
    AcceptChange, ChangeKind, ControlMessage, Prepare, ProposalNumber,
};
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{Blob, Message};
use support::operators::{patch, read_back, Answering, Operators};
use support::cluster::{config, World, CLIENT};

const ROUTES: usize = 400;
/// All that a small change may cost a core of three, in bytes, the second after its acknowledgement included.
const SMALL_CHANGE_BYTES: u64 = 20_000;

/// A configuration of many routes, with the one that `patch` changes among them.
fn large_config(version: u64) -> String {
    let mut complete: serde_json::Value = serde_json::from_str(&config(version)).unwrap();
    let route = complete["routes"][0].clone();
    let routes = complete["routes"].as_array_mut().unwrap();
    for number in 0..ROUTES {
        let mut other = route.clone();
        other["name"] = format!("r{number}").into();
        other["path_prefix"] = format!("/other{number}/").into();
        routes.push(other);
    }
    complete.to_string()
}

fn with_large_config(seed: u64) -> World {
    let mut world = World::founded(3, seed);
    let number = world.http(
        0,
        Method::Post,
        "/v1/config/replace",
        Some(0),
        &large_config(1),
    );
    world.run(2_000);
    assert_eq!(world.status(number), 200);
    world
}

#[test]
fn a_small_change_of_a_large_configuration_costs_little() {
    let mut world = with_large_config(1);
    let mut operators = Operators::new(Answering::Sound);
    let before = world.sent_bytes;
    assert_eq!(operators.ask(&mut world, 1, &patch(1, 2, "small")), 200);
    world.run(1_000);
    let bytes = world.sent_bytes - before;
    assert!(bytes < SMALL_CHANGE_BYTES, "{bytes} bytes for one change");
    for index in 0..3 {
        assert_eq!(
            read_back(&mut world, index).map(|(version, _)| version),
            Some(2)
        );
    }
    let values: Vec<_> = world
        .machines
        .iter()
        .map(|machine| &machine.disk.control[&b"value"[..]])
        .collect();
    assert!(values.iter().all(|value| *value == values[0]));
}

#[test]
fn a_member_that_was_away_is_given_the_value_whole() {
    let mut world = with_large_config(2);
    let mut operators = Operators::new(Answering::Sound);
    world.cut_off(2);
    for version in 2..6 {
        assert_eq!(
            operators.insist(&mut world, 0, &patch(version - 1, version, "away")),
            200
        );
    }
    world.mend();
    assert_eq!(operators.insist(&mut world, 0, &patch(5, 6, "back")), 200);
    world.kill(1);
    world.run(2_500);
    assert_eq!(operators.insist(&mut world, 2, &patch(6, 7, "last")), 200);
    let read = read_back(&mut world, 2);
    assert_eq!(operators.check(&world, &read), Ok(()));
}

/// The process's answers to a message that `CLIENT` sends in the place of a core process.
fn answers(world: &mut World, message: ControlMessage) -> Vec<ControlMessage> {
    world.client_messages.clear();
    world.event(
        0,
        Event::Message {
            from: CLIENT,
            message: Message::Control(message),
        },
    );
    world.run(20);
    let control = |message: Message| match message {
        Message::Control(message) => Some(message),
        _ => None,
    };
    std::mem::take(&mut world.client_messages)
        .into_iter()
        .filter_map(control)
        .collect()
}

#[test]
fn a_value_that_is_not_the_proposers_is_not_accepted() {
    let mut world = with_large_config(3);
    world.kill(1);
    world.kill(2);
    let proposal = ProposalNumber {
        counter: 1_000,
        node: CLIENT,
        incarnation: 7,
    };
    let promised = answers(
        &mut world,
        ControlMessage::Prepare(Prepare {
            proposal,
            have: ProposalNumber::default(),
        }),
    );
    let [ControlMessage::Promise(promised)] = &promised[..] else {
        panic!("{promised:?}")
    };
    let body = Blob(patch(1, 2, "forged").content.into_bytes());
    let on = promised.accepted;
    let accept = AcceptChange {
        proposal,
        on,
        kind: ChangeKind::Patch,
        base: 1,
        body,
        result: [9; 32],
    };
    let other = AcceptChange {
        on: ProposalNumber {
            counter: 999,
            ..proposal
        },
        ..accept.clone()
    };
    let late = AcceptChange {
        proposal: ProposalNumber {
            counter: 1,
            ..proposal
        },
        ..accept.clone()
    };
    for wrong in [accept, other] {
        let answer = answers(&mut world, ControlMessage::AcceptChange(wrong));
        assert!(
            matches!(&answer[..], [ControlMessage::ValueNeeded(needed)] if needed.proposal == proposal)
        );
    }
    let answer = answers(&mut world, ControlMessage::AcceptChange(late));
    assert!(
        matches!(&answer[..], [ControlMessage::Refused(refused)] if refused.promised == proposal)
    );
    let committed = answers(
        &mut world,
        ControlMessage::Prepare(Prepare { proposal, have: on }),
    );
    assert!(
        matches!(&committed[..], [ControlMessage::Promise(promised)] if promised.accepted == on)
    );
}
