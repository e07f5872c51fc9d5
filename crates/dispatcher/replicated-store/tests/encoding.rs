//! Guards against unintended changes of the encoding of frames between members and of data on disk. The frames are
//! those that two members send in a fixed scenario; most of them are also delivered to the other member, so that
//! decoding is tested too. The values in frames, the log, the journal and saved copies have their own examples, in
//! which all fields differ. Other releases read both, so a difference from a fixture needs a migration from the old
//! form to the new one, never only a new fixture.

mod recorded_pair;

use recorded_pair::{body, disk_query_frame, FrameBody, Pair, FRAME_BODIES, NAME};
use sagetrail_fixture::Fixture;
use sagetrail_raft::{
    DiskRecord, DiskWatermark, Entry, EntryPayload, LogPosition, MessageBody, Snapshot, Voter,
};
use sagetrail_replicated_store::{
    decode_journal, encode_header, encode_record, replicas, ClaimId, ClaimOutcome, ClaimReply,
    Command, CommittedState, Completion, Digest, Item, ItemCounts, Journal, Key, MergedState,
    OverrideTarget, Owner, Proposal, RecordCopy, RecordPage, Refusal, Stamp, WorkItemName,
    MAX_FRAME_BYTES, STORE_VERSION,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt::Debug;

const FRAMES: &str = include_str!("fixtures/frames.txt");
const VALUES: &str = include_str!("fixtures/values.txt");

// ---- frames ----

fn merged_state(pair: &mut Pair) {
    pair.a.merged.put(0.0, "key", Some(b"a's value".to_vec()));
    pair.a.merged.put(0.0, "dropped", Some(b"x".to_vec()));
    pair.a.merged.put(0.0, "dropped", None);
    pair.b.merged.put(0.0, "key", Some(b"b's value".to_vec()));
    pair.a.tick(0.0);
    let digest = pair.sent_by_a("merged-digest", |body| {
        matches!(body, FrameBody::MergedDigest(_))
    });
    pair.b.receive(0.1, &digest);
    let is_items = |body: &FrameBody| matches!(body, FrameBody::MergedItems { .. });
    let items = pair.sent_by_b("merged-items", is_items);
    pair.a.receive(0.2, &items);
    let answer = pair.sent_by_a("merged-items-answer", is_items);
    pair.b.receive(0.3, &answer);
    assert_eq!(pair.a.merged.get(2, "key"), Some(&b"b's value"[..]));
    assert_eq!(pair.b.merged.get(1, "key"), Some(&b"a's value"[..]));
    assert_eq!(pair.b.merged.get(1, "dropped"), None);
}

/// Records a disk query, its report, and a proposal of a member that is not the leader. The messages of the log have
/// their own fixture.
fn log(pair: &mut Pair) {
    let query = disk_query_frame();
    pair.recorded.add_bytes("log-disk-query", &query);
    pair.a.receive(0.5, &query);
    let is_report = |body: &FrameBody| match body {
        FrameBody::Log(message) => matches!(message.body, MessageBody::DiskReport { .. }),
        _ => false,
    };
    pair.sent_by_a("log-disk-report", is_report);
    pair.a.tick(0.7);
    pair.deliver_frames_to_b(0.8);
    let command = Command::Settings {
        text: "settings".to_string(),
        base_version: 0,
    };
    let number = pair.b.propose(0.9, command).unwrap();
    let propose = pair.sent_by_b("propose", |body| matches!(body, FrameBody::Propose(_)));
    pair.a.receive(1.0, &propose);
    pair.sync();
    assert_eq!(pair.a.committed.settings(), "settings");
    assert_eq!(
        pair.a.committed.outcome(2, pair.process_of_b(), number),
        Some(true)
    );
}

/// Records a claim that arrives before the replica is ready, a claim that is granted, its completion, and a later claim
/// of the same name.
fn claims(pair: &mut Pair) {
    let is_claim = |body: &FrameBody| matches!(body, FrameBody::Claim { .. });
    let is_reply = |body: &FrameBody| matches!(body, FrameBody::ClaimReply { .. });
    pair.b.claim_name(2.0, WorkItemName(0x99), 1);
    let claim = pair.sent_by_b("claim", is_claim);
    pair.a.receive(2.1, &claim);
    pair.sent_by_a("claim-reply-unavailable", is_reply);

    let number = pair.b.claim_name(20.0, NAME, 1);
    let claim = pair.sent_by_b(
        "claim-2",
        |body| matches!(body, FrameBody::Claim { name, .. } if *name == NAME),
    );
    pair.a.receive(20.1, &claim);
    let granted = pair.sent_by_a("claim-reply-granted", is_reply);
    pair.b.receive(20.2, &granted);
    assert_eq!(
        pair.b.claim_outcome(20.2, number),
        Some(ClaimOutcome::Owned { epoch: 1 })
    );

    pair.b.complete_claim(20.3, number, completion());
    let end = pair.sent_by_b(
        "end",
        |body| matches!(body, FrameBody::End { name, .. } if *name == NAME),
    );
    pair.a.receive(20.4, &end);
    let confirmed = pair.sent_by_a("end-confirmed", |body| {
        matches!(body, FrameBody::EndConfirmed { .. })
    });
    pair.b.receive(20.5, &confirmed);

    let number = pair.a.claim_name(21.0, NAME, 1);
    let claim = pair.sent_by_a("claim-3", is_claim);
    pair.b.receive(21.1, &claim);
    let rejected = pair.sent_by_b("claim-reply-refused", is_reply);
    pair.a.receive(21.2, &rejected);
    let outcome = pair.a.claim_outcome(21.2, number);
    assert!(
        matches!(&outcome, Some(ClaimOutcome::Completed { completion: known, .. }) if *known == completion()),
        "{outcome:?}"
    );
}

fn records(pair: &mut Pair) {
    pair.restart_b(22.0);
    pair.b.tick(23.0);
    let request = pair.sent_by_b("records-request", |body| {
        matches!(body, FrameBody::RecordsRequest { .. })
    });
    pair.a.receive(23.1, &request);
    let page = pair.sent_by_a("records", |body| matches!(body, FrameBody::Records(_)));
    pair.b.receive(23.2, &page);
    assert!(pair.b.record_replica.is_ready(23.2));
    assert_eq!(pair.b.record_replica.count(), 1);
}

#[test]
fn frames_encode_to_and_decode_from_the_fixture() {
    let mut pair = Pair::new();
    merged_state(&mut pair);
    log(&mut pair);
    claims(&mut pair);
    records(&mut pair);
    pair.assert_nothing_rejected();
    Fixture::assert_keeps(FRAMES, &pair.recorded);
}

#[test]
fn every_frame_body_is_in_the_fixture() {
    let fixture = Fixture::read(FRAMES);
    let found: BTreeSet<&str> = fixture
        .names()
        .map(|name| body(&fixture.bytes(name)).name())
        .collect();
    assert_eq!(found, BTreeSet::from(FRAME_BODIES));
}

#[test]
fn frame_version_and_size_limit_are_unchanged() {
    assert_eq!((STORE_VERSION, MAX_FRAME_BYTES), (0x51, 512 << 10));
}

// ---- values ----

fn completion() -> Completion {
    Completion {
        status: 0x0107,
        may_have_run: true,
        body: Some(b"body".to_vec()),
    }
}

fn proposals() -> Vec<Proposal> {
    let commands = vec![
        Command::Settings {
            text: "settings".to_string(),
            base_version: 0,
        },
        Command::Override {
            target: OverrideTarget::Runner("runner".to_string()),
            out_of_service: true,
            seen_index: 0x1002,
        },
        Command::Override {
            target: OverrideTarget::Dispatcher("dispatcher".to_string()),
            out_of_service: true,
            seen_index: 0x1003,
        },
        Command::Voters(vec![0x1101, 0x1102, 0x1103]),
        Command::Lending {
            member: 0x1104,
            enabled: false,
        },
    ];
    let proposal = |(sequence, command)| Proposal {
        member: 0x2001,
        process: 0x3001,
        sequence,
        command,
    };
    (0x4001..).zip(commands).map(proposal).collect()
}

/// The match has no wildcard, so that a new variant without a name here does not compile.
fn proposal_name(proposal: &Proposal) -> &'static str {
    match &proposal.command {
        Command::Settings { .. } => "proposal/settings",
        Command::Override { target, .. } => match target {
            OverrideTarget::Runner(_) => "proposal/word-runner",
            OverrideTarget::Dispatcher(_) => "proposal/word-dispatcher",
        },
        Command::Voters(_) => "proposal/voters",
        Command::Lending { .. } => "proposal/lends",
    }
}

