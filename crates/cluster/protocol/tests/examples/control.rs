//! Examples of the messages among core processes.

use sagetrail_protocol::control::*;
use sagetrail_protocol::{Blob, List};

use super::members::process;
use super::{examples_of_all_variants, variants, Example};

variants!(CONTROL_MESSAGES, control_message, ControlMessage, {
    ControlMessage::Prepare(_) => "prepare",
    ControlMessage::Promise(_) => "promised",
    ControlMessage::Accept(_) => "accept",
    ControlMessage::Accepted(_) => "accepted",
    ControlMessage::Rejected(_) => "refused",
    ControlMessage::Read(_) => "read",
    ControlMessage::ReadReply(_) => "read-reply",
    ControlMessage::Learn(_) => "learn",
    ControlMessage::Learned(_) => "learned",
    ControlMessage::Bootstrap(_) => "found",
    ControlMessage::StateSynced(_) => "settled",
    ControlMessage::Recover(_) => "recover",
    ControlMessage::RecoverReply(_) => "recover-reply",
    ControlMessage::VoteRequest(_) => "vote-request",
    ControlMessage::VoteReply(_) => "vote-reply",
    ControlMessage::Renew(_) => "renew",
    ControlMessage::RenewAck(_) => "renew-ack",
    ControlMessage::Resign(_) => "resign",
    ControlMessage::RecordBatch(_) => "record-batch",
    ControlMessage::RecordsSynced(_) => "stored",
    ControlMessage::FetchSnapshot(_) => "fetch-snapshot",
    ControlMessage::SnapshotChunk(_) => "snapshot-chunk",
    ControlMessage::MemberLeases(_) => "member-leases",
    ControlMessage::ChangesRequest(_) => "changes-request",
    ControlMessage::ChangesReply(_) => "changes-reply",
    ControlMessage::DirectoryRequest => "directory-request",
    ControlMessage::AcceptChange(_) => "accept-change",
    ControlMessage::ValueNeeded(_) => "value-needed",
});

variants!(RECORD_CHANGES, record_change, RecordChange, {
    RecordChange::Put { .. } => "put",
    RecordChange::Delete { .. } => "delete",
});

/// Builds a proposal number that has the byte `mark` in each of its fields.
pub(crate) fn proposal(mark: u8) -> ProposalNumber {
    ProposalNumber {
        counter: 0x0100 + u64::from(mark),
        node: process(mark),
        incarnation: 0x0200 + u64::from(mark),
    }
}

fn position(mark: u8) -> RecordsPosition {
    RecordsPosition {
        term: 0x0300 + u64::from(mark),
        number: 0x0400 + u64::from(mark),
    }
}

fn blob(text: &str) -> Blob {
    Blob(text.as_bytes().to_vec())
}

fn put() -> RecordChange {
    RecordChange::Put {
        key: blob("key"),
        value: blob("value"),
    }
}

fn delete() -> RecordChange {
    RecordChange::Delete { key: blob("gone") }
}

/// Builds a digest whose bytes all differ, starting with `first`.
fn digest(first: u8) -> [u8; 32] {
    std::array::from_fn(|at| first + at as u8)
}

pub(crate) fn examples() -> Vec<Example> {
    let mut values = register();
    values.extend(recovery());
    values.extend(election());
    values.extend(records());
    values.extend(accepted_changes());
    let mut examples =
        examples_of_all_variants("control", CONTROL_MESSAGES, control_message, values);
    let changes = vec![put(), delete()];
    examples.extend(examples_of_all_variants(
        "record-change",
        RECORD_CHANGES,
        record_change,
        changes,
    ));
    examples
}

