//! Members that die, stall, restart, send false reports or are partitioned. Guards against live members that are
//! declared dead, dead ones that are not detected, members that do not rejoin, and invalid frames that change the view.

mod network;

use network::{roster, Network};
use rand::Rng;
use sagetrail_swim::{
    Codec, Envelope, FrameError, MemberState, Membership, Message, SwimConfig, Update,
    MAX_DATAGRAM_BYTES,
};

#[test]
fn a_dead_member_is_declared_dead_by_all_within_seconds_and_no_other_is_suspected() {
    for (member_count, within_s) in [(3, 12.0), (12, 16.0), (25, 20.0)] {
        let mut network = Network::new(member_count, member_count as u64);
        assert!(
            network.run_until(5.0, Network::all_alive),
            "all members are alive"
        );
        network.stop(1);
        let end = network.now_s + within_s;
        assert!(
            network.run_until(end, |network| network.all_see(1, MemberState::Dead)),
            "{member_count} members: the death is not known to all at {} s",
            network.now_s
        );
        assert_eq!(network.counters().refuted, 0);
    }
}

#[test]
fn with_a_third_of_messages_lost_and_delayed_few_live_members_are_declared_dead_and_not_for_long() {
    let mut network = Network::new(12, 5);
    (network.loss, network.delay_s, network.duplication) = (0.3, (0.0, 0.5), 0.1);
    network.run(60.0);
    let views = (0..12).flat_map(|of| (0..12).map(move |by| (of, by)));
    let false_dead_count = views
        .filter(|(of, by)| of != by && network.state(*of, *by) == MemberState::Dead)
        .count();
    assert!(
        false_dead_count <= 26,
        "{false_dead_count} of 132 views have a live member as dead"
    );
    (network.loss, network.delay_s) = (0.0, (0.0005, 0.002));
    let end = network.now_s + 30.0;
    assert!(
        network.run_until(end, Network::all_alive),
        "all members are alive again"
    );
}

#[test]
fn two_sides_of_a_partition_declare_each_other_dead_and_rejoin() {
    let mut network = Network::new(6, 8);
    network.run(3.0);
    network.blocked = (0..3)
        .flat_map(|left| (3..6).flat_map(move |right| [(left, right), (right, left)]))
        .collect();
    let apart = |network: &Network| {
        (0..3).all(|left| (3..6).all(|right| network.state(right, left) == MemberState::Dead))
    };
    assert!(network.run_until(60.0, apart));
    network.blocked.clear();
    let end = network.now_s + 30.0;
    assert!(network.run_until(end, Network::all_alive));
}

#[test]
fn a_member_that_receives_nothing_does_not_get_others_declared_dead() {
    let mut network = Network::new(5, 9);
    network.run(3.0);
    network.blocked = (1..5).map(|from| (from, 0)).collect();
    network.run(30.0);
    for (of, by) in (1..5)
        .flat_map(|of| (1..5).map(move |by| (of, by)))
        .filter(|(of, by)| of != by)
    {
        assert_ne!(network.state(of, by), MemberState::Dead, "{by} of {of}");
    }
    assert!(
        network.members[0].as_ref().unwrap().local_health() > 2,
        "its local health is degraded"
    );
}

#[test]
fn a_paused_process_suspects_nobody_when_it_resumes() {
    let mut network = Network::new(5, 10);
    network.run(3.0);
    network.paused[0] = true;
    network.run(20.0);
    network.paused[0] = false;
    let before = network.members[0].as_ref().unwrap().counters.suspected;
    network.run(1.0);
    let member = network.members[0].as_ref().unwrap();
    assert!(member.counters.suspected <= before + 1 && member.counters.stalls == 1);
    let end = network.now_s + 20.0;
    assert!(
        network.run_until(end, Network::all_alive),
        "the paused member is alive again"
    );
}

#[test]
fn a_member_restarted_with_a_lower_incarnation_becomes_alive_again() {
    let mut network = Network::new(4, 11);
    network.run(3.0);
    network.stop(2);
    network.run(15.0);
    assert!(network.all_see(2, MemberState::Dead));
    network.start(2, 3);
    let end = network.now_s + 15.0;
    assert!(network.run_until(end, Network::all_alive));
    assert!(network.members[2].as_ref().unwrap().incarnation() > 1000);
}

