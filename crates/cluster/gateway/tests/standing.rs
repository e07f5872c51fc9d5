//! Finding the core, configurations, readiness, relays, the end.

mod common;

use common::{directory, passed_on, reply, Rig, CORE, GATEWAY};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::{Event, Method};
use sagetrail_protocol::{frame, Message, NodeId};

#[test]
fn the_seeds_are_greeted_at_the_start() {
    let mut rig = Rig::new();
    assert_eq!(rig.hellos(), CORE);
    assert_eq!(rig.subscriptions().len(), 1);
    rig.clear();
    rig.pass(1000);
    assert_eq!(rig.hellos().len(), 12);
}

#[test]
fn a_settled_gateway_is_nearly_silent() {
    let mut rig = Rig::settled();
    rig.pass_in_touch(10_000, CORE[0], 1, 5);
    assert!(rig.hellos().len() <= 26, "{}", rig.hellos().len());
    assert!(
        rig.subscriptions().len() <= 26,
        "{}",
        rig.subscriptions().len()
    );
    assert!(rig.relayed().is_empty());
    assert!(rig.hellos().iter().any(|node| *node != CORE[0]));
}

#[test]
fn readiness_needs_leader_and_configuration() {
    let mut rig = Rig::new();
    assert_eq!(rig.readiness(), 503);
    rig.directory(CORE[1], 1, CORE[0]);
    rig.update(CORE[1], 5);
    assert_eq!(rig.readiness(), 503);
    rig.directory(CORE[0], 1, CORE[0]);
    assert_eq!(rig.readiness(), 200);
    rig.pass_in_touch(5000, CORE[0], 1, 5);
    assert_eq!(rig.readiness(), 200);
    rig.pass(2400);
    assert_eq!(rig.readiness(), 200);
    rig.pass(200);
    assert_eq!(rig.readiness(), 503);
    rig.directory(CORE[0], 1, CORE[0]);
    assert_eq!(rig.readiness(), 503);
    rig.current(CORE[2], 5, 100);
    assert_eq!(rig.readiness(), 200);
}

#[test]
fn old_word_of_the_configuration_counts_for_nothing() {
    let mut rig = Rig::settled();
    for _ in 0..30 {
        rig.pass(100);
        rig.directory(CORE[0], 1, CORE[0]);
        rig.current(CORE[1], 5, 1600);
        rig.current(CORE[1], 4, 0);
    }
    assert_eq!(rig.readiness(), 503);
}

#[test]
fn a_silent_parent_is_left() {
    let mut rig = Rig::settled();
    rig.pass(3000);
    let parents: Vec<NodeId> = rig
        .subscriptions()
        .into_iter()
        .map(|(parent, _)| parent)
        .collect();
    assert!(
        CORE.iter().all(|node| parents.contains(node)),
        "{parents:?}"
    );
    assert!(rig.subscriptions().iter().all(|(_, have)| *have == 5));
    rig.clear();
    rig.pass_in_touch(3000, CORE[0], 1, 5);
    let parents = rig.subscriptions();
    assert!(
        parents.iter().all(|(parent, _)| *parent == parents[0].0),
        "{parents:?}"
    );
}

