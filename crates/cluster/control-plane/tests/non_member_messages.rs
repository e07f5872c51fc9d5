//! What other processes are told: directory, subscriptions, relayed messages, who schedules.

mod support;
use sagetrail_protocol::client::{ClientMethod, ClientRequest};
use sagetrail_protocol::directory::Hello;
use sagetrail_protocol::distribution::Subscribe;
use sagetrail_protocol::message::Relayed;
use sagetrail_protocol::node::Event;
use sagetrail_protocol::{frame, Blob, Message, NodeId, NodeKind, Text};
use support::cluster::{id, World, CLIENT};

fn send(world: &mut World, index: usize, from: NodeId, message: Message) {
    world.event(index, Event::Message { from, message });
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

fn subscribe(have: u64) -> Message {
    Message::Subscribe(Subscribe { have, asked_at: 7 })
}

#[test]
fn a_hello_is_answered_with_the_directory() {
    let mut world = World::founded(3, 1);
    let leader = world.leader().unwrap();
    let hello = Hello {
        kind: NodeKind::Side,
        incarnation: 5,
        config_version: 0,
    };
    for index in 0..3 {
        send(&mut world, index, CLIENT, Message::Hello(hello.clone()));
        let Some(Message::Directory(directory)) = world.client_messages.pop() else {
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
fn another_process_names_the_leader() {
    let mut world = World::founded(3, 2);
    let leader = world.leader().unwrap();
    send(&mut world, (leader + 1) % 3, CLIENT, request(0));
    let Some(Message::NotLeader(answer)) = world.client_messages.pop() else {
        panic!("no answer")
    };
    assert_eq!((answer.request, answer.leader), (77, id(leader)));
}

#[test]
fn a_subscriber_gets_what_is_newer_and_what_comes() {
    let mut world = World::founded(3, 3);
    send(&mut world, 1, CLIENT, subscribe(0));
    assert!(matches!(
        world.client_messages.pop(),
        Some(Message::ConfigCurrent(_))
    ));
    assert_eq!(world.replace(0, 0, 5), 200);
    let Some(Message::ConfigUpdate(update)) = world.client_messages.pop() else {
        panic!("no update")
    };
    assert_eq!(update.version, 5);
    send(&mut world, 2, CLIENT, subscribe(3));
    let Some(Message::ConfigUpdate(update)) = world.client_messages.pop() else {
        panic!("no update")
    };
    assert_eq!(update.version, 5);
}

#[test]
fn a_request_that_knows_more_waits_for_a_read() {
    let mut world = World::founded(3, 4);
    let leader = world.leader().unwrap();
    send(&mut world, leader, CLIENT, request(9));
    assert!(world.client_messages.is_empty());
    world.run(100);
    assert!(matches!(
        world.client_messages.pop(),
        Some(Message::ClientReply(_))
    ));
}

#[test]
fn a_request_that_knows_more_is_not_served_without_a_majority() {
    let mut world = World::founded(3, 5);
    let leader = world.leader().unwrap();
    world.cut_off(leader);
    send(&mut world, leader, CLIENT, request(9));
    world.run(3_000);
    assert_eq!(world.acked(), 0);
}

#[test]
fn a_relayed_message_is_answered_on_the_same_way() {
    let mut world = World::founded(3, 6);
    let leader = world.leader().unwrap();
    let outer = NodeId { ip: 200, port: 9 };
    let payload = Blob(frame::encode(&request(0)).unwrap());
    let relayed = Message::Relayed(Relayed {
        from: outer,
        to: id(leader),
        payload,
    });
    send(&mut world, leader, CLIENT, relayed);
    world.run(100);
    let Some(Message::Relayed(answer)) = world.client_messages.pop() else {
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
    let mut world = World::founded(3, 7);
    let payload = Blob(frame::encode(&request(0)).unwrap());
    let relayed = Message::Relayed(Relayed {
        from: id(0),
        to: CLIENT,
        payload,
    });
    send(&mut world, 1, id(0), relayed.clone());
    assert_eq!(world.client_messages.pop(), Some(relayed));
}
