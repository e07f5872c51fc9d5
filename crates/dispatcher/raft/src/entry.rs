//! Entries of the log.

use serde::{Deserialize, Serialize};

use crate::log_position::LogPosition;
use crate::voter::{Voter, VOTER_BYTES};

/// Approximate size of an entry in a message without its payload, bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The content of an entry. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a leader's term. Committing it commits all entries before it (Raft, 8).
    Noop,
    /// Sets the voters. They take effect when the entry is appended, before it is committed (Raft, 6; thesis, 4.1).
    Voters(Vec<Voter>),
    /// A command for the host's state machine.
    Command(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the entry in the log.
    pub position: LogPosition,
    /// The content of the entry.
    pub payload: EntryPayload,
}

impl Entry {
    /// Creates the entry that directly follows the position `previous`.
    pub fn after(previous: &LogPosition, term: u64, payload: EntryPayload) -> Entry {
        Entry {
            position: previous.next(term, &payload),
            payload,
        }
    }

    /// Whether the entry is intact and directly follows `previous`. Terms never decrease along a log.
    pub fn follows(&self, previous: &LogPosition) -> bool {
        self.position.term >= previous.term
            && self.position == previous.next(self.position.term, &self.payload)
    }

    /// Approximate size in a message, bytes.
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::Voters(voters) => VOTER_BYTES * voters.len(),
            EntryPayload::Command(command) => command.len(),
        };
        ENTRY_OVERHEAD_BYTES + payload
    }
}
