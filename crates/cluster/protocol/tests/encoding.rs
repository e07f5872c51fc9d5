//! Guards against unintended changes of the wire format. `fixtures/wire.txt` contains at least one example of each
//! type, with a name, which exists only in the fixture, and the bytes in hexadecimal. Processes of different releases
//! communicate with each other, so a difference from the fixture requires a new protocol version and not only a new
//! fixture.

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

/// Returns the bytes that the fixture contains for an example.
fn fixture_bytes(name: &str) -> Vec<u8> {
    Fixture::read(FIXTURE).bytes(name)
}

#[test]
fn all_types_are_encoded_as_in_the_fixture() {
    let mut encoded = Fixture::default();
    for example in examples::all() {
        encoded.add_bytes(&example.name, &example.bytes);
    }
    Fixture::assert_keeps(FIXTURE, &encoded);
}

#[test]
fn all_types_are_decoded_from_the_bytes_of_the_fixture() {
    for example in examples::all() {
        (example.assert_decodes)(&fixture_bytes(&example.name));
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

/// `encode` and `decode` must not add bytes around those of a message.
#[test]
fn a_frame_payload_is_exactly_the_encoded_message() {
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
        // Bytes after the message are ignored.
        let payload_with_trailing_byte = [payload, vec![0xee]].concat();
        assert_eq!(
            frame::decode(&payload_with_trailing_byte).unwrap(),
            message,
            "{}",
            example.name
        );
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

/// Returns the first bytes that are decoded as the id of a variant if all following bytes are zero.
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
fn no_other_ids_are_decoded() {
    assert_eq!(known_ids::<Message>(), (1..=12).collect::<Vec<u8>>());
    assert_eq!(known_ids::<NodeKind>(), [0, 1, 2]);
    assert_eq!(known_ids::<ClientMethod>(), [0, 1, 2]);
    assert_eq!(known_ids::<RunEnd>(), (0..=6).collect::<Vec<u8>>());
    assert_eq!(known_ids::<ChangeKind>(), [1, 2]);
    assert_eq!(known_ids::<RecordChange>(), [0, 1]);
}

/// Id 26 (`AcceptChange`) is missing in the list because it contains a `ChangeKind`, which has no variant with id 0.
#[test]
fn no_other_ids_of_control_messages_are_decoded() {
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
