//! Encoding of the frames between members. Guards against an accidental change of the wire format, which would break a
//! fleet that runs different releases: a difference from `fixtures/frames.txt` requires a new version of the format,
//! never only a new fixture. All fields of an example differ, so that swapped fields are noticed.

use sagetrail_fixture::Fixture;
use sagetrail_swim::{
    Codec, Envelope, MemberState, Message, Update, MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES, VERSION,
};
use std::collections::BTreeSet;

const FIXTURE: &str = include_str!("fixtures/frames.txt");
/// Version of another protocol whose frames use the same links.
const OTHER_VERSION: u8 = 0x51;

/// Name of a message in the fixture. The match has no wildcard, so that a new variant does not compile without a name.
fn message_name(message: &Message) -> &'static str {
    match message {
        Message::Ping { .. } => "probe",
        Message::Ack { .. } => "ack",
        Message::PingReq { .. } => "help",
        Message::Nack { .. } => "neither",
    }
}

const MESSAGES: [&str; 4] = ["probe", "ack", "help", "neither"];

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Unknown => "unknown",
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}

const STATES: [&str; 4] = ["unknown", "alive", "suspect", "dead"];

fn envelope() -> Envelope {
    Envelope {
        sender: 0x0102_0304_0506_0708,
        process: 0x1112_1314_1516_1718,
        incarnation: 1_700_000_000_000,
        sequence: 300,
    }
}

fn updates() -> Vec<Update> {
    let update = |mark: u64, state| Update {
        member: 0x1000 + mark,
        incarnation: 0x2000 + mark,
        state,
        reporter: 0x3000 + mark,
    };
    vec![
        update(1, MemberState::Unknown),
        update(2, MemberState::Alive),
        update(3, MemberState::Suspect),
        update(4, MemberState::Dead),
    ]
}

fn messages() -> Vec<Message> {
    vec![
        Message::Ping {
            sequence: 0x4001,
            updates: updates(),
        },
        Message::Ack {
            sequence: 0x4002,
            updates: updates()[1..2].to_vec(),
        },
        Message::PingReq {
            sequence: 0x4003,
            target: 0x5003,
            updates: updates()[2..].to_vec(),
        },
        Message::Nack { sequence: 0x4004 },
    ]
}

#[test]
fn every_variant_has_an_example() {
    let named: BTreeSet<&str> = messages().iter().map(message_name).collect();
    assert_eq!(named, BTreeSet::from(MESSAGES));
    let named: BTreeSet<&str> = updates()
        .iter()
        .map(|update| state_name(update.state))
        .collect();
    assert_eq!(named, BTreeSet::from(STATES));
}

#[test]
fn frames_are_encoded_as_in_the_fixture() {
    let mut written = Fixture::default();
    let codec = Codec::new("fleet");
    for message in messages() {
        let frame = codec.encode(&envelope(), &message);
        written.add_bytes(message_name(&message), &frame);
    }
    let other = Codec::with_version("another fleet", OTHER_VERSION);
    let frame = other.encode(&envelope(), &messages()[3]);
    written.add_bytes("neither-of-other-version", &frame);
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn frames_of_the_fixture_are_decoded() {
    let (fixture, codec) = (Fixture::read(FIXTURE), Codec::new("fleet"));
    for message in messages() {
        let frame = fixture.bytes(message_name(&message));
        let read = codec.decode::<Message>(&frame, MAX_DATAGRAM_BYTES);
        assert_eq!(read, Ok((envelope(), message)));
    }
    let other = Codec::with_version("another fleet", OTHER_VERSION);
    let frame = fixture.bytes("neither-of-other-version");
    let read = other.decode::<Message>(&frame, MAX_DATAGRAM_BYTES);
    assert_eq!(read, Ok((envelope(), messages()[3].clone())));
}

#[test]
fn version_and_size_limits_of_frames_are_unchanged() {
    assert_eq!(
        (VERSION, MAX_DATAGRAM_BYTES, MAX_SYNC_BYTES),
        (1, 1400, 4 << 20)
    );
}