fn register() -> Vec<ControlMessage> {
    vec![
        ControlMessage::Prepare(Prepare {
            proposal: proposal(0x11),
            known: proposal(0x12),
        }),
        ControlMessage::Promise(Promise {
            proposal: proposal(0x13),
            accepted: proposal(0x14),
            value: blob("promised"),
        }),
        ControlMessage::Accept(Accept {
            proposal: proposal(0x15),
            value: blob("accept"),
        }),
        ControlMessage::Accepted(Accepted {
            proposal: proposal(0x16),
        }),
        ControlMessage::Rejected(Rejected {
            proposal: proposal(0x17),
            promised: proposal(0x18),
        }),
        ControlMessage::Read(Read {
            nonce: 0x1901,
            wanted: proposal(0x19),
        }),
        ControlMessage::ReadReply(ReadReply {
            nonce: 0x1a01,
            accepted: proposal(0x1a),
            value: blob("read"),
        }),
        ControlMessage::Learn(Learn {
            proposal: proposal(0x1b),
        }),
        ControlMessage::Learned(Learned {
            proposal: proposal(0x1c),
        }),
        ControlMessage::Bootstrap(Bootstrap {
            proposal: proposal(0x1d),
            value: blob("found"),
        }),
        ControlMessage::StateSynced(StateSynced {
            proposal: proposal(0x1e),
        }),
        ControlMessage::AcceptChange(AcceptChange {
            proposal: proposal(0x1f),
            base_proposal: proposal(0x20),
            kind: ChangeKind::Patch,
            base_version: 0x2001,
            body: blob("change"),
            result: digest(0x21),
        }),
        ControlMessage::AcceptChange(AcceptChange {
            proposal: proposal(0x22),
            base_proposal: proposal(0x23),
            kind: ChangeKind::Replace,
            base_version: 0x2301,
            body: blob("whole"),
            result: digest(0x24),
        }),
        ControlMessage::ValueNeeded(ValueNeeded {
            proposal: proposal(0x25),
        }),
        ControlMessage::DirectoryRequest,
    ]
}

fn recovery() -> Vec<ControlMessage> {
    vec![
        ControlMessage::Recover(Recover { nonce: 0x3001 }),
        ControlMessage::RecoverReply(RecoverReply {
            nonce: 0x3101,
            promised: proposal(0x31),
            term: 0x3102,
        }),
    ]
}

fn election() -> Vec<ControlMessage> {
    vec![
        ControlMessage::VoteRequest(VoteRequest {
            term: 0x4001,
            incarnation: 0x4002,
            members_version: 0x4003,
            pre_vote: true,
            sent_at: 0x4004,
        }),
        ControlMessage::VoteReply(VoteReply {
            term: 0x4101,
            incarnation: 0x4102,
            pre_vote: false,
            granted: true,
            sent_at: 0x4103,
            promised: 0x4104,
            members_version: 0x4105,
            position: position(0x41),
        }),
        ControlMessage::Renew(Renew {
            term: 0x4201,
            sent_at: 0x4202,
            base: position(0x42),
            source: process(0x43),
            number: 0x4203,
            learned: proposal(0x44),
        }),
        ControlMessage::RenewAck(RenewAck {
            term: 0x4501,
            sent_at: 0x4502,
            promised: 0x4503,
            position: position(0x45),
            leaving: true,
            caught_up: false,
        }),
        ControlMessage::Resign(Resign { term: 0x4601 }),
    ]
}

fn records() -> Vec<ControlMessage> {
    vec![
        ControlMessage::RecordBatch(RecordBatch {
            term: 0x5001,
            number: 0x5002,
            changes: List(vec![put(), delete()]),
        }),
        ControlMessage::RecordsSynced(RecordsSynced {
            position: position(0x51),
        }),
        ControlMessage::FetchSnapshot(FetchSnapshot {
            term: 0x5201,
            position: position(0x52),
            index: 0x5202_5203,
        }),
        ControlMessage::SnapshotChunk(SnapshotChunk {
            term: 0x5301,
            position: position(0x53),
            index: 0x5302_5303,
            last: true,
            checksum: 0x5304_5305,
            entries: List(vec![
                RecordEntry {
                    key: blob("first"),
                    value: blob("1"),
                },
                RecordEntry {
                    key: blob("second"),
                    value: blob("22"),
                },
            ]),
        }),
        ControlMessage::MemberLeases(MemberLeases {
            count: 0x5401_5402,
            relays: List(vec![
                MemberLease {
                    node: process(0x54),
                    remaining_ms: 0x5403,
                },
                MemberLease {
                    node: process(0x55),
                    remaining_ms: 0x5404,
                },
            ]),
        }),
    ]
}

fn accepted_changes() -> Vec<ControlMessage> {
    vec![
        ControlMessage::ChangesRequest(ChangesRequest { after: 0x6001 }),
        ControlMessage::ChangesReply(ChangesReply {
            after: 0x6101,
            changes: List(vec![AcceptedChange {
                base: 0x6102,
                version: 0x6103,
                digest: digest(0x61),
            }]),
            more: true,
        }),
    ]
}
