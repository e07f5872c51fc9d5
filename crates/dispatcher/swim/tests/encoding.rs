//! The bytes of frames between members. Members of different releases speak to each other: a difference from
//! `fixtures/frames.txt` is a new version, never a new fixture alone. All fields of an example differ.

use sagetrail_fixture::Fixture;
use sagetrail_swim::{Codec, Envelope, Life, Message, Update, DATAGRAM_MOST, VERSION, WHOLE_MOST};
use std::collections::BTreeSet;

const FIXTURE: &str = include_str!("fixtures/frames.txt");
/// Another version's frames go over the same links.
const OTHER_VERSION: u8 = 0x51;

/// No wildcard: a variant that is not named here does not compile.
fn message_name(message: &Message) -> &'static str {
    match message {
        Message::Probe { .. } => "probe",
        Message::Ack { .. } => "ack",
        Message::Help { .. } => "help",
        Message::Neither { .. } => "neither",
    }
}

const MESSAGES: [&str; 4] = ["probe", "ack", "help", "neither"];

fn life_name(life: Life) -> &'static str {
    match life {
        Life::Unknown => "unknown",
        Life::Alive => "alive",
        Life::Suspect => "suspect",
        Life::Dead => "dead",
    }
}

const LIVES: [&str; 4] = ["unknown", "alive", "suspect", "dead"];

fn envelope() -> Envelope {
    Envelope {
        from: 0x0102_0304_0506_0708,
        birth: 0x1112_1314_1516_1718,
        incarnation: 1_700_000_000_000,
        no: 300,
    }
}

fn updates() -> Vec<Update> {
    let update = |mark: u64, life| Update {
        who: 0x1000 + mark,
        incarnation: 0x2000 + mark,
        life,
        by: 0x3000 + mark,
    };
    vec![
        update(1, Life::Unknown),
        update(2, Life::Alive),
        update(3, Life::Suspect),
        update(4, Life::Dead),
    ]
}

fn messages() -> Vec<Message> {
    vec![
        Message::Probe {
            no: 0x4001,
            updates: updates(),
        },
        Message::Ack {
            no: 0x4002,
            updates: updates()[1..2].to_vec(),
        },
        Message::Help {
            no: 0x4003,
            who: 0x5003,
            updates: updates()[2..].to_vec(),
        },
        Message::Neither { no: 0x4004 },
    ]
}

#[test]
fn every_variant_has_an_example() {
    let named: BTreeSet<&str> = messages().iter().map(message_name).collect();
    assert_eq!(named, BTreeSet::from(MESSAGES));
    let named: BTreeSet<&str> = updates().iter().map(|u| life_name(u.life)).collect();
    assert_eq!(named, BTreeSet::from(LIVES));
}

#[test]
fn frames_are_written_as_the_fixture_says() {
    let mut written = Fixture::default();
    let codec = Codec::new("fleet");
    for message in messages() {
        let frame = codec.write(&envelope(), &message);
        written.add_bytes(message_name(&message), &frame);
    }
    let other = Codec::of("another fleet", OTHER_VERSION);
    let frame = other.write(&envelope(), &messages()[3]);
    written.add_bytes("neither-of-other-version", &frame);
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn frames_are_read_from_the_bytes_of_the_fixture() {
    let (fixture, codec) = (Fixture::read(FIXTURE), Codec::new("fleet"));
    for message in messages() {
        let frame = fixture.bytes(message_name(&message));
        let read = codec.read::<Message>(&frame, DATAGRAM_MOST);
        assert_eq!(read, Ok((envelope(), message)));
    }
    let other = Codec::of("another fleet", OTHER_VERSION);
    let frame = fixture.bytes("neither-of-other-version");
    let read = other.read::<Message>(&frame, DATAGRAM_MOST);
    assert_eq!(read, Ok((envelope(), messages()[3].clone())));
}

#[test]
fn the_limits_of_frames_are_the_same() {
    assert_eq!((VERSION, DATAGRAM_MOST, WHOLE_MOST), (1, 1400, 4 << 20));
}