#[test]
fn a_silent_leader_is_reached_through_others_too() {
    let mut rig = Rig::settled();
    rig.pass(701);
    rig.clear();
    let id = rig.submit();
    assert_eq!(rig.requests().len(), 1);
    rig.pass(250);
    let relayed = rig.relayed();
    let requests: Vec<_> = relayed
        .iter()
        .filter(|(_, relayed)| {
            matches!(
                frame::decode(&relayed.payload),
                Ok(Message::ClientRequest(_))
            )
        })
        .collect();
    assert_eq!(requests.len(), 2);
    assert!(relayed
        .iter()
        .all(|(_, relayed)| relayed.to == CORE[0] && relayed.from == GATEWAY));
    assert!(relayed.iter().all(|(through, _)| *through != CORE[0]));
    let hello =
        |relayed: &Relayed| matches!(frame::decode(&relayed.payload), Ok(Message::Hello(_)));
    assert!(relayed.iter().any(|(_, relayed)| hello(relayed)));
    rig.pass(500);
    let through: Vec<NodeId> = rig
        .relayed()
        .into_iter()
        .map(|(through, _)| through)
        .collect();
    assert!(
        through.contains(&CORE[1]) && through.contains(&CORE[2]),
        "{through:?}"
    );
    rig.message(CORE[1], passed_on(CORE[0], &directory(1, CORE[0])));
    let number = rig.requests()[0].1.request;
    rig.message(CORE[2], passed_on(CORE[0], &reply(number, 200)));
    assert_eq!(rig.status_of(id), Some(200));
    assert_eq!(rig.readiness(), 200);
    rig.clear();
    rig.submit();
    assert_eq!(
        rig.relayed().len(),
        1,
        "relayed words do not prove the straight way"
    );
    rig.directory(CORE[0], 1, CORE[0]);
    rig.clear();
    rig.submit();
    assert!(rig.relayed().is_empty());
}

#[test]
fn messages_for_others_are_passed_on_as_they_are() {
    let mut rig = Rig::settled();
    let to = NodeId { ip: 99, port: 7 };
    let message = Message::Relayed(Relayed {
        from: CORE[0],
        to,
        payload: Blob(vec![1, 2, 3]),
    });
    rig.message(CORE[0], message.clone());
    assert_eq!(rig.outbox.sends, vec![(to, message)]);
}

#[test]
fn nonsense_inside_is_dropped() {
    let mut rig = Rig::settled();
    rig.message(
        CORE[1],
        Message::Relayed(Relayed {
            from: CORE[0],
            to: GATEWAY,
            payload: Blob(vec![250]),
        }),
    );
    let twice = passed_on(CORE[0], &passed_on(CORE[0], &directory(9, CORE[1])));
    rig.message(CORE[1], twice);
    rig.submit();
    assert_eq!(rig.requests()[0].0, CORE[0]);
}

#[test]
fn an_idle_gateway_drains_and_ends() {
    let mut rig = Rig::settled();
    rig.event(Event::Terminate);
    assert_eq!(rig.readiness(), 503);
    rig.pass_in_touch(2400, CORE[0], 1, 5);
    assert!(!rig.outbox.finished);
    let id = rig.submit();
    let number = rig.requests()[0].1.request;
    rig.pass(200);
    assert!(!rig.outbox.finished, "one is under way");
    rig.answer(CORE[0], number, 200);
    assert_eq!(rig.status_of(id), Some(200));
    assert!(rig.outbox.finished);
    let late = rig.submit();
    assert_eq!(rig.status_of(late), Some(503));
}

#[test]
fn the_end_is_not_missed_when_nothing_happens() {
    let mut rig = Rig::settled();
    rig.event(Event::Terminate);
    rig.event(Event::Terminate);
    rig.pass(2499);
    assert!(!rig.outbox.finished);
    rig.pass(1);
    assert!(rig.outbox.finished);
}

#[test]
fn everything_is_answered_before_the_grace_is_over() {
    let mut rig = Rig::settled();
    let sent = rig.http(Method::Post, Vec::new(), Some(20_000));
    rig.event(Event::Terminate);
    rig.pass_in_touch(4400, CORE[0], 1, 5);
    assert_eq!((rig.status_of(sent), rig.outbox.finished), (None, false));
    rig.pass(100);
    assert_eq!(
        (rig.status_of(sent), rig.outbox.finished),
        (Some(504), true)
    );
}

#[test]
fn a_short_grace_is_kept() {
    let mut rig = Rig::with_bounds(Bounds {
        grace_s: 2.0,
        ..Bounds::default()
    });
    rig.event(Event::Terminate);
    rig.pass(500);
    assert!(rig.outbox.finished);
}
