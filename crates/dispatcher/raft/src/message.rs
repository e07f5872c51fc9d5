//! Messages between members.

use crate::entry::{Entry, Mark};
use crate::record::DiskWritten;
use serde::{Deserialize, Serialize};

/// A message of one disk to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's disk.
    pub disk: u64,
    /// How many records that disk ever had, all of them synced when this is sent.
    pub written: u64,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Who starts asks what others remember of its disk. `blank`: it belongs to no log yet.
    DiskQuery { nonce: u64, blank: bool },
    /// The most that this member knows that disk to have written.
    DiskReport { nonce: u64, written: u64 },
    /// A candidate asks for a vote.
    VoteRequest(VoteRequest),
    /// The answer to that.
    VoteReply(VoteReply),
    /// A leader's entries, or its heartbeat.
    AppendEntries(AppendEntries),
    /// The answer to that.
    AppendReply(AppendReply),
    /// A part of a leader's snapshot.
    InstallSnapshot(SnapshotPart),
    /// How much of it is there.
    InstallSnapshotReply { mark: Mark, offset: u64 },
    /// Asks the leader for a read index.
    ReadIndex { number: u64 },
    /// What was agreed when it was asked is at this index or before.
    ReadIndexReply { number: u64, index: u64 },
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Only whether one would be given: asked before a term is raised.
    pub pre_vote: bool,
    /// The term that the vote is for.
    pub election_term: u64,
    /// The last entry of the candidate's log.
    pub last: Mark,
}

/// The answer to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// As in the request.
    pub pre_vote: bool,
    /// As in the request.
    pub election_term: u64,
    /// The vote is given.
    pub granted: bool,
}

/// A leader's entries, or its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The place right before the entries.
    pub before: Mark,
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: u64,
    /// The leader's heartbeat round.
    pub round: u64,
    /// How much the voters' disks had written, as far as the leader knows.
    pub disks: Vec<DiskWritten>,
}

/// The answer to `AppendEntries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The entries were taken.
    pub success: bool,
    /// Up to where the two logs are the same, or where to try next.
    pub index: u64,
    /// The round that is answered.
    pub round: u64,
}

/// A part of a serialized snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The place of the snapshot.
    pub mark: Mark,
    /// Size of the whole, bytes.
    pub size: u64,
    /// Checksum of the whole.
    pub sum: u64,
    /// Where this part begins.
    pub offset: u64,
    /// The part.
    pub bytes: Vec<u8>,
}
