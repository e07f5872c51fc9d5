//! Tests the messages of processes that are not members: hellos, subscriptions, relayed messages, and requests to a
//! process that is not the leader.

mod support;
use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::distribution::Subscribe;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Event;
use sagetrail_protocol::{frame, Blob, Message, NodeId, NodeKind, Text};
use support::cluster::{id, Cluster, CLIENT};

fn send(cluster: &mut Cluster, index: usize, from: NodeId, message: Message) {
    cluster.event(index, Event::Message { from, message });
}

fn request(config_version: u64) -> Message {
    Message::ClientRequest(ClientRequest {
        request: 77,
        method: ClientMethod::Submit,
        host: Text::default(),
        path: Text::default(),
        body: Blob::default(),
        config_version,
        remaining_ms: 1000,
    })
}

fn subscribe(known_version: u64) -> Message {
    Message::Subscribe(Subscribe {
        known_version,
        asked_at: 7,
    })
}

#[test]
fn a_hello_is_answered_with_the_directory() {
    let mut cluster = Cluster::bootstrapped(3, 1);
    let leader = cluster.leader().unwrap();
    let hello = Hello {
        kind: NodeKind::Side,
        incarnation: 5,
        config_version: 0,
    };
    for index in 0..3 {
        send(&mut cluster, index, CLIENT, Message::Hello(hello.clone()));
        let Some(Message::Directory(directory)) = cluster.client_messages.pop() else {
            panic!("no directory")
        };
        assert_eq!(directory.members.0, [id(0), id(1), id(2)]);
        assert_eq!(
            (directory.members_version, directory.leader),
            (1, id(leader))
        );
    }
}

#[test]
fn a_process_that_is_not_the_leader_names_the_leader() {
    let mut cluster = Cluster::bootstrapped(3, 2);
    let leader = cluster.leader().unwrap();
    send(&mut cluster, (leader + 1) % 3, CLIENT, request(0));
    let Some(Message::NotLeader(answer)) = cluster.client_messages.pop() else {
        panic!("no answer")
    };
    assert_eq!((answer.request, answer.leader), (77, id(leader)));
}

#[test]
fn a_subscriber_receives_newer_and_later_configurations() {
    let mut cluster = Cluster::bootstrapped(3, 3);
    send(&mut cluster, 1, CLIENT, subscribe(0));
    assert!(matches!(
        cluster.client_messages.pop(),
        Some(Message::ConfigCurrent(_))
    ));
    assert_eq!(cluster.replace(0, 0, 5), 200);
    let Some(Message::ConfigUpdate(update)) = cluster.client_messages.pop() else {
        panic!("no update")
    };
    assert_eq!(update.version, 5);
    send(&mut cluster, 2, CLIENT, subscribe(3));
    let Some(Message::ConfigUpdate(update)) = cluster.client_messages.pop() else {
        panic!("no update")
    };
    assert_eq!(update.version, 5);
}

#[test]
fn a_request_with_a_newer_config_version_waits_for_a_read() {
    let mut cluster = Cluster::bootstrapped(3, 4);
    let leader = cluster.leader().unwrap();
    send(&mut cluster, leader, CLIENT, request(9));
    assert!(cluster.client_messages.is_empty());
    cluster.run(100);
    assert!(matches!(
        cluster.client_messages.pop(),
        Some(Message::ClientReply(_))
    ));
}

#[test]
fn a_request_with_a_newer_config_version_is_not_served_without_a_majority() {
    let mut cluster = Cluster::bootstrapped(3, 5);
    let leader = cluster.leader().unwrap();
    cluster.isolate(leader);
    send(&mut cluster, leader, CLIENT, request(9));
    cluster.run(3_000);
    assert_eq!(cluster.acked(), 0);
}

#[test]
fn a_relayed_message_is_answered_by_the_same_route() {
    let mut cluster = Cluster::bootstrapped(3, 6);
    let leader = cluster.leader().unwrap();
    let outer = NodeId { ip: 200, port: 9 };
    let payload = Blob(frame::encode(&request(0)).unwrap());
    let relayed = Message::Relayed(Relayed {
        from: outer,
        to: id(leader),
        payload,
    });
    send(&mut cluster, leader, CLIENT, relayed);
    cluster.run(100);
    let Some(Message::Relayed(answer)) = cluster.client_messages.pop() else {
        panic!("no relayed answer")
    };
    assert_eq!((answer.from, answer.to), (id(leader), outer));
    assert!(matches!(
        frame::decode(&answer.payload),
        Ok(Message::ClientReply(_))
    ));
}

#[test]
fn a_relayed_message_for_another_process_is_forwarded() {
    let mut cluster = Cluster::bootstrapped(3, 7);
    let payload = Blob(frame::encode(&request(0)).unwrap());
    let relayed = Message::Relayed(Relayed {
        from: id(0),
        to: CLIENT,
        payload,
    });
    send(&mut cluster, 1, id(0), relayed.clone());
    assert_eq!(cluster.client_messages.pop(), Some(relayed));
}

#[test]
fn a_subscriber_is_sent_no_routes() {
    let mut cluster = Cluster::bootstrapped(3, 3);
    assert_eq!(cluster.replace(0, 0, 5), 200);
    send(&mut cluster, 2, CLIENT, subscribe(3));
    let Some(Message::ConfigUpdate(update)) = cluster.client_messages.pop() else {
        panic!("no update")
    };
    let sent: serde_json::Value = serde_json::from_slice(&update.document).unwrap();
    assert_eq!(sent["version"], 5);
    assert_eq!(sent["limits"]["max_body_bytes"], 262_144);
    assert!(sent.get("routes").is_none() && sent.get("services").is_none());
}
