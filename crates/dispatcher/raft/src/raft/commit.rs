//! Advances the commit index (Raft, 5.3 and 5.4.2).

use super::replication::Occasion;
use super::{Raft, Role};
use crate::voter::Voter;

impl Raft {
    /// Commits the entries that are synced at a majority, if the last of them is of the current term (Raft, 5.4.2).
    pub(super) fn advance_commit(&mut self, now_s: f64) {
        let Some(index) = self.quorum_index() else {
            return;
        };
        if index <= self.commit_index || !self.is_of_current_term(index) {
            return;
        }
        self.commit_index = index;
        self.replicate(now_s, Occasion::Heartbeat);
        if self.is_removed() {
            // A leader that was removed from the voters leads until its removal is committed (thesis, 4.2.2).
            return self.step_down(now_s, None);
        }
        self.answer_reads();
    }

    /// Whether the entry at an index is of the current term.
    pub(super) fn is_of_current_term(&self, index: u64) -> bool {
        self.log
            .position_at(index)
            .is_some_and(|position| position.term == self.term)
    }

    /// The highest index that is synced at a majority. `None` unless this member leads.
    fn quorum_index(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let own_voter = self.own_voter();
        let synced = |voter: &Voter| match *voter == own_voter {
            true => self.persisted_index,
            false => state
                .progress_of(voter)
                .map_or(0, |progress| progress.match_index),
        };
        self.quorum_value(synced)
    }

    /// Whether a committed change of the voters has removed this member.
    fn is_removed(&self) -> bool {
        let current = self.log.voters();
        !current.voters.contains(&self.own_voter()) && current.since_index <= self.commit_index
    }
}
