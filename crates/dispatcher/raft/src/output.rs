//! What a member hands to its host.

use crate::entry::{Entry, Snapshot, Voter};
use crate::message::Message;
use crate::record::DiskRecord;
use std::rc::Rc;

/// Why a copy cannot go on as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It differs from the leader's in a place that was agreed.
    Differs {
        /// The place.
        index: u64,
    },
    /// Others have seen more of this disk: it is an old copy of itself.
    Old {
        /// Records that this disk has.
        here: u64,
        /// Records that another knows of.
        known: u64,
    },
}

/// What a call asks of the host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// The records stand in place of all that the disk holds, not behind it.
    pub rewrite: bool,
    /// Records to be written, in order.
    pub records: Vec<DiskRecord>,
    /// All records ever, with these.
    pub written: u64,
    /// Messages to be sent once the records are synced, with their receivers.
    pub messages: Vec<(u64, Message)>,
}

impl Output {
    /// Nothing is asked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.messages.is_empty()
    }
}

/// What has been committed, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// The next entry.
    Entry(Entry),
    /// In place of all before.
    Snapshot(Rc<Snapshot>),
}

/// A member's status, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Its role in words.
    pub role: &'static str,
    /// Its term.
    pub term: u64,
    /// Who leads, as far as it knows.
    pub leader: Option<u64>,
    /// The last index of its log.
    pub last: u64,
    /// Its commit index.
    pub commit: u64,
    /// Who votes, by its log.
    pub voters: Vec<Voter>,
    /// Whether it can vote.
    pub votes: bool,
    /// Since when nothing has come from a leader, in seconds; 0 for the leader.
    pub silent_s: f64,
    /// Of a snapshot on its way here, how much has come, and of how much.
    pub incoming: Option<(u64, u64)>,
}
