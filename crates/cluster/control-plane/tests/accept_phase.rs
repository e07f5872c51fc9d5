//! The contents of the accept phase: a member that holds the value to which a change applies is sent only the change.
//! The tests guard against needless traffic with large values, and against a member that accepts another value than the
//! proposer's because it applied the change to another value.

mod support;
use sagetrail_protocol::control::{
    AcceptChange, ChangeKind, ControlMessage, Prepare, ProposalNumber,
};
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{Blob, Message};
use support::cluster::{Cluster, CLIENT};
use support::operators::{patch, read_config, AnswerMode, Operators};
use support::requests::large_config;

const ROUTES: usize = 400;
/// The limit, in bytes, for all messages among three members for a small change, from the request until one second
/// after its acknowledgement.
const SMALL_CHANGE_BYTES: u64 = 20_000;

fn with_large_config(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrapped(3, seed);
    let number = cluster.http(
        0,
        Method::Post,
        "/v1/config/replace",
        Some(0),
        &large_config(1, ROUTES),
    );
    cluster.run(2_000);
    assert_eq!(cluster.status(number), 200);
    cluster
}

#[test]
fn a_small_change_of_a_large_configuration_sends_few_bytes() {
    let mut cluster = with_large_config(1);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    let before = cluster.sent_bytes;
    assert_eq!(
        operators.send_and_wait(&mut cluster, 1, &patch(1, 2, "small")),
        200
    );
    cluster.run(1_000);
    let bytes = cluster.sent_bytes - before;
    assert!(bytes < SMALL_CHANGE_BYTES, "{bytes} bytes for one change");
    for index in 0..3 {
        assert_eq!(
            read_config(&mut cluster, index).map(|(version, _)| version),
            Some(2)
        );
    }
    let values: Vec<_> = cluster
        .machines
        .iter()
        .map(|machine| &machine.disk.control[&b"value"[..]])
        .collect();
    assert!(values.iter().all(|value| *value == values[0]));
}

#[test]
fn a_member_that_missed_changes_is_sent_the_full_value() {
    let mut cluster = with_large_config(2);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    cluster.isolate(2);
    for version in 2..6 {
        assert_eq!(
            operators.send_until_answered(&mut cluster, 0, &patch(version - 1, version, "away")),
            200
        );
    }
    cluster.heal_network();
    assert_eq!(
        operators.send_until_answered(&mut cluster, 0, &patch(5, 6, "back")),
        200
    );
    cluster.kill(1);
    cluster.run(2_500);
    assert_eq!(
        operators.send_until_answered(&mut cluster, 2, &patch(6, 7, "last")),
        200
    );
    let read = read_config(&mut cluster, 2);
    assert_eq!(operators.check(&cluster, &read), Ok(()));
}

/// The replies of process 0 to a message that `CLIENT` sends as if it were a core process.
fn answers(cluster: &mut Cluster, message: ControlMessage) -> Vec<ControlMessage> {
    cluster.client_messages.clear();
    cluster.event(
        0,
        Event::Message {
            from: CLIENT,
            message: Message::Control(message),
        },
    );
    cluster.run(20);
    let control = |message: Message| match message {
        Message::Control(message) => Some(message),
        _ => None,
    };
    std::mem::take(&mut cluster.client_messages)
        .into_iter()
        .filter_map(control)
        .collect()
}

#[test]
fn a_value_that_is_not_the_proposers_is_not_accepted() {
    let mut cluster = with_large_config(3);
    cluster.kill(1);
    cluster.kill(2);
    let proposal = ProposalNumber {
        counter: 1_000,
        node: CLIENT,
        incarnation: 7,
    };
    let promised = answers(
        &mut cluster,
        ControlMessage::Prepare(Prepare {
            proposal,
            known: ProposalNumber::default(),
        }),
    );
    let [ControlMessage::Promise(promised)] = &promised[..] else {
        panic!("{promised:?}")
    };
    let body = Blob(patch(1, 2, "forged").content.into_bytes());
    let accepted = promised.accepted;
    let accept = AcceptChange {
        proposal,
        base_proposal: accepted,
        kind: ChangeKind::Patch,
        base_version: 1,
        body,
        result: [9; 32],
    };
    let on_other_base = AcceptChange {
        base_proposal: ProposalNumber {
            counter: 999,
            ..proposal
        },
        ..accept.clone()
    };
    let below_promise = AcceptChange {
        proposal: ProposalNumber {
            counter: 1,
            ..proposal
        },
        ..accept.clone()
    };
    for wrong in [accept, on_other_base] {
        let answer = answers(&mut cluster, ControlMessage::AcceptChange(wrong));
        assert!(
            matches!(&answer[..], [ControlMessage::ValueNeeded(needed)] if needed.proposal == proposal)
        );
    }
    let answer = answers(&mut cluster, ControlMessage::AcceptChange(below_promise));
    assert!(
        matches!(&answer[..], [ControlMessage::Rejected(rejected)] if rejected.promised == proposal)
    );
    let promised_again = answers(
        &mut cluster,
        ControlMessage::Prepare(Prepare {
            proposal,
            known: accepted,
        }),
    );
    assert!(
        matches!(&promised_again[..], [ControlMessage::Promise(promised)] if promised.accepted == accepted)
    );
}

/// The limit, in bytes, for all messages among the members in the three seconds after a loss of power at all of them.
/// The value alone is larger than half of it.
const RESTART_BYTES: u64 = 60_000;
/// The limit for a member that restarts without the newest value, as a multiple of the value's size: the value is sent
/// once, and the rest is for the other messages.
const CATCH_UP_VALUES: u64 = 2;

/// The size in bytes of the encoded value on the member's disk.
fn value_bytes(cluster: &Cluster, index: usize) -> u64 {
    cluster.machines[index].disk.control[&b"value"[..]].len() as u64
}

#[test]
fn members_that_hold_the_value_are_not_sent_it_again_after_a_loss_of_power() {
    let mut cluster = with_large_config(4);
    assert!(value_bytes(&cluster, 0) > RESTART_BYTES / 2);
    (0..3).for_each(|index| cluster.power_off(index));
    cluster.run(200);
    let before = cluster.sent_bytes;
    (0..3).for_each(|index| cluster.start(index, false));
    cluster.run(3_000);
    let bytes = cluster.sent_bytes - before;
    assert!(
        bytes < RESTART_BYTES,
        "{bytes} bytes after the loss of power"
    );
    for index in 0..3 {
        assert_eq!(cluster.read_version(index), Some(1));
    }
}

#[test]
fn a_member_that_lacks_the_value_is_sent_it_only_once() {
    let mut cluster = with_large_config(5);
    cluster.power_off(2);
    let mut operators = Operators::new(AnswerMode::Unmodified);
    let changed = operators.send_until_answered(&mut cluster, 0, &patch(1, 2, "away"));
    assert_eq!(changed, 200);
    cluster.run(1_000);
    let before = cluster.sent_bytes;
    cluster.start(2, false);
    cluster.run(3_000);
    let bytes = cluster.sent_bytes - before;
    let limit = CATCH_UP_VALUES * value_bytes(&cluster, 0);
    assert!(bytes < limit, "{bytes} bytes, {limit} allowed");
    assert_eq!(cluster.read_version(2), Some(2));
}
