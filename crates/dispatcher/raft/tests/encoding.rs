//! Guards against unintended changes of the encoding of messages between members and of records on disk. Both are read
//! by other releases, so a difference from `fixtures/log.txt` needs a migration from the old form to the new one, never
//! only a new fixture. All fields of an example have different values, so that swapped fields are detected.

use sagetrail_fixture::Fixture;
use sagetrail_raft::{
    AppendEntries, AppendReply, DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition,
    Message, MessageBody, Snapshot, SnapshotChunk, VoteReply, VoteRequest, Voter,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/log.txt");

/// The match has no wildcard, so that a new variant without a name here does not compile.
fn body_name(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::DiskQuery { .. } => "message/disk-query",
        MessageBody::DiskReport { .. } => "message/disk-report",
        MessageBody::VoteRequest(_) => "message/vote-request",
        MessageBody::VoteReply(_) => "message/vote-reply",
        MessageBody::AppendEntries(_) => "message/append-entries",
        MessageBody::AppendReply(_) => "message/append-reply",
        MessageBody::InstallSnapshot(_) => "message/install-snapshot",
        MessageBody::InstallSnapshotReply { .. } => "message/install-snapshot-reply",
        MessageBody::ReadIndex { .. } => "message/read-index",
        MessageBody::ReadIndexReply { .. } => "message/read-index-reply",
    }
}

const BODIES: [&str; 10] = [
    "message/disk-query",
    "message/disk-report",
    "message/vote-request",
    "message/vote-reply",
    "message/append-entries",
    "message/append-reply",
    "message/install-snapshot",
    "message/install-snapshot-reply",
    "message/read-index",
    "message/read-index-reply",
];

fn payload_name(payload: &EntryPayload) -> &'static str {
    match payload {
        EntryPayload::Noop => "noop",
        EntryPayload::Voters(_) => "voters",
        EntryPayload::Command(_) => "command",
    }
}

const PAYLOADS: [&str; 3] = ["noop", "voters", "command"];

fn record_name(record: &DiskRecord) -> &'static str {
    match record {
        DiskRecord::Term { vote: None, .. } => "record/term",
        DiskRecord::Term { vote: Some(_), .. } => "record/term-with-vote",
        DiskRecord::Entry(_) => "record/entry",
        DiskRecord::Truncate { .. } => "record/truncate",
        DiskRecord::Snapshot(_) => "record/snapshot",
        DiskRecord::Watermarks(_) => "record/disks",
    }
}

const RECORDS: [&str; 6] = [
    "record/term",
    "record/term-with-vote",
    "record/entry",
    "record/truncate",
    "record/snapshot",
    "record/disks",
];

fn position(at: u64) -> LogPosition {
    LogPosition {
        index: 0x1000 + at,
        term: 0x2000 + at,
        chain: 0x3132_3334_3536_3700 + at,
    }
}

fn voters() -> Vec<Voter> {
    vec![
        Voter {
            member: 0x4001,
            disk: 0x5001,
        },
        Voter {
            member: 0x4002,
            disk: 0x5002,
        },
    ]
}

fn watermarks() -> Vec<DiskWatermark> {
    vec![
        DiskWatermark {
            disk: 0x6001,
            records_written: 0x7001,
        },
        DiskWatermark {
            disk: 0x6002,
            records_written: 0x7002,
        },
    ]
}

/// Entries that follow one another, with their chained checksums.
fn entries() -> Vec<Entry> {
    let payloads = [
        EntryPayload::Noop,
        EntryPayload::Voters(voters()),
        EntryPayload::Command(b"command".to_vec()),
    ];
    let (mut previous, mut entries) = (position(1), Vec::new());
    for (term, payload) in (0x2001..).zip(payloads) {
        let entry = Entry::after(&previous, term, payload);
        previous = entry.position;
        entries.push(entry);
    }
    entries
}

