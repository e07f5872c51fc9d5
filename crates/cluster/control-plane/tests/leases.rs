//! What a replica grants a lease to is named on its disk first, so that a restart cannot forget it.

mod support;
use sagetrail_protocol::control::{
    ControlMessage, ProposalNumber, RecordsPosition, Renew, Resign, VoteRequest,
};
use sagetrail_protocol::node::Event;
use sagetrail_protocol::{Message, NodeId, Term};
use support::cluster::{Weather, World, CALM, CLIENT};

const TERM: Term = 9;

/// A replica that is cut off from the others, long after any lease.
fn lonely_replica(seed: u64) -> (World, usize, NodeId) {
    let mut world = World::founded(3, seed);
    let leader = world.leader().unwrap();
    let replica = (leader + 1) % 3;
    world.cut_off(replica);
    world.run(1_500);
    let leader = world.machines[leader].id;
    (world, replica, leader)
}

fn say(world: &mut World, replica: usize, from: NodeId, message: ControlMessage) {
    world.event(
        replica,
        Event::Message {
            from,
            message: Message::Control(message),
        },
    );
}

fn ask_for_vote(world: &mut World, replica: usize, term: Term, pre_vote: bool) -> bool {
    world.client_messages.clear();
    let request = VoteRequest {
        term,
        incarnation: 77,
        members_version: 1,
        pre_vote,
        sent_at: 1,
    };
    say(world, replica, CLIENT, ControlMessage::VoteRequest(request));
    world.run(50);
    let replies = world.client_messages.iter();
    let mut granted = replies.filter_map(|message| match message {
        Message::Control(ControlMessage::VoteReply(reply)) => Some(reply.granted),
        _ => None,
    });
    granted.next_back().expect("an answer")
}

fn renew(sent_at: u64, source: NodeId) -> ControlMessage {
    let (base, learned) = (RecordsPosition::default(), ProposalNumber::default());
    ControlMessage::Renew(Renew {
        term: TERM,
        sent_at,
        base,
        source,
        number: 0,
        learned,
    })
}

fn grants(world: &World) -> usize {
    let is_grant =
        |message: &&Message| matches!(message, Message::Control(ControlMessage::RenewAck(_)));
    world.client_messages.iter().filter(is_grant).count()
}

#[test]
fn a_loser_of_a_term_cannot_give_up_the_lease_of_its_leader() {
    let (mut world, replica, leader) = lonely_replica(1);
    // The loser of the term, here the client, had this replica's vote.
    assert!(ask_for_vote(&mut world, replica, TERM, false));
    say(&mut world, replica, leader, renew(1, leader));
    world.run(50);
    world.kill(replica);
    world.start(replica, false);
    say(
        &mut world,
        replica,
        CLIENT,
        ControlMessage::Resign(Resign { term: TERM }),
    );
    assert!(
        !ask_for_vote(&mut world, replica, TERM + 1, true),
        "the owner's lease may be running"
    );
    world.run(1_000);
    assert!(ask_for_vote(&mut world, replica, TERM + 1, true));
}

#[test]
fn no_lease_is_granted_before_its_holder_is_on_disk() {
    let (mut world, replica, _) = lonely_replica(2);
    world.weather = Weather {
        sync_us: (50_000, 60_000),
        ..CALM
    };
    world.client_messages.clear();
    say(&mut world, replica, CLIENT, renew(1, CLIENT));
    world.run(2);
    say(&mut world, replica, CLIENT, renew(2, CLIENT));
    world.run(30);
    assert_eq!(grants(&world), 0);
    world.run(100);
    assert_eq!(grants(&world), 2);
    say(&mut world, replica, CLIENT, renew(3, CLIENT));
    world.run(5);
    assert_eq!(grants(&world), 3);
}
