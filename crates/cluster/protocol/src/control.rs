//! Messages among core processes, a file a concern: the register of configurations, elections, replicated records,
//! recovery of an emptied disk, leases of membership, the history of accepted changes.

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
    /// Phase 1 of a proposal.
    #[deku(id = 0)]
    Prepare(Prepare),
    /// Grants [`Prepare`].
    #[deku(id = 1)]
    Promise(Promise),
    /// Phase 2 of a proposal.
    #[deku(id = 2)]
    Accept(Accept),
    /// Grants [`Accept`] or [`AcceptChange`].
    #[deku(id = 3)]
    Accepted(Accepted),
    /// A higher number was promised.
    #[deku(id = 4)]
    Rejected(Rejected),
    /// Reads the accepted value.
    #[deku(id = 5)]
    Read(Read),
    /// Answers [`Read`].
    #[deku(id = 6)]
    ReadReply(ReadReply),
    /// A value is chosen.
    #[deku(id = 7)]
    Learn(Learn),
    /// Answers [`Learn`].
    #[deku(id = 8)]
    Learned(Learned),
    /// The cluster's first value.
    #[deku(id = 9)]
    Bootstrap(Bootstrap),
    /// Answers [`Bootstrap`].
    #[deku(id = 10)]
    StateSynced(StateSynced),
    /// Asks for the highest promises.
    #[deku(id = 11)]
    Recover(Recover),
    /// Answers [`Recover`].
    #[deku(id = 12)]
    RecoverReply(RecoverReply),
    /// Stands for a term.
    #[deku(id = 13)]
    VoteRequest(VoteRequest),
    /// Answers [`VoteRequest`].
    #[deku(id = 14)]
    VoteReply(VoteReply),
    /// Renews the leader's lease.
    #[deku(id = 15)]
    Renew(Renew),
    /// Answers [`Renew`].
    #[deku(id = 16)]
    RenewAck(RenewAck),
    /// The leader steps down.
    #[deku(id = 17)]
    Resign(Resign),
    /// Changes of the records.
    #[deku(id = 18)]
    RecordBatch(RecordBatch),
    /// Answers [`RecordBatch`].
    #[deku(id = 19)]
    RecordsSynced(RecordsSynced),
    /// Asks for a piece of a snapshot.
    #[deku(id = 20)]
    FetchSnapshot(FetchSnapshot),
    /// Answers [`FetchSnapshot`].
    #[deku(id = 21)]
    SnapshotChunk(SnapshotChunk),
    /// Leases of processes outside the core.
    #[deku(id = 22)]
    MemberLeases(MemberLeases),
    /// Asks for accepted changes.
    #[deku(id = 23)]
    ChangesRequest(ChangesRequest),
    /// Answers [`ChangesRequest`].
    #[deku(id = 24)]
    ChangesReply(ChangesReply),
    /// Asks for a [`Directory`](crate::directory::Directory); unlike a [`Hello`](crate::directory::Hello) it renews no
    /// lease.
    #[deku(id = 25)]
    DirectoryRequest,
    /// Phase 2 of a proposal, by the change alone.
    #[deku(id = 26)]
    AcceptChange(AcceptChange),
    /// Asks for [`Accept`] in place of [`AcceptChange`].
    #[deku(id = 27)]
    ValueNeeded(ValueNeeded),
}
