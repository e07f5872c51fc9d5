//! Messages between members.

use serde::{Deserialize, Serialize};

use crate::disk_record::DiskWatermark;
use crate::entry::Entry;
use crate::log_position::LogPosition;

/// A message to another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identifier of the sender's disk.
    pub disk: u64,
    /// Number of records written to the sender's disk since it was blank. All of them are synced before the message is
    /// sent.
    pub records_written: u64,
    /// The sender's current term.
    pub term: u64,
    /// The request or reply.
    pub body: MessageBody,
}

/// The request or reply of a message. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A starting member asks the others for the watermark of its disk that they know.
    DiskQuery {
        /// Random number that identifies the sender's process; the reply repeats it.
        nonce: u64,
        /// Whether the sender's disk belongs to no log yet.
        blank: bool,
    },
    /// The reply to `DiskQuery`.
    DiskReport {
        /// The nonce of the query.
        nonce: u64,
        /// Number of records that were written to the disk of the querying member, as known to the sender.
        records_written: u64,
    },
    /// A candidate requests a vote (`RequestVote`; Raft, 5.2).
    VoteRequest(VoteRequest),
    /// The reply to `VoteRequest`.
    VoteReply(VoteReply),
    /// A leader replicates entries or sends a heartbeat (Raft, 5.3).
    AppendEntries(AppendEntries),
    /// The reply to `AppendEntries`.
    AppendReply(AppendReply),
    /// A chunk of a leader's snapshot (Raft, 7).
    InstallSnapshot(SnapshotChunk),
    /// The reply to `InstallSnapshot`.
    InstallSnapshotReply {
        /// Position of the last entry that the snapshot covers.
        position: LogPosition,
        /// Number of bytes of the serialized snapshot that the follower has received.
        offset: u64,
    },
    /// Asks the leader for a read index (thesis, 6.4).
    ReadIndex {
        /// Number that the sender has given to the read.
        number: u64,
    },
    /// The reply to `ReadIndex`.
    ReadIndexReply {
        /// The number of the read.
        number: u64,
        /// A commit index that covers all entries committed at the time when the leader received the request.
        index: u64,
    },
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Whether this is a pre-vote (thesis, 9.6), which asks whether a vote would be granted, before the candidate
    /// raises its term.
    pub pre_vote: bool,
    /// The term of the election.
    pub election_term: u64,
    /// Position of the last entry of the candidate's log.
    pub last: LogPosition,
}

/// The reply to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// Whether the request was for a pre-vote.
    pub pre_vote: bool,
    /// The term of the election, as in the request.
    pub election_term: u64,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// Entries that a leader replicates; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Position directly before the entries (`prevLogIndex` and `prevLogTerm`).
    pub previous: LogPosition,
    /// The entries, in ascending order of their indices; empty in a heartbeat that carries no entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: u64,
    /// Number of the leader's heartbeat round. Replies repeat it, which confirms the leader for read indexes.
    pub round: u64,
    /// Watermarks of the voters' disks that the leader knows.
    pub watermarks: Vec<DiskWatermark>,
}

/// The reply to `AppendEntries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the follower's log has the position before the entries, and now holds the entries.
    pub success: bool,
    /// On success the index up to which both logs are equal; otherwise the index of the last entry that the follower
    /// may share with the leader, after which the leader should continue.
    pub index: u64,
    /// The heartbeat round of the request.
    pub round: u64,
}

/// A chunk of a serialized snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Position of the last entry that the snapshot covers.
    pub position: LogPosition,
    /// Size of the serialized snapshot, bytes.
    pub total_bytes: u64,
    /// Checksum of the serialized snapshot.
    pub checksum: u64,
    /// Offset of the chunk in the serialized snapshot, bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Vec<u8>,
}
