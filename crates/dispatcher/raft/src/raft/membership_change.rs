//! Changes of the voters, one at a time.

use super::progress::LeaderState;
use super::{Raft, Role};
use crate::entry::EntryPayload;
use crate::voter::Voter;

/// A member may become a voter when it lacks at most so many entries.
const MAX_LAG: u64 = 4;
/// And when it was heard this lately, seconds.
const RECENT_CONTACT_S: f64 = 0.5;

impl Raft {
    /// Moves the voters one step towards `wanted`, if no change is under way: out whoever is not wanted or has lost
    /// its disk, in whoever has caught up.
    pub fn reconfigure(&mut self, now: f64, wanted: &[u64]) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        if wanted.is_empty() || !self.may_reconfigure(state) {
            return;
        }
        let change = self
            .voters_without_one(now, wanted)
            .or_else(|| self.voters_with_one_more(now, wanted, state));
        if let Some(voters) = change {
            self.append_own(now, EntryPayload::Voters(voters));
        }
    }

    /// Guards against two changes at once, and against one before this term has agreed on anything (Ongaro,
    /// raft-dev, 2015).
    fn may_reconfigure(&self, state: &LeaderState) -> bool {
        let (_, changed_at) = self.log.voters();
        changed_at <= self.commit_index && self.commit_index > state.previous_index
    }

    /// The voters without the first one that is to go.
    fn voters_without_one(&self, now: f64, wanted: &[u64]) -> Option<Vec<Voter>> {
        let voters = self.voters();
        if voters.len() <= 1 {
            return None;
        }
        let lost = |voter: &Voter| *voter != self.own_voter() && self.is_disk_lost(now, voter);
        let leaves = voters
            .iter()
            .find(|voter| !wanted.contains(&voter.member) || lost(voter))?;
        Some(
            voters
                .iter()
                .filter(|voter| *voter != leaves)
                .copied()
                .collect(),
        )
    }

    /// The voters with the first one that is missing and ready.
    fn voters_with_one_more(
        &self,
        now: f64,
        wanted: &[u64],
        state: &LeaderState,
    ) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let missing = wanted
            .iter()
            .filter(|member| voters.iter().all(|voter| voter.member != **member));
        let new = missing
            .filter_map(|member| self.ready_voter(now, *member, state))
            .next()?;
        let mut more = voters.to_vec();
        more.push(new);
        more.sort_unstable();
        Some(more)
    }

    /// A member as a voter, if it has caught up.
    fn ready_voter(&self, now: f64, member: u64, state: &LeaderState) -> Option<Voter> {
        if member == self.id {
            return Some(self.own_voter());
        }
        let (base, last) = (
            self.log.snapshot_position().index,
            self.log.last_position().index,
        );
        let progress = state.followers.get(&member)?;
        let match_index = progress.match_index;
        let caught_up = match_index >= base && match_index + MAX_LAG >= last && match_index > 0;
        let recent_contact = now < progress.last_contact + RECENT_CONTACT_S;
        (caught_up && recent_contact).then_some(Voter {
            member,
            disk: progress.disk,
        })
    }
}
