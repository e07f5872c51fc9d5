//! Among the core processes: the register, elections, replicated records and the recovery of an emptied disk.
use crate::collections::{Blob, List};
use crate::id::{Epoch, Incarnation, NodeId};
use deku::prelude::*;

/// Orders the rounds of the register. The incarnation keeps two lives of one process apart. All zero: none.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct Ballot {
    pub counter: u64,
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// Names a state of the replicated records: the term and the batch within it.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct RecordsTag {
    pub epoch: Epoch,
    pub number: u64,
}

/// First round of the register: take nothing older than `ballot`, and tell what was accepted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Prepare {
    pub ballot: Ballot,
    /// The value that the asker holds already and that need not be sent.
    pub have: Ballot,
}

/// Promises a ballot.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Promised {
    pub ballot: Ballot,
    pub accepted: Ballot,
    /// The accepted value; empty where the asker has it or there is none.
    pub value: Blob,
}

/// Second round of the register.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accept {
    pub ballot: Ballot,
    pub value: Blob,
}

/// Which order of the operator a change is.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ChangeKind {
    #[deku(id = 1)]
    Replace,
    #[deku(id = 2)]
    Patch,
}

/// Second round of the register for a member that holds the value which the change builds on.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct AcceptChange {
    pub ballot: Ballot,
    /// The ballot of the accepted value on which the change is put.
    pub on: Ballot,
    pub kind: ChangeKind,
    /// The version of the configuration on which the change builds.
    pub base: u64,
    pub body: Blob,
    /// SHA-256 of the value that results.
    pub result: [u8; 32],
}

/// The sender cannot make the value of this ballot from the change: it needs the value whole.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ValueNeeded {
    pub ballot: Ballot,
}

/// The value of this ballot was accepted and synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accepted {
    pub ballot: Ballot,
}

/// The ballot came too late: a higher one was promised.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Refused {
    pub ballot: Ballot,
    pub promised: Ballot,
}

/// Asks for the accepted value without a promise.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Read {
    pub nonce: u64,
    pub have: Ballot,
}

/// The accepted value, left out where the asker has it.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ReadReply {
    pub nonce: u64,
    pub accepted: Ballot,
    pub value: Blob,
}

/// The value of this ballot is chosen.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learn {
    pub ballot: Ballot,
}

/// The sender acts by the value of this ballot, or a newer one.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learned {
    pub ballot: Ballot,
}

/// The cluster's first value, from its founder.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Found {
    pub ballot: Ballot,
    pub value: Blob,
}

/// The sender has synced what it needs to take part.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Settled {
    pub ballot: Ballot,
}

/// A process with an emptied disk asks for the highest promises known.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Recover {
    pub nonce: u64,
}

/// Answers `Recover`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecoverReply {
    pub nonce: u64,
    pub promised: Ballot,
    pub epoch: Epoch,
}

/// Asks for the promise of a term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteRequest {
    pub epoch: Epoch,
    pub incarnation: Incarnation,
    /// The member list by which the candidate counts.
    pub members_version: u64,
    /// True: only asks whether it would be promised.
    pub probe: bool,
    /// The candidate's steady clock in microseconds; comes back in the answer.
    pub sent_at: u64,
}

/// Answers `VoteRequest`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteReply {
    pub epoch: Epoch,
    /// The candidate's own, as in the request.
    pub incarnation: Incarnation,
    pub probe: bool,
    pub granted: bool,
    pub sent_at: u64,
    /// The highest term promised by the answering process.
    pub promised: Epoch,
    pub members_version: u64,
    /// The state of its records.
    pub tag: RecordsTag,
}

/// The owner of a term renews its lease and says where its records stand.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Renew {
    pub epoch: Epoch,
    pub sent_at: u64,
    /// The state on which the term builds; equals batch 0 of the term.
    pub base: RecordsTag,
    /// Who has the records whole.
    pub source: NodeId,
    /// The newest batch of the term.
    pub number: u64,
    /// The newest value of the register known to the owner.
    pub learned: Ballot,
}

/// Grants the lease, or tells of a higher term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RenewAck {
    pub epoch: Epoch,
    pub sent_at: u64,
    pub promised: Epoch,
    /// The newest synced state of the records.
    pub tag: RecordsTag,
    /// The sender was asked to end; its place may go to a learner.
    pub leaving: bool,
    /// The sender knows the register's newest chosen value and the accepted changes before it.
    pub caught_up: bool,
}