fn claim(offset: u64) -> ClaimId {
    ClaimId {
        owner: Owner {
            member: 0x5000 + offset,
            process: 0x6000 + offset,
        },
        number: 0x7000 + offset,
    }
}

fn replies() -> Vec<ClaimReply> {
    vec![
        ClaimReply::Granted,
        ClaimReply::Refused(Refusal {
            epoch: 2,
            completion: Some(completion()),
            age_ms: 0x8001,
        }),
        ClaimReply::Unavailable,
    ]
}

fn reply_name(reply: &ClaimReply) -> &'static str {
    match reply {
        ClaimReply::Granted => "claim-reply/granted",
        ClaimReply::Refused(_) => "claim-reply/refused",
        ClaimReply::Unavailable => "claim-reply/unavailable",
    }
}

fn page() -> RecordPage {
    let open = RecordCopy {
        name: NAME,
        claim: claim(1),
        epoch: 3,
        age_ms: 0x8101,
        completion: None,
        other_claims: vec![claim(2), claim(3)],
    };
    let over = RecordCopy {
        name: WorkItemName(u128::MAX),
        claim: claim(4),
        epoch: 1,
        age_ms: 0x8102,
        completion: Some(Completion {
            status: 503,
            may_have_run: false,
            body: None,
        }),
        other_claims: Vec::new(),
    };
    RecordPage {
        after: Some(WorkItemName(0x0102)),
        records: vec![open, over],
        is_last: true,
    }
}

