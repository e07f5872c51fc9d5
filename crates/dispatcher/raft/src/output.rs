//! Output of the state machine to its host: records to write, messages to send, committed entries, status.

use std::fmt;
use std::rc::Rc;

use crate::disk_record::DiskRecord;
use crate::entry::Entry;
use crate::message::Message;
use crate::snapshot::Snapshot;
use crate::voter::Voter;

/// A message with its receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundMessage {
    /// Identifier of the member that receives the message.
    pub to: u64,
    /// The message.
    pub message: Message,
}

/// Records that the host has to write and messages that it has to send after a call; the counterpart of `Ready` in
/// raft-rs.
///
/// Invariant of the protocol: the records are synced before any of the messages is sent, because the messages
/// acknowledge the records (Raft, figure 2: updated on stable storage before responding).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Whether the records replace everything that the disk holds; otherwise they are appended.
    pub rewrite: bool,
    /// Records to write, in order.
    pub records: Vec<DiskRecord>,
    /// Number of records written to the disk since it was blank, including these.
    pub records_written: u64,
    /// Messages to send once the records are synced.
    pub messages: Vec<OutboundMessage>,
}

impl Output {
    /// Whether there is nothing to write or send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.messages.is_empty()
    }
}

/// The next committed part of the log, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// The next entry.
    Entry(Entry),
    /// A snapshot that replaces the host's state.
    Snapshot(Rc<Snapshot>),
}

/// The role of a member, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Leads the current term.
    Leader,
    /// Runs an election or a pre-vote.
    Candidate,
    /// Belongs to no log yet.
    Blank,
    /// Checks with the other members whether its disk is an older copy of itself.
    CheckingDisk,
    /// Follows a leader, and is a voter.
    Voter,
    /// Follows a leader as a learner, without a vote.
    Follower,
}

impl fmt::Display for MemberRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MemberRole::Leader => "leader",
            MemberRole::Candidate => "asks for votes",
            MemberRole::Blank => "blank",
            MemberRole::CheckingDisk => "asks about its disk",
            MemberRole::Voter => "voter",
            MemberRole::Follower => "follower",
        })
    }
}

/// Progress of a snapshot that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotProgress {
    /// Bytes received so far.
    pub received_bytes: u64,
    /// Size of the serialized snapshot, bytes.
    pub total_bytes: u64,
}

/// A member's status, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Role of the member.
    pub role: MemberRole,
    /// Current term of the member.
    pub term: u64,
    /// The leader of the current term, if the member knows it.
    pub leader: Option<u64>,
    /// Index of the last entry of the member's log.
    pub last_index: u64,
    /// Commit index of the member.
    pub commit_index: u64,
    /// The voters that the member's log sets.
    pub voters: Vec<Voter>,
    /// Whether the member votes: it is a voter, its disk is known to be complete, and it has no fault.
    pub can_vote: bool,
    /// Time since the last message of a leader, seconds: 0 at the leader itself, infinite before the first message.
    pub since_leader_s: f64,
    /// Progress of the snapshot that is being received, if any.
    pub incoming_snapshot: Option<SnapshotProgress>,
}
