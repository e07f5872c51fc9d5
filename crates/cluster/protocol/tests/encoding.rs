//! The bytes on the wire. `fixtures/wire.txt` has one example or more of each type, with its name and its bytes as
//! hex; the names are the fixture's own. Processes of different releases speak to each other: a difference from the
//! fixture is a new protocol version, never a new fixture alone.

mod examples;

use deku::DekuContainerRead;

use sagetrail_fixture::Fixture;
use sagetrail_protocol::agent::RunEnd;
use sagetrail_protocol::client::ClientMethod;
use sagetrail_protocol::control::{ChangeKind, ControlMessage, RecordChange};
use sagetrail_protocol::frame::{
    self, FrameError, LENGTH_BYTES, MAGIC, MAX_FRAME_BYTES, PREAMBLE_BYTES, PROTOCOL_VERSION,
};
use sagetrail_protocol::{Message, NodeKind};

const FIXTURE: &str = include_str!("fixtures/wire.txt");

/// The fixture's bytes of an example.
fn fixture_bytes(name: &str) -> Vec<u8> {
    Fixture::read(FIXTURE).bytes(name)
}

#[test]
fn all_types_are_written_as_the_fixture_says() {
    let mut written = Fixture::default();
    for example in examples::all() {
        written.add_bytes(&example.name, &example.bytes);
    }
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn all_types_are_read_from_the_bytes_of_the_fixture() {
    for example in examples::all() {
        (example.reads_back)(&fixture_bytes(&example.name));
    }
}

#[test]
fn names_of_examples_are_unique() {
    let mut names: Vec<String> = examples::all().into_iter().map(|e| e.name).collect();
    names.sort_unstable();
    let count = names.len();
    names.dedup();
    assert_eq!(names.len(), count);
}

/// `encode` and `decode` put nothing around the bytes of a message.
#[test]
fn frames_carry_a_message_as_it_is() {
    let messages = examples::all()
        .into_iter()
        .filter(|example| example.name.starts_with("message/"));
    for example in messages {
        let payload = fixture_bytes(&example.name);
        let message = frame::decode(&payload).unwrap();
        assert_eq!(
            frame::encode(&message).unwrap(),
            payload,
            "{}",
            example.name
        );
        // What follows a message is passed over.
        let longer = [payload, vec![0xee]].concat();
        assert_eq!(frame::decode(&longer).unwrap(), message, "{}", example.name);
    }
}

#[test]
fn truncated_messages_are_malformed() {
    for example in examples::all() {
        if example.name.starts_with("message/") {
            let payload = fixture_bytes(&example.name);
            for length in 0..payload.len() {
                let read = frame::decode(&payload[..length]);
                assert!(
                    matches!(read, Err(FrameError::Malformed(_))),
                    "{} cut to {length}",
                    example.name
                );
            }
        }
    }
}

/// Which first bytes name a variant, where zeros follow.
fn known_ids<T: for<'a> DekuContainerRead<'a>>() -> Vec<u8> {
    (0..=u8::MAX)
        .filter(|id| {
            let mut bytes = vec![0; 512];
            bytes[0] = *id;
            T::from_bytes((&bytes, 0)).is_ok()
        })
        .collect()
}

#[test]
fn no_other_ids_are_taken() {
    assert_eq!(known_ids::<Message>(), (1..=12).collect::<Vec<u8>>());
    assert_eq!(known_ids::<NodeKind>(), [0, 1, 2]);
    assert_eq!(known_ids::<ClientMethod>(), [0, 1, 2]);
    assert_eq!(known_ids::<RunEnd>(), (0..=6).collect::<Vec<u8>>());
    assert_eq!(known_ids::<ChangeKind>(), [1, 2]);
    assert_eq!(known_ids::<RecordChange>(), [0, 1]);
}

/// One of them has a kind of change within that is never zero.
#[test]
fn no_other_ids_of_control_messages_are_taken() {
    let all: Vec<u8> = (0..=27).filter(|id| *id != 26).collect();
    assert_eq!(known_ids::<ControlMessage>(), all);
}

#[test]
fn preamble_and_frame_limits_are_pinned() {
    assert_eq!(MAGIC, 0x7361_6765);
    assert_eq!(PROTOCOL_VERSION, 1);
    assert_eq!(PREAMBLE_BYTES, fixture_bytes("preamble").len());
    assert_eq!(LENGTH_BYTES, 4);
    assert_eq!(MAX_FRAME_BYTES, 32 << 20);
}