fn stamp(offset: u64) -> Stamp {
    Stamp {
        incarnation: 0x9000 + offset,
        version: 0xa000 + offset,
    }
}

fn items() -> Vec<(Key, Item)> {
    let key = |owner, name: &str| Key {
        owner,
        name: name.to_string(),
    };
    let item = |offset, value| Item {
        stamp: stamp(offset),
        value,
    };
    vec![
        (key(0xb001, "name"), item(1, Some(b"value".to_vec()))),
        (key(0xb002, "dropped"), item(2, None)),
    ]
}

fn digest() -> Digest {
    Digest {
        owner: 0xc001,
        latest: stamp(3),
        checksum: 0x0102_0304_0506_0708,
    }
}

/// The committed state after all proposals, whose entries start at index 11.
fn committed() -> CommittedState {
    let mut committed = CommittedState::default();
    for (index, proposal) in (11..).zip(proposals()) {
        assert!(committed.apply(index, proposal));
    }
    committed
}

fn merged() -> MergedState {
    let mut merged = MergedState::new(0xb003, 0x9003, 600.0, 0.0);
    for (key, item) in items() {
        assert!(merged.join(0.0, key, item));
    }
    assert!(merged.put(0.0, "own", Some(b"own value".to_vec())));
    merged
}

const FLEET: u32 = 0x0102_0304;
const ME: u64 = 0x1112_1314_1516_1718;
const DISK: u64 = 0x2122_2324_2526_2728;
const WRITTEN_BEFORE: u64 = 0x3132;

fn disk_records() -> Vec<DiskRecord> {
    let voter = Voter {
        member: 0xd001,
        disk: 0xd002,
    };
    let entry = Entry::after(
        &LogPosition::default(),
        7,
        EntryPayload::Command(postcard::to_allocvec(&proposals()[0]).unwrap()),
    );
    vec![
        DiskRecord::Term {
            term: 7,
            vote: Some(0xd001),
        },
        DiskRecord::Snapshot(Snapshot {
            position: entry.position,
            voters: vec![voter],
            state: committed().encode(),
        }),
        DiskRecord::Entry(entry),
        DiskRecord::Truncate { from: 9 },
        DiskRecord::Watermarks(vec![DiskWatermark {
            disk: 0xd003,
            records_written: 0xd004,
        }]),
    ]
}

fn journal() -> Vec<u8> {
    let mut file = encode_header(FLEET, ME, DISK, WRITTEN_BEFORE);
    for record in disk_records() {
        file.extend(encode_record(&record));
    }
    file
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap()
}

fn assert_decodes<T: DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let bytes = Fixture::read(VALUES).bytes(name);
    let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
    assert_eq!((&decoded, rest), (value, &[][..]), "{name}");
}

