//! Among the core processes: the register, elections, replicated records and the recovery of an emptied disk.

mod accepted_changes;
mod election;
mod membership;
mod records;
mod recovery;
mod register;

pub use accepted_changes::{AcceptedChange, ChangesReply, ChangesRequest};
pub use election::{Renew, RenewAck, Resign, VoteReply, VoteRequest};
pub use membership::{MemberLease, MemberLeases};
pub use records::{
    FetchSnapshot, RecordBatch, RecordChange, RecordEntry, RecordsPosition, RecordsSynced,
    SnapshotChunk,
};
pub use recovery::{Recover, RecoverReply};
pub use register::{
    Accept, AcceptChange, Accepted, Bootstrap, ChangeKind, Learn, Learned, Prepare, Promise,
    ProposalNumber, Read, ReadReply, Rejected, StateSynced, ValueNeeded,
};

use deku::prelude::*;

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
