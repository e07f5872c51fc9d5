//! Messages between members.

use serde::{Deserialize, Serialize};

use crate::disk_record::DiskWatermark;
use crate::entry::Entry;
use crate::log_position::LogPosition;

/// A message to another member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The identity of the sender's disk.
    pub disk: u64,
    /// Records that the sender's disk has ever held; all of them are synced when the message is sent.
    pub records_written: u64,
    /// The sender's current term.
    pub term: u64,
    /// The request or reply.
    pub body: MessageBody,
}

/// The request or reply of a message. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A member that starts asks for the watermark that others know of its disk.
    DiskQuery {
        /// Identifies the asking process; the reply repeats it.
        nonce: u64,
        /// The sender's disk belongs to no log yet.
        blank: bool,
    },
    /// The reply to `DiskQuery`.
    DiskReport {
        /// The nonce of the query.
        nonce: u64,
        /// Records that the sender knows the asker's disk to have held.
        records_written: u64,
    },
    /// A candidate requests a vote (`RequestVote`; Raft, 5.2).
    VoteRequest(VoteRequest),
    /// The reply to `VoteRequest`.
    VoteReply(VoteReply),
    /// A leader replicates entries, or sends its heartbeat (Raft, 5.3).
    AppendEntries(AppendEntries),
    /// The reply to `AppendEntries`.
    AppendReply(AppendReply),
    /// A chunk of a leader's snapshot (Raft, 7).
    InstallSnapshot(SnapshotChunk),
    /// The reply to `InstallSnapshot`.
    InstallSnapshotReply {
        /// Position of the snapshot.
        position: LogPosition,
        /// Bytes of it that have arrived.
        offset: u64,
    },
    /// Asks the leader for a read index (thesis, 6.4).
    ReadIndex {
        /// The asker's number of the read.
        number: u64,
    },
    /// The reply to `ReadIndex`.
    ReadIndexReply {
        /// The number of the read.
        number: u64,
        /// A commit index that covers all entries committed when the read was asked.
        index: u64,
    },
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// A pre-vote (thesis, 9.6): asks whether a vote would be granted, before the candidate raises its term.
    pub pre_vote: bool,
    /// The term of the election.
    pub election_term: u64,
    /// Position of the last entry of the candidate's log.
    pub last: LogPosition,
}

/// The reply to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// As in the request.
    pub pre_vote: bool,
    /// As in the request.
    pub election_term: u64,
    /// Whether the vote is granted.
    pub granted: bool,
}

/// A leader's entries, or its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// Position right before the entries (`prevLogIndex` and `prevLogTerm`).
    pub previous: LogPosition,
    /// The entries, in order; none in a plain heartbeat.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub leader_commit: u64,
    /// The leader's heartbeat round; replies confirm it, for reads.
    pub round: u64,
    /// Watermarks of the voters' disks that the leader knows.
    pub watermarks: Vec<DiskWatermark>,
}

/// The reply to `AppendEntries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the follower has the position before the entries, and took them.
    pub success: bool,
    /// On success the index up to which both logs are equal; otherwise the index that the leader should try next.
    pub index: u64,
    /// The round of the request.
    pub round: u64,
}

/// A chunk of a serialized snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Position of the snapshot.
    pub position: LogPosition,
    /// Size of the serialized snapshot, bytes.
    pub total_bytes: u64,
    /// Checksum of the serialized snapshot.
    pub checksum: u64,
    /// Where the chunk begins in the serialized snapshot, bytes.
    pub offset: u64,
    /// The bytes of the chunk.
    pub data: Vec<u8>,
}