fn bodies() -> Vec<MessageBody> {
    vec![
        MessageBody::DiskQuery {
            nonce: 0x0102_0304_0506_0708,
            blank: true,
        },
        MessageBody::DiskReport {
            nonce: 0x1101,
            records_written: 0x1102,
        },
        MessageBody::VoteRequest(VoteRequest {
            pre_vote: true,
            election_term: 0x1201,
            last: position(2),
        }),
        MessageBody::VoteReply(VoteReply {
            pre_vote: false,
            election_term: 0x1301,
            granted: true,
        }),
        MessageBody::AppendEntries(AppendEntries {
            previous: position(1),
            entries: entries(),
            leader_commit: 0x1401,
            round: 0x1402,
            watermarks: watermarks(),
        }),
        MessageBody::AppendReply(AppendReply {
            success: true,
            index: 0x1501,
            round: 0x1502,
        }),
        MessageBody::InstallSnapshot(SnapshotChunk {
            position: position(3),
            total_bytes: 0x1601,
            checksum: 0x1602,
            offset: 0x1603,
            data: b"part".to_vec(),
        }),
        MessageBody::InstallSnapshotReply {
            position: position(4),
            offset: 0x1701,
        },
        MessageBody::ReadIndex { number: 0x1801 },
        MessageBody::ReadIndexReply {
            number: 0x1901,
            index: 0x1902,
        },
    ]
}

fn message(body: MessageBody) -> Message {
    Message {
        disk: 0x2122_2324_2526_2728,
        records_written: 0x2201,
        term: 0x2202,
        body,
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        position: position(5),
        voters: voters(),
        state: b"state".to_vec(),
    }
}

fn records() -> Vec<DiskRecord> {
    vec![
        DiskRecord::Term {
            term: 0x2301,
            vote: None,
        },
        DiskRecord::Term {
            term: 0x2302,
            vote: Some(0x2303),
        },
        DiskRecord::Entry(entries().remove(2)),
        DiskRecord::Truncate { from: 0x2401 },
        DiskRecord::Snapshot(snapshot()),
        DiskRecord::Watermarks(watermarks()),
    ]
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap()
}

fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let bytes = Fixture::read(FIXTURE).bytes(name);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!((&decoded, rest), (value, &[][..]), "{name}");
}

#[test]
fn every_variant_has_an_example() {
    let named: BTreeSet<&str> = bodies().iter().map(body_name).collect();
    assert_eq!(named, BTreeSet::from(BODIES));
    let named: BTreeSet<&str> = entries()
        .iter()
        .map(|entry| payload_name(&entry.payload))
        .collect();
    assert_eq!(named, BTreeSet::from(PAYLOADS));
    let named: BTreeSet<&str> = records().iter().map(record_name).collect();
    assert_eq!(named, BTreeSet::from(RECORDS));
}

#[test]
fn messages_and_records_encode_to_the_fixture() {
    let mut fixture = Fixture::default();
    for body in bodies() {
        let name = body_name(&body);
        fixture.add_bytes(name, &encoded(&message(body)));
    }
    for record in records() {
        fixture.add_bytes(record_name(&record), &encoded(&record));
    }
    for entry in entries() {
        let name = format!("entry/{}", payload_name(&entry.payload));
        fixture.add_bytes(&name, &encoded(&entry));
    }
    fixture.add_bytes("snapshot", &encoded(&snapshot()));
    // Members compare this checksum with the one in a chunk, and never send it by itself.
    let checksum = Snapshot::checksum(&encoded(&snapshot()));
    fixture.add_bytes("snapshot-sum", &checksum.to_be_bytes());
    Fixture::assert_keeps(FIXTURE, &fixture);
}

#[test]
fn messages_and_records_decode_from_the_fixture() {
    for body in bodies() {
        assert_decodes(body_name(&body), &message(body.clone()));
    }
    for record in records() {
        assert_decodes(record_name(&record), &record);
    }
    for entry in entries() {
        assert_decodes(&format!("entry/{}", payload_name(&entry.payload)), &entry);
    }
    assert_decodes("snapshot", &snapshot());
}

#[test]
fn stored_entries_keep_their_chained_checksums() {
    let fixture = Fixture::read(FIXTURE);
    let mut previous = position(1);
    for payload in PAYLOADS {
        let bytes = fixture.bytes(&format!("entry/{payload}"));
        let entry: Entry = postcard::from_bytes(&bytes).unwrap();
        assert!(entry.follows(&previous), "{payload}");
        previous = entry.position;
    }
}
