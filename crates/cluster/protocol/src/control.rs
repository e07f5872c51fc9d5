//! Among the core processes: the register, elections, replicated records and the recovery of an emptied disk.

use crate::collections::{Blob, List};
use crate::id::{Incarnation, NodeId, Term};
use deku::prelude::*;

/// Orders the rounds of the register. The incarnation keeps two lives of one process apart. All zero: none.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct ProposalNumber {
    pub counter: u64,
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// Names a state of the replicated records: the term and the batch within it.
#[derive(
    DekuRead, DekuWrite, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Default, Hash,
)]
pub struct RecordsPosition {
    pub term: Term,
    pub number: u64,
}

/// First round of the register: take nothing older than `proposal`, and tell what was accepted.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Prepare {
    pub proposal: ProposalNumber,
    /// The value that the asker holds already and that need not be sent.
    pub known: ProposalNumber,
}

/// Promises a proposal number.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Promise {
    pub proposal: ProposalNumber,
    pub accepted: ProposalNumber,
    /// The accepted value; empty where the asker has it or there is none.
    pub value: Blob,
}

/// Second round of the register.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accept {
    pub proposal: ProposalNumber,
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
    pub proposal: ProposalNumber,
    /// The proposal number of the accepted value on which the change is put.
    pub base_proposal: ProposalNumber,
    pub kind: ChangeKind,
    /// The version of the configuration on which the change builds.
    pub base_version: u64,
    pub body: Blob,
    /// SHA-256 of the value that results.
    pub result: [u8; 32],
}

/// The sender cannot make the value of this proposal number from the change: it needs the value whole.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ValueNeeded {
    pub proposal: ProposalNumber,
}

/// The value of this proposal number was accepted and synced.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Accepted {
    pub proposal: ProposalNumber,
}

/// The proposal number came too late: a higher one was promised.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Rejected {
    pub proposal: ProposalNumber,
    pub promised: ProposalNumber,
}

/// Asks for the accepted value without a promise.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Read {
    pub nonce: u64,
    pub known: ProposalNumber,
}

/// The accepted value, left out where the asker has it.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct ReadReply {
    pub nonce: u64,
    pub accepted: ProposalNumber,
    pub value: Blob,
}

/// The value of this proposal number is chosen.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learn {
    pub proposal: ProposalNumber,
}

/// The sender acts by the value of this proposal number, or a newer one.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Learned {
    pub proposal: ProposalNumber,
}

/// The cluster's first value, from its founder.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Bootstrap {
    pub proposal: ProposalNumber,
    pub value: Blob,
}

/// The sender has synced what it needs to take part.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct StateSynced {
    pub proposal: ProposalNumber,
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
    pub promised: ProposalNumber,
    pub term: Term,
}

/// Asks for the promise of a term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteRequest {
    pub term: Term,
    pub incarnation: Incarnation,
    /// The member list by which the candidate counts.
    pub members_version: u64,
    /// True: only asks whether it would be promised.
    pub pre_vote: bool,
    /// The candidate's steady clock in microseconds; comes back in the answer.
    pub sent_at: u64,
}

/// Answers `VoteRequest`.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct VoteReply {
    pub term: Term,
    /// The candidate's own, as in the request.
    pub incarnation: Incarnation,
    pub pre_vote: bool,
    pub granted: bool,
    pub sent_at: u64,
    /// The highest term promised by the answering process.
    pub promised: Term,
    pub members_version: u64,
    /// The state of its records.
    pub position: RecordsPosition,
}

/// The leader of a term renews its lease and says where its records stand.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Renew {
    pub term: Term,
    pub sent_at: u64,
    /// The state on which the term builds; equals batch 0 of the term.
    pub base: RecordsPosition,
    /// Who has the records whole.
    pub source: NodeId,
    /// The newest batch of the term.
    pub number: u64,
    /// The newest value of the register known to the leader.
    pub learned: ProposalNumber,
}

/// Grants the lease, or tells of a higher term.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RenewAck {
    pub term: Term,
    pub sent_at: u64,
    pub promised: Term,
    /// The newest synced state of the records.
    pub position: RecordsPosition,
    /// The sender was asked to end; its place may go to a learner.
    pub leaving: bool,
    /// The sender knows the register's newest chosen value and the accepted changes before it.
    pub caught_up: bool,
}

/// The leader has given its lease up.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct Resign {
    pub term: Term,
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
    pub term: Term,
    pub number: u64,
    pub changes: List<RecordChange>,
}

/// The sender has synced the records up to this state.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct RecordsSynced {
    pub position: RecordsPosition,
}

/// Asks for a piece of the whole records.
#[derive(DekuRead, DekuWrite, Clone, PartialEq, Eq, Debug)]
pub struct FetchSnapshot {
    pub term: Term,
    /// The state that the earlier pieces had; with the first the oldest state that is of use to the sender.
    pub position: RecordsPosition,
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
    pub term: Term,
    pub position: RecordsPosition,
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
    Promise(Promise),
    #[deku(id = 2)]
    Accept(Accept),
    #[deku(id = 3)]
    Accepted(Accepted),
    #[deku(id = 4)]
    Rejected(Rejected),
    #[deku(id = 5)]
    Read(Read),
    #[deku(id = 6)]
    ReadReply(ReadReply),
    #[deku(id = 7)]
    Learn(Learn),
    #[deku(id = 8)]
    Learned(Learned),
    #[deku(id = 9)]
    Bootstrap(Bootstrap),
    #[deku(id = 10)]
    StateSynced(StateSynced),
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
    RecordsSynced(RecordsSynced),
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
