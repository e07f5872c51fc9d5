//! Messages among core processes. Each concern has its own file: the register of configurations, elections, replicated
//! records, recovery after the loss of the disk's contents, membership leases, and the history of accepted changes.

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
    /// Starts phase 1 of a proposal.
    #[deku(id = 0)]
    Prepare(Prepare),
    /// Grants a [`Prepare`].
    #[deku(id = 1)]
    Promise(Promise),
    /// Starts phase 2 of a proposal with the full value.
    #[deku(id = 2)]
    Accept(Accept),
    /// Grants an [`Accept`] or [`AcceptChange`].
    #[deku(id = 3)]
    Accepted(Accepted),
    /// Rejects a proposal because a higher number was promised.
    #[deku(id = 4)]
    Rejected(Rejected),
    /// Requests the number of the accepted value, and optionally the value.
    #[deku(id = 5)]
    Read(Read),
    /// Answers [`Read`].
    #[deku(id = 6)]
    ReadReply(ReadReply),
    /// Announces that a value is chosen.
    #[deku(id = 7)]
    Learn(Learn),
    /// Answers [`Learn`].
    #[deku(id = 8)]
    Learned(Learned),
    /// Transfers the cluster's first value.
    #[deku(id = 9)]
    Bootstrap(Bootstrap),
    /// Answers [`Bootstrap`].
    #[deku(id = 10)]
    StateSynced(StateSynced),
    /// Requests the highest promises, for recovery.
    #[deku(id = 11)]
    Recover(Recover),
    /// Answers [`Recover`].
    #[deku(id = 12)]
    RecoverReply(RecoverReply),
    /// Requests a vote for the leadership of a term.
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
    /// Announces that the leader has stepped down.
    #[deku(id = 17)]
    Resign(Resign),
    /// Replicates changes to the records.
    #[deku(id = 18)]
    RecordBatch(RecordBatch),
    /// Answers [`RecordBatch`].
    #[deku(id = 19)]
    RecordsSynced(RecordsSynced),
    /// Requests one chunk of a snapshot.
    #[deku(id = 20)]
    FetchSnapshot(FetchSnapshot),
    /// Answers [`FetchSnapshot`].
    #[deku(id = 21)]
    SnapshotChunk(SnapshotChunk),
    /// Shares the membership leases of processes outside the core.
    #[deku(id = 22)]
    MemberLeases(MemberLeases),
    /// Requests accepted configuration changes.
    #[deku(id = 23)]
    ChangesRequest(ChangesRequest),
    /// Answers [`ChangesRequest`].
    #[deku(id = 24)]
    ChangesReply(ChangesReply),
    /// Requests a [`Directory`](crate::directory::Directory). Unlike a [`Hello`](crate::directory::Hello), it does not
    /// renew a lease.
    #[deku(id = 25)]
    DirectoryRequest,
    /// Starts phase 2 of a proposal with only the change to the accepted value.
    #[deku(id = 26)]
    AcceptChange(AcceptChange),
    /// Requests an [`Accept`] instead of an [`AcceptChange`].
    #[deku(id = 27)]
    ValueNeeded(ValueNeeded),
}
