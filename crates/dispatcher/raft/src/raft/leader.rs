//! The leader's proposals and heartbeats, and its stepping down without contact to a majority.

use super::leader_state::LeaderState;
use super::replication::Occasion;
use super::{Raft, Role};
use crate::entry::{Entry, EntryPayload};
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::voter::Voter;

/// Largest number of bytes that are resent or sent to lagging followers in one heartbeat interval, in total over all
/// followers: 640 KiB/s at ten heartbeats per second. Followers catch up after faults, when the members have the least
/// spare capacity for the additional load.
const MAX_CATCH_UP_BYTES: usize = 64 << 10;
/// A leader that has had no replies from a majority for this many election timeouts steps down (thesis, 6.2).
const CONTACT_TIMEOUTS: f64 = 2.0;

impl Raft {
    /// The leader's state; `None` unless this member leads.
    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Appends a command of the host to the log and replicates it. Returns the position that the entry has if it is
    /// committed; until then another leader may replace it.
    ///
    /// # Errors
    ///
    /// [`RaftError::NotLeader`] unless this member leads.
    pub fn propose(&mut self, now_s: f64, command: Vec<u8>) -> Result<LogPosition, RaftError> {
        if !self.is_leader() {
            return Err(RaftError::NotLeader);
        }
        Ok(self.append_and_replicate(now_s, EntryPayload::Command(command)))
    }

    /// Appends an entry of the current term and replicates it.
    pub(super) fn append_and_replicate(
        &mut self,
        now_s: f64,
        payload: EntryPayload,
    ) -> LogPosition {
        let entry = Entry::after(&self.log.last_position(), self.term, payload);
        let position = entry.position;
        self.append(entry);
        self.replicate(now_s, Occasion::NewEntries);
        position
    }

    /// Sends heartbeats when they are due.
    pub(super) fn tick_leader(&mut self, now_s: f64) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        if now_s < state.next_heartbeat_s {
            return;
        }
        // A partitioned leader must step down: it cannot commit, and its clients would wait without a result.
        if !self.has_quorum_contact(now_s, state) {
            return self.step_down(now_s, None);
        }
        let heartbeat_s = self.timing.heartbeat_s;
        let Some(state) = self.leader_state() else {
            return;
        };
        state.next_heartbeat_s = now_s + heartbeat_s;
        state.round += 1;
        state.catch_up_bytes_left = MAX_CATCH_UP_BYTES;
        self.replicate(now_s, Occasion::Heartbeat);
    }

    /// Whether a majority has replied within the contact window of `CONTACT_TIMEOUTS` election timeouts, or the term
    /// is younger than that window.
    fn has_quorum_contact(&self, now_s: f64, state: &LeaderState) -> bool {
        let window_s = CONTACT_TIMEOUTS * self.timing.election_timeout_s;
        let is_in_contact = |voter: &Voter| {
            let progress = state.progress_of(voter);
            voter.member == self.id
                || progress.is_some_and(|progress| now_s < progress.last_contact_s + window_s)
        };
        now_s < state.since_s + window_s || self.is_quorum(is_in_contact)
    }
}
