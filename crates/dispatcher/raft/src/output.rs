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
    /// The member that receives the message.
    pub to: u64,
    /// The message.
    pub message: Message,
}

/// What a host has to write and send after a call, as `Ready` in raft-rs.
///
/// Invariant of the protocol: the records are synced before any of the messages is sent, because the messages
/// acknowledge them (Raft, figure 2: updated on stable storage before responding).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// The records replace everything that the disk holds; otherwise they are appended.
    pub rewrite: bool,
    /// Records to write, in order.
    pub records: Vec<DiskRecord>,
    /// Number of records that the disk has ever held, these included.
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

/// The role of a member as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// Leads the current term.
    Leader,
    /// Runs an election, or a pre-vote.
    Candidate,
    /// Belongs to no log yet.
    Blank,
    /// Asks others whether its disk is an older copy of itself.
    CheckingDisk,
    /// Follows, and votes.
    Voter,
    /// Follows without a vote.
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

/// How much of a snapshot has arrived.
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
    /// Its role.
    pub role: MemberRole,
    /// Its term.
    pub term: u64,
    /// The leader, as far as it knows.
    pub leader: Option<u64>,
    /// The last index of its log.
    pub last_index: u64,
    /// Its commit index.
    pub commit_index: u64,
    /// The voters, by its log.
    pub voters: Vec<Voter>,
    /// Whether it can vote.
    pub can_vote: bool,
    /// Time since a leader's last message, seconds; 0 at the leader, infinite before the first.
    pub since_leader_s: f64,
    /// Progress of the snapshot that is being received, if any.
    pub incoming_snapshot: Option<SnapshotProgress>,
}