#[test]
fn every_variant_has_an_example() {
    let named: BTreeSet<&str> = proposals().iter().map(proposal_name).collect();
    let all = [
        "proposal/settings",
        "proposal/word-runner",
        "proposal/word-dispatcher",
        "proposal/voters",
        "proposal/lends",
    ];
    assert_eq!(named, BTreeSet::from(all));
    let named: BTreeSet<&str> = replies().iter().map(reply_name).collect();
    let all = [
        "claim-reply/granted",
        "claim-reply/refused",
        "claim-reply/unavailable",
    ];
    assert_eq!(named, BTreeSet::from(all));
}

#[test]
fn values_encode_to_the_fixture() {
    let mut fixture = Fixture::default();
    for proposal in proposals() {
        fixture.add_bytes(proposal_name(&proposal), &encoded(&proposal));
    }
    for reply in replies() {
        fixture.add_bytes(reply_name(&reply), &encoded(&reply));
    }
    fixture.add_bytes("record-page", &encoded(&page()));
    fixture.add_bytes("items", &encoded(&items()));
    fixture.add_bytes("digest", &encoded(&digest()));
    fixture.add_bytes("facts", &committed().encode());
    fixture.add_bytes("merged", &merged().encode());
    fixture.add_bytes("merged-digest", &encoded(&merged().digest()));
    fixture.add_bytes("journal", &journal());
    fixture.add_bytes(
        "name",
        &WorkItemName::new("category", "called").0.to_be_bytes(),
    );
    Fixture::assert_keeps(VALUES, &fixture);
}

#[test]
fn values_decode_from_the_fixture() {
    for proposal in proposals() {
        assert_decodes(proposal_name(&proposal), &proposal);
    }
    for reply in replies() {
        assert_decodes(reply_name(&reply), &reply);
    }
    assert_decodes("record-page", &page());
    assert_decodes("items", &items());
    assert_decodes("digest", &digest());
    assert_decodes("facts", &committed());
    let fixture = Fixture::read(VALUES);
    assert_eq!(
        CommittedState::decode(&fixture.bytes("facts")),
        Ok(committed())
    );
    assert_eq!(committed().outcome(0x2001, 0x3001, 0x4005), Some(true));
}

#[test]
fn saved_merged_state_is_restored() {
    let bytes = Fixture::read(VALUES).bytes("merged");
    let mut restored = MergedState::new(0xb003, 0x9004, 600.0, 0.0);
    restored.restore(0.0, &bytes, 1.0).unwrap();
    assert_eq!(restored.get(0xb001, "name"), Some(&b"value"[..]));
    assert_eq!(restored.get(0xb003, "own"), Some(&b"own value"[..]));
    assert_eq!(restored.get(0xb002, "dropped"), None);
    let counts = ItemCounts {
        items: 3,
        tombstones: 1,
    };
    assert_eq!(restored.count(), counts);
}

#[test]
fn a_stored_journal_is_decoded() {
    let bytes = Fixture::read(VALUES).bytes("journal");
    let records = disk_records();
    let journal = Journal {
        disk: DISK,
        records_written: WRITTEN_BEFORE + records.len() as u64,
        records,
        valid_bytes: bytes.len(),
    };
    assert_eq!(decode_journal(&bytes, FLEET, ME), Ok(Some(journal)));
}

/// All releases must choose the same replicas for a name, so that members find its record.
#[test]
fn names_have_the_same_replicas() {
    let members: Vec<u64> = (1..=9).map(|offset| 0xe000 + offset).collect();
    let name = WorkItemName::new("category", "called");
    assert_eq!(replicas(name, &members, 1), [0xe003, 0xe008, 0xe005]);
}

/// A pending override is an item of the merged state, whose name contains the kind and name of its target.
#[test]
fn pending_overrides_have_the_same_form_in_merged_state() {
    let mut pair = Pair::new();
    for target in [
        OverrideTarget::Runner("one".to_string()),
        OverrideTarget::Dispatcher("two".to_string()),
    ] {
        pair.b.set_out_of_service(0.0, target, true).unwrap();
    }
    let pending: Vec<(String, String)> = pair
        .b
        .merged
        .with_prefix("word/")
        .map(|(key, value)| (key.name.clone(), sagetrail_fixture::hex(value)))
        .collect();
    // The value is the index of the last seen override (0: none), the process, and the number of the proposal.
    let expected = [
        ("word/dispatcher/two", "00826002"),
        ("word/runner/one", "00826001"),
    ];
    let expected = expected.map(|(name, value)| (name.to_string(), value.to_string()));
    assert_eq!(pending, expected);
}