#[test]
fn all_members_restarted_at_once_see_each_other_alive() {
    let mut network = Network::new(25, 12);
    network.run(5.0);
    (0..25).for_each(|member| network.start(member, 2000));
    let end = network.now_s + 15.0;
    assert!(network.run_until(end, Network::all_alive));
}

#[test]
fn a_false_report_of_a_death_only_suspects_and_is_refuted() {
    let mut network = Network::new(4, 13);
    network.run(3.0);
    let report = Update {
        member: 1003,
        incarnation: 1000,
        state: MemberState::Dead,
        reporter: 1000,
    };
    let mut outbox = Vec::new();
    for to in 1..3 {
        network.members[to]
            .as_mut()
            .unwrap()
            .receive(
                network.now_s,
                0,
                Message::Ping {
                    sequence: 1,
                    updates: vec![report],
                },
                &mut outbox,
            )
            .unwrap();
        assert_eq!(
            network.state(3, to),
            MemberState::Suspect,
            "a forwarded report does not declare a member dead"
        );
    }
    network.run(10.0);
    assert!(network.all_alive());
}

#[test]
fn invalid_updates_are_rejected() {
    let mut member = Membership::new(SwimConfig::default(), roster(3), 0, 1000, 1, 0.0);
    let mut outbox = Vec::new();
    let unknown_members: Vec<Update> = (0..100_000)
        .map(|index| Update {
            member: 50_000 + index,
            incarnation: 1,
            state: MemberState::Alive,
            reporter: 1001,
        })
        .collect();
    assert_eq!(
        member.receive(
            1.0,
            1,
            Message::Ping {
                sequence: 1,
                updates: unknown_members
            },
            &mut outbox
        ),
        Err(FrameError::InvalidValue)
    );
    let too_late = Update {
        member: 1002,
        incarnation: u64::MAX,
        state: MemberState::Alive,
        reporter: 1001,
    };
    assert_eq!(
        member.receive(
            1.0,
            1,
            Message::Ack {
                sequence: 9,
                updates: vec![too_late]
            },
            &mut outbox
        ),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(
        member.receive(
            1.0,
            1,
            Message::PingReq {
                sequence: 9,
                target: 77,
                updates: vec![]
            },
            &mut outbox
        ),
        Err(FrameError::InvalidValue)
    );
    assert_eq!(member.live_count(), 1);
    assert_eq!(member.view(2).state, MemberState::Unknown);
}

#[test]
fn foreign_and_damaged_frames_are_rejected_by_reason() {
    let (codec, envelope) = (
        Codec::new("a"),
        Envelope {
            sender: 1,
            process: 2,
            incarnation: 3,
            sequence: 4,
        },
    );
    let body = Message::Ping {
        sequence: 7,
        updates: vec![],
    };
    let frame = codec.encode(&envelope, &body);
    let read = |frame: &[u8]| {
        codec
            .decode::<Message>(frame, MAX_DATAGRAM_BYTES)
            .map(|(_, body)| body)
    };
    assert_eq!(read(&frame), Ok(body.clone()));
    for length in 0..frame.len() {
        assert!(read(&frame[..length]).is_err());
    }
    for bit in 0..8 * frame.len() {
        let mut flipped = frame.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            read(&flipped),
            Err(FrameError::ChecksumMismatch),
            "bit {bit}"
        );
    }
    assert_eq!(
        read(&Codec::new("b").encode(&envelope, &body)),
        Err(FrameError::OtherFleet)
    );
    assert_eq!(read(&[0; MAX_DATAGRAM_BYTES + 1]), Err(FrameError::TooLong));
    let with_new_checksum = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut content = frame[..frame.len() - 4].to_vec();
        change(&mut content);
        content.extend(crc32fast::hash(&content).to_le_bytes());
        read(&content)
    };
    assert_eq!(
        with_new_checksum(&|content| content[0] = 9),
        Err(FrameError::UnsupportedVersion)
    );
    assert_eq!(
        with_new_checksum(&|content| content.push(0)),
        Err(FrameError::Malformed)
    );
    assert_eq!(
        with_new_checksum(&|content| content.truncate(8)),
        Err(FrameError::Malformed)
    );
}

#[test]
fn random_bytes_never_decode() {
    let mut network = Network::new(2, 14);
    let codec = Codec::new("test");
    for _ in 0..20_000 {
        let length = network.random.random_range(0..200);
        let bytes: Vec<u8> = (0..length).map(|_| network.random.random()).collect();
        assert!(codec.decode::<Message>(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }
}