/// The owner has given its lease up.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Resign {
    pub epoch: Epoch,
}

/// What becomes of a record.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum RecordChange {
    #[deku(id = 0)]
    Put { key: Blob, value: Blob },
    #[deku(id = 1)]
    Delete { key: Blob },
}

/// A batch of changes of the records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordBatch {
    pub epoch: Epoch,
    pub number: u64,
    pub changes: List<RecordChange>,
}

/// The sender has synced the records up to this state.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Stored {
    pub tag: RecordsTag,
}

/// Asks for a piece of the whole records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FetchSnapshot {
    pub epoch: Epoch,
    /// The state that the earlier pieces had; with the first the oldest state that is of use to the sender.
    pub tag: RecordsTag,
    pub index: u32,
}

/// A record, whole.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordEntry {
    pub key: Blob,
    pub value: Blob,
}

/// A piece of the whole records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct SnapshotChunk {
    pub epoch: Epoch,
    pub tag: RecordsTag,
    pub index: u32,
    pub last: bool,
    /// CRC-32 over tag, index, `last` and all entries of the image up to and including this piece.
    pub checksum: u32,
    pub entries: List<RecordEntry>,
}

/// A lease of membership that a process outside the core has renewed at the sender.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberLease {
    pub node: NodeId,
    pub remaining_ms: u16,
}

/// What the sender alone knows of processes outside the core, by their greetings. Sent once a second; its size does
/// not grow with their number.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct MemberLeases {
    /// How many processes hold a lease at the sender.
    pub count: u32,
    /// The best relays among them, at most `MAX_RELAYS`.
    pub relays: List<MemberLease>,
}

/// A change of the configuration that was taken: between `base` and `version` there never was another version.
#[derive(DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, Debug)]
pub struct AcceptedChange {
    pub base: u64,
    pub version: u64,
    /// SHA-256 of the change's kind and content.
    pub digest: [u8; 32],
}

/// Asks for the accepted changes whose base is `after` or a later version.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesRequest {
    pub after: u64,
}

/// Accepted changes known to the sender, in order of their base. They are facts, whoever tells them.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ChangesReply {
    /// As in the request.
    pub after: u64,
    pub changes: List<AcceptedChange>,
    /// Whether the sender knows later ones as well.
    pub more: bool,
}

/// A message among core processes.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
#[deku(id_type = "u8")]
pub enum ControlMessage {
    #[deku(id = 0)]
    Prepare(Prepare),
    #[deku(id = 1)]
    Promised(Promised),
    #[deku(id = 2)]
    Accept(Accept),
    #[deku(id = 3)]
    Accepted(Accepted),
    #[deku(id = 4)]
    Refused(Refused),
    #[deku(id = 5)]
    Read(Read),
    #[deku(id = 6)]
    ReadReply(ReadReply),
    #[deku(id = 7)]
    Learn(Learn),
    #[deku(id = 8)]
    Learned(Learned),
    #[deku(id = 9)]
    Found(Found),
    #[deku(id = 10)]
    Settled(Settled),
    #[deku(id = 11)]
    Recover(Recover),
    #[deku(id = 12)]
    RecoverReply(RecoverReply),
    #[deku(id = 13)]
    VoteRequest(VoteRequest),
    #[deku(id = 14)]
    VoteReply(VoteReply),
    #[deku(id = 15)]
    Renew(Renew),
    #[deku(id = 16)]
    RenewAck(RenewAck),
    #[deku(id = 17)]
    Resign(Resign),
    #[deku(id = 18)]
    RecordBatch(RecordBatch),
    #[deku(id = 19)]
    Stored(Stored),
    #[deku(id = 20)]
    FetchSnapshot(FetchSnapshot),
    #[deku(id = 21)]
    SnapshotChunk(SnapshotChunk),
    #[deku(id = 22)]
    MemberLeases(MemberLeases),
    #[deku(id = 23)]
    ChangesRequest(ChangesRequest),
    #[deku(id = 24)]
    ChangesReply(ChangesReply),
    /// Asks for a directory; unlike a greeting it says nothing of the sender.
    #[deku(id = 25)]
    DirectoryRequest,
    #[deku(id = 26)]
    AcceptChange(AcceptChange),
    #[deku(id = 27)]
    ValueNeeded(ValueNeeded),
}
