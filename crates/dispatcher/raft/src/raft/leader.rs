//! The leader: proposals, heartbeats, and stepping down without a majority.

use super::leader_state::LeaderState;
use super::replication::Occasion;
use super::{Raft, Role};
use crate::entry::{Entry, EntryPayload};
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::voter::Voter;

/// Bytes that are resent or sent to lagging followers in one heartbeat interval, all followers together: catching up
/// is load, and comes when there is least to spare. 640 KiB/s at ten heartbeats a second.
const MAX_CATCH_UP_BYTES: usize = 64 << 10;
/// A leader without answers of a majority for this many election timeouts steps down (thesis, 6.2).
const CONTACT_TIMEOUTS: f64 = 2.0;

impl Raft {
    /// The leader's state; `None` unless this member leads.
    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Appends a command of the host to the log and replicates it. Returns the position at which it stands if it is
    /// committed; another leader may replace it before.
    ///
    /// # Errors
    ///
    /// [`RaftError::NotLeader`] unless this member leads.
    pub fn propose(&mut self, now: f64, command: Vec<u8>) -> Result<LogPosition, RaftError> {
        if !self.is_leader() {
            return Err(RaftError::NotLeader);
        }
        Ok(self.append_and_replicate(now, EntryPayload::Command(command)))
    }

    /// Appends an entry of the current term, and replicates it.
    pub(super) fn append_and_replicate(&mut self, now: f64, payload: EntryPayload) -> LogPosition {
        let entry = Entry::after(&self.log.last_position(), self.term, payload);
        let position = entry.position;
        self.append(entry);
        self.replicate(now, Occasion::NewEntries);
        position
    }

    /// Sends heartbeats when they are due.
    pub(super) fn tick_leader(&mut self, now: f64) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        // A partitioned leader must not go on: its clients would wait for it in vain.
        if !self.has_quorum_contact(now, state) {
            return self.step_down(now, None);
        }
        let heartbeat_s = self.timing.heartbeat_s;
        let Some(state) = self.leader_state() else {
            return;
        };
        state.next_heartbeat = now + heartbeat_s;
        state.round += 1;
        state.catch_up_bytes_left = MAX_CATCH_UP_BYTES;
        self.replicate(now, Occasion::Heartbeat);
    }

    /// Whether a majority has answered lately, or the term is too young to tell.
    fn has_quorum_contact(&self, now: f64, state: &LeaderState) -> bool {
        let window_s = CONTACT_TIMEOUTS * self.timing.election_timeout_s;
        let in_contact = |voter: &Voter| {
            let progress = state.progress_of(voter);
            voter.member == self.id
                || progress.is_some_and(|progress| now < progress.last_contact + window_s)
        };
        now < state.since + window_s || self.is_quorum(in_contact)
    }
}
