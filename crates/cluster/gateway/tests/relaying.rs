//! Guards against a leader that is reachable only through other processes and gets no requests, against relayed
//! messages for other processes that are altered, and against undecodable ones that are processed.

mod common;

use sagetrail_protocol::collections::Blob;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::{frame, Message, NodeId};

use common::{directory, relayed_to_gateway, reply, TestGateway, CORE, GATEWAY};

#[test]
fn a_silent_leader_is_also_reached_through_relays() {
    let mut gateway = TestGateway::connected();
    gateway.advance(701);
    gateway.clear_outbox();
    let id = gateway.submit();
    assert_eq!(gateway.requests().len(), 1);
    gateway.advance(250);
    let relayed = gateway.relayed();
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
    assert!(relayed.iter().all(|(relay, _)| *relay != CORE[0]));
    let hello =
        |relayed: &Relayed| matches!(frame::decode(&relayed.payload), Ok(Message::Hello(_)));
    assert!(relayed.iter().any(|(_, relayed)| hello(relayed)));
    gateway.advance(500);
    let relays: Vec<NodeId> = gateway
        .relayed()
        .into_iter()
        .map(|(relay, _)| relay)
        .collect();
    assert!(
        relays.contains(&CORE[1]) && relays.contains(&CORE[2]),
        "{relays:?}"
    );
    gateway.receive(CORE[1], relayed_to_gateway(CORE[0], &directory(1, CORE[0])));
    let number = gateway.requests()[0].1.request;
    gateway.receive(CORE[2], relayed_to_gateway(CORE[0], &reply(number, 200)));
    assert_eq!(gateway.status_of(id), Some(200));
    assert_eq!(gateway.readiness(), 200);
    gateway.clear_outbox();
    gateway.submit();
    assert_eq!(
        gateway.relayed().len(),
        1,
        "relayed messages do not prove the direct connection"
    );
    gateway.receive_directory(CORE[0], 1, CORE[0]);
    gateway.clear_outbox();
    gateway.submit();
    assert!(gateway.relayed().is_empty());
}

#[test]
fn messages_to_others_are_relayed_unchanged() {
    let mut gateway = TestGateway::connected();
    let to = NodeId { ip: 99, port: 7 };
    let message = Message::Relayed(Relayed {
        from: CORE[0],
        to,
        payload: Blob(vec![1, 2, 3]),
    });
    gateway.receive(CORE[0], message.clone());
    assert_eq!(gateway.outbox.sends, vec![(to, message)]);
}

#[test]
fn undecodable_relayed_messages_are_dropped() {
    let mut gateway = TestGateway::connected();
    gateway.receive(
        CORE[1],
        Message::Relayed(Relayed {
            from: CORE[0],
            to: GATEWAY,
            payload: Blob(vec![250]),
        }),
    );
    let relayed_twice = relayed_to_gateway(
        CORE[0],
        &relayed_to_gateway(CORE[0], &directory(9, CORE[1])),
    );
    gateway.receive(CORE[1], relayed_twice);
    gateway.submit();
    assert_eq!(gateway.requests()[0].0, CORE[0]);
}
