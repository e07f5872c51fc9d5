//! Advance of the commit index.

use super::{Raft, Role};
use crate::voter::Voter;

impl Raft {
    /// Moves on what is agreed: synced at a majority, and of this term (Raft, 5.4.2).
    pub(super) fn advance_commit(&mut self, now: f64) {
        let Some(index) = self.quorum_index() else {
            return;
        };
        if index <= self.commit_index || !self.is_of_own_term(index) {
            return;
        }
        self.commit_index = index;
        self.replicate(now, true);
        if self.is_removed() {
            // Out by its own word: it led until that was agreed.
            return self.step_down(now, None);
        }
        self.answer_reads();
    }

    /// The entry at an index is of the current term.
    pub(super) fn is_of_own_term(&self, index: u64) -> bool {
        self.log
            .position_at(index)
            .is_some_and(|position| position.term == self.term)
    }

    /// The highest index that is synced at a majority. `None` if this is no leader.
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

    /// It is agreed that this member does not vote.
    fn is_removed(&self) -> bool {
        let (voters, changed_at) = self.log.voters();
        !voters.contains(&self.own_voter()) && changed_at <= self.commit_index
    }
}
