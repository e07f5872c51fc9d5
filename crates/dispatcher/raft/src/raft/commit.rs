//! Advance of the commit index.

use super::{Raft, Role};
use crate::entry::Voter;

impl Raft {
    /// Moves on what is agreed: synced at a majority, and of this term (Raft, 5.4.2).
    pub(super) fn advance_commit(&mut self, now: f64) {
        let Some(index) = self.quorum_index() else {
            return;
        };
        if index <= self.commit || !self.is_of_own_term(index) {
            return;
        }
        self.commit = index;
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
            .mark(index)
            .is_some_and(|mark| mark.term == self.term)
    }

    /// The highest index that is synced at a majority. `None` if this is no leader.
    fn quorum_index(&self) -> Option<u64> {
        let Role::Leader(state) = &self.role else {
            return None;
        };
        let myself = self.myself();
        let synced = |voter: &Voter| match *voter == myself {
            true => self.persisted_index,
            false => state.of_voter(voter).map_or(0, |progress| progress.matched),
        };
        self.quorum_value(synced)
    }

    /// It is agreed that this member does not vote.
    fn is_removed(&self) -> bool {
        let (voters, said_at) = self.log.voters();
        !voters.contains(&self.myself()) && said_at <= self.commit
    }
}
