//! A leader's turn: heartbeats, proposals, and stepping down when it is cut off.

use super::progress::LeaderState;
use super::{Raft, Role};
use crate::entry::{Entry, EntryPayload};
use crate::error::RaftError;
use crate::log_position::LogPosition;
use crate::voter::Voter;

/// All that is sent again or caught up with in one heartbeat, by all followers together: catching up is load, and it
/// comes when there is least to spare. 64 KiB in each of ten heartbeats a second.
const MAX_CATCH_UP_BYTES: usize = 64 << 10;
/// A leader that a majority has not answered for so many election timeouts steps down.
const CONTACT_TIMEOUTS: f64 = 2.0;

impl Raft {
    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(state) => Some(state),
            _ => None,
        }
    }

    /// Puts a command of the host's on the log; where it will stand if it is agreed. `None` if this is no leader.
    pub fn propose(&mut self, now: f64, command: Vec<u8>) -> Result<LogPosition, RaftError> {
        if !self.is_leader() {
            return Err(RaftError::NotLeader);
        }
        Ok(self.append_own(now, EntryPayload::Command(command)))
    }

    /// Appends an entry as the leader, and sends it.
    pub(super) fn append_own(&mut self, now: f64, payload: EntryPayload) -> LogPosition {
        let entry = Entry::after(&self.log.last_position(), self.term, payload);
        let position = entry.position;
        self.push(entry);
        self.replicate(now, false);
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
        // Guards against a leader that was cut off and believes on: it stops, and says so to who asks it.
        if !self.has_quorum_contact(now, state) {
            return self.step_down(now, None);
        }
        let heartbeat_s = self.timing.heartbeat_s;
        let Some(state) = self.leader_state() else {
            return;
        };
        state.next_heartbeat = now + heartbeat_s;
        state.round += 1;
        state.catch_up_left = MAX_CATCH_UP_BYTES;
        self.replicate(now, true);
    }

    /// A majority has answered lately, or the term is too young to tell.
    fn has_quorum_contact(&self, now: f64, state: &LeaderState) -> bool {
        let window_s = CONTACT_TIMEOUTS * self.timing.election_timeout_s;
        let in_contact = |voter: &Voter| {
            let progress = state.progress_of(voter);
            voter.member == self.id
                || progress.is_some_and(|progress| now < progress.last_contact + window_s)
        };
        now < state.began + window_s || self.is_quorum(in_contact)
    }
}
