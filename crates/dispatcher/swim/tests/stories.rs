//! Stories of members that die, stall, come back, lie or lose contact.

mod sim;
use rand::Rng;
use sagetrail_swim::*;
use sim::{roster, Net};

#[test]
fn a_dead_member_is_known_to_all_within_seconds_and_nobody_else_is_blamed() {
    for (n, within) in [(3, 12.0), (12, 16.0), (25, 20.0)] {
        let mut net = Net::new(n, n as u64);
        assert!(net.until(5.0, Net::all_alive), "all meet");
        net.kill(1);
        let end = net.now + within;
        assert!(
            net.until(end, |net| net.all_say(1, MemberState::Dead)),
            "{n}: known by {}",
            net.now
        );
        assert_eq!(net.tally().refuted, 0);
    }
}

#[test]
fn with_a_third_lost_and_late_nobody_who_lives_is_held_dead_for_long() {
    let mut net = Net::new(12, 5);
    (net.loss, net.delay_s, net.double) = (0.3, (0.0, 0.5), 0.1);
    net.run(60.0);
    let wrong = (0..12).flat_map(|of| (0..12).map(move |by| (of, by)));
    let wrong = wrong
        .filter(|(of, by)| of != by && net.life(*of, *by) == MemberState::Dead)
        .count();
    assert!(
        wrong <= 26,
        "{wrong} of 132 views hold a living member dead"
    );
    (net.loss, net.delay_s) = (0.0, (0.0005, 0.002));
    let end = net.now + 30.0;
    assert!(net.until(end, Net::all_alive), "all is well again");
}

#[test]
fn two_halves_each_hold_the_other_dead_and_find_each_other_again() {
    let mut net = Net::new(6, 8);
    net.run(3.0);
    net.cut = (0..3)
        .flat_map(|a| (3..6).flat_map(move |b| [(a, b), (b, a)]))
        .collect();
    let apart = |net: &Net| (0..3).all(|a| (3..6).all(|b| net.life(b, a) == MemberState::Dead));
    assert!(net.until(60.0, apart));
    net.cut.clear();
    let end = net.now + 30.0;
    assert!(net.until(end, Net::all_alive));
}

#[test]
fn one_that_hears_nothing_does_not_take_the_others_down() {
    let mut net = Net::new(5, 9);
    net.run(3.0);
    net.cut = (1..5).map(|from| (from, 0)).collect();
    net.run(30.0);
    for (of, by) in (1..5)
        .flat_map(|of| (1..5).map(move |by| (of, by)))
        .filter(|(of, by)| of != by)
    {
        assert_ne!(net.life(of, by), MemberState::Dead, "{by} of {of}");
    }
    assert!(
        net.members[0].as_ref().unwrap().local_health() > 2,
        "it knows that it fares badly"
    );
}

#[test]
fn one_that_was_paused_accuses_nobody_when_it_wakes() {
    let mut net = Net::new(5, 10);
    net.run(3.0);
    net.paused[0] = true;
    net.run(20.0);
    net.paused[0] = false;
    let before = net.members[0].as_ref().unwrap().counters.suspected;
    net.run(1.0);
    let member = net.members[0].as_ref().unwrap();
    assert!(member.counters.suspected <= before + 1 && member.counters.stalls == 1);
    let end = net.now + 20.0;
    assert!(net.until(end, Net::all_alive), "and is held alive again");
}

#[test]
fn one_back_under_its_name_with_an_older_incarnation_is_alive_again() {
    let mut net = Net::new(4, 11);
    net.run(3.0);
    net.kill(2);
    net.run(15.0);
    assert!(net.all_say(2, MemberState::Dead));
    net.start(2, 3);
    let end = net.now + 15.0;
    assert!(net.until(end, Net::all_alive));
    assert!(net.members[2].as_ref().unwrap().incarnation() > 1000);
}

#[test]
fn all_restarted_at_once_meet_again() {
    let mut net = Net::new(25, 12);
    net.run(5.0);
    (0..25).for_each(|who| net.start(who, 2000));
    let end = net.now + 15.0;
    assert!(net.until(end, Net::all_alive));
}

#[test]
fn a_lie_that_somebody_died_is_refuted() {
    let mut net = Net::new(4, 13);
    net.run(3.0);
    let lie = Update {
        member: 1003,
        incarnation: 1000,
        state: MemberState::Dead,
        reporter: 1000,
    };
    let mut post = Vec::new();
    for to in 1..3 {
        net.members[to].as_mut().unwrap().receive(
            net.now,
            0,
            Message::Ping {
                sequence: 1,
                updates: vec![lie],
            },
            &mut post,
        );
        assert_eq!(
            net.life(3, to),
            MemberState::Suspect,
            "hearsay makes nobody dead"
        );
    }
    net.run(10.0);
    assert!(net.all_alive());
}

#[test]
fn what_cannot_be_is_passed_over() {
    let mut member = Membership::new(SwimConfig::default(), roster(3), 0, 1000, 1, 0.0);
    let mut post = Vec::new();
    let strangers: Vec<Update> = (0..100_000)
        .map(|n| Update {
            member: 50_000 + n,
            incarnation: 1,
            state: MemberState::Alive,
            reporter: 1001,
        })
        .collect();
    assert!(!member.receive(
        1.0,
        1,
        Message::Ping {
            sequence: 1,
            updates: strangers
        },
        &mut post
    ));
    let late = Update {
        member: 1002,
        incarnation: u64::MAX,
        state: MemberState::Alive,
        reporter: 1001,
    };
    assert!(!member.receive(
        1.0,
        1,
        Message::Ack {
            sequence: 9,
            updates: vec![late]
        },
        &mut post
    ));
    assert!(!member.receive(
        1.0,
        1,
        Message::PingReq {
            sequence: 9,
            target: 77,
            updates: vec![]
        },
        &mut post
    ));
    assert_eq!(member.live_count(), 1);
    assert_eq!(member.view(2).state, MemberState::Unknown);
}

#[test]
fn frames_that_are_not_ours_are_told_apart() {
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
    let resealed = |change: &dyn Fn(&mut Vec<u8>)| {
        let mut said = frame[..frame.len() - 4].to_vec();
        change(&mut said);
        said.extend(crc32fast::hash(&said).to_le_bytes());
        read(&said)
    };
    assert_eq!(
        resealed(&|said| said[0] = 9),
        Err(FrameError::UnsupportedVersion)
    );
    assert_eq!(resealed(&|said| said.push(0)), Err(FrameError::Malformed));
    assert_eq!(
        resealed(&|said| said.truncate(8)),
        Err(FrameError::Malformed)
    );
}

#[test]
fn random_bytes_never_do_anything() {
    let mut net = Net::new(2, 14);
    let codec = Codec::new("test");
    for _ in 0..20_000 {
        let length = net.chance.random_range(0..200);
        let bytes: Vec<u8> = (0..length).map(|_| net.chance.random()).collect();
        assert!(codec.decode::<Message>(&bytes, MAX_DATAGRAM_BYTES).is_err());
    }
}
