//! The bytes of the register's value: it travels in messages among core processes and lies on their disks, and its
//! SHA-256 is compared. All fields differ.

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
    let change = |mark: u8| AcceptedChange {
        base: 0x1000 + u64::from(mark),
        version: 0x2000 + u64::from(mark),
        digest: std::array::from_fn(|at| mark + at as u8),
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
fn the_value_is_written_as_the_fixture_says() {
    let mut written = Fixture::default();
    written.add_bytes("founded", &value().encode());
    written.add_bytes("empty", &RegisterValue::default().encode());
    Fixture::assert_keeps(FIXTURE, &written);
}

#[test]
fn the_value_is_read_from_the_bytes_of_the_fixture() {
    let fixture = Fixture::read(FIXTURE);
    let read = |name| RegisterValue::decode(&fixture.bytes(name));
    assert_eq!(read("founded"), Ok(value()));
    assert_eq!(read("empty"), Ok(RegisterValue::default()));
}
