//! Guards against a replica that forgets in a restart to which process it has granted a lease. A replica therefore
//! records the holder of a lease on disk before it grants the lease.

mod support;
use sagetrail_protocol::control::{
    ControlMessage, ProposalNumber, RecordsPosition, Renew, Resign, VoteRequest,
};
use sagetrail_protocol::node::Event;
use sagetrail_protocol::{Message, NodeId, Term};
use support::cluster::{Cluster, CLIENT};
use support::network::{Conditions, FAULT_FREE};

const TERM: Term = 9;

/// Returns a cluster with a replica that has been isolated for longer than any lease, and the address of the leader.
fn isolated_replica(seed: u64) -> (Cluster, usize, NodeId) {
    let mut cluster = Cluster::bootstrapped(3, seed);
    let leader = cluster.leader().unwrap();
    let replica = (leader + 1) % 3;
    cluster.isolate(replica);
    cluster.run(1_500);
    let leader = cluster.machines[leader].id;
    (cluster, replica, leader)
}

fn send(cluster: &mut Cluster, replica: usize, from: NodeId, message: ControlMessage) {
    cluster.event(
        replica,
        Event::Message {
            from,
            message: Message::Control(message),
        },
    );
}

fn request_vote(cluster: &mut Cluster, replica: usize, term: Term, pre_vote: bool) -> bool {
    cluster.client_messages.clear();
    let request = VoteRequest {
        term,
        incarnation: 77,
        members_version: 1,
        pre_vote,
        sent_at: 1,
    };
    send(
        cluster,
        replica,
        CLIENT,
        ControlMessage::VoteRequest(request),
    );
    cluster.run(50);
    let replies = cluster.client_messages.iter();
    let mut granted = replies.filter_map(|message| match message {
        Message::Control(ControlMessage::VoteReply(reply)) => Some(reply.granted),
        _ => None,
    });
    granted.next_back().expect("no reply to the vote request")
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

fn count_grants(cluster: &Cluster) -> usize {
    let is_grant =
        |message: &&Message| matches!(message, Message::Control(ControlMessage::RenewAck(_)));
    cluster.client_messages.iter().filter(is_grant).count()
}

#[test]
fn a_losing_candidate_cannot_resign_the_lease_of_the_leader() {
    let (mut cluster, replica, leader) = isolated_replica(1);
    // The replica voted for the losing candidate of the term, which is the client here.
    assert!(request_vote(&mut cluster, replica, TERM, false));
    send(&mut cluster, replica, leader, renew(1, leader));
    cluster.run(50);
    cluster.kill(replica);
    cluster.start(replica, false);
    send(
        &mut cluster,
        replica,
        CLIENT,
        ControlMessage::Resign(Resign { term: TERM }),
    );
    assert!(
        !request_vote(&mut cluster, replica, TERM + 1, true),
        "a vote was granted although the lease of the leader may not have expired"
    );
    cluster.run(1_000);
    assert!(request_vote(&mut cluster, replica, TERM + 1, true));
}

#[test]
fn no_lease_is_granted_before_its_holder_is_on_disk() {
    let (mut cluster, replica, _) = isolated_replica(2);
    cluster.conditions = Conditions {
        sync_us: (50_000, 60_000),
        ..FAULT_FREE
    };
    cluster.client_messages.clear();
    send(&mut cluster, replica, CLIENT, renew(1, CLIENT));
    cluster.run(2);
    send(&mut cluster, replica, CLIENT, renew(2, CLIENT));
    cluster.run(30);
    assert_eq!(count_grants(&cluster), 0);
    cluster.run(100);
    assert_eq!(count_grants(&cluster), 2);
    send(&mut cluster, replica, CLIENT, renew(3, CLIENT));
    cluster.run(5);
    assert_eq!(count_grants(&cluster), 3);
}
