//! The encoding of the register's value, which is sent in messages among core processes, stored on their disks and
//! compared by its SHA-256. All fields of the test value are different, so that a swap of fields is found.

use sagetrail_control_plane::{RegisterValue, StoredConfig};
use sagetrail_fixture::Fixture;
use sagetrail_protocol::control::AcceptedChange;
use sagetrail_protocol::{Blob, List, NodeId};

const FIXTURE: &str = include_str!("fixtures/register_value.txt");

fn process(last: u8) -> NodeId {
    NodeId {
        ip: 0x0a12_4a00 + u32::from(last),
        port: 0x1f00 + u16::from(last),
    }
}

fn value() -> RegisterValue {
    let change = |offset: u8| AcceptedChange {
        base: 0x1000 + u64::from(offset),
        version: 0x2000 + u64::from(offset),
        digest: std::array::from_fn(|index| offset + index as u8),
    };
    RegisterValue {
        members_version: 0x0102_0304_0506_0708,
        members: List(vec![process(1), process(2)]),
        next_members: List(vec![process(3)]),
        bootstrap_size: 0x1112_1314,
        config: StoredConfig {
            version: 0x2122_2324_2526_2728,
            document: Blob(b"{\"a\":1}".to_vec()),
        },
        recent: List(vec![change(0x40), change(0x80)]),
    }
}

#[test]
fn encoded_value_equals_the_fixture() {
    let mut written = Fixture::default();
    written.add_bytes("founded", &value().encode());
    written.add_bytes("empty", &RegisterValue::default().encode());
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn value_is_decoded_from_the_fixture() {
    let fixture = Fixture::read(FIXTURE);
    let read = |name| RegisterValue::decode(&fixture.bytes(name));
    assert_eq!(read("founded"), Ok(value()));
    assert_eq!(read("empty"), Ok(RegisterValue::default()));
}
