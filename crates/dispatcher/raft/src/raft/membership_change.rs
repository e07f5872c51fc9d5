//! Changes of the voters, one voter at a time (thesis, 4.1): any majority of the old voters and any majority of the new
//! ones have a member in common, so no joint configuration is needed.

use super::leader_state::LeaderState;
use super::{Raft, Role};
use crate::entry::EntryPayload;
use crate::voter::Voter;

/// A member may become a voter when it lacks at most this many entries (thesis, 4.2.1).
const MAX_LAG_ENTRIES: u64 = 4;
/// And when its last answer is at most this old, seconds.
const RECENT_CONTACT_S: f64 = 0.5;

impl Raft {
    /// Moves the voters one step towards the `wanted` members, if this member leads and no change is in progress:
    /// removes a voter that is not wanted or whose disk was replaced, or else adds a wanted member that has caught up.
    /// The host calls this regularly until the voters are as wanted.
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
            self.append_and_replicate(now, EntryPayload::Voters(voters));
        }
    }

    /// Two changes at once, or a change before this term has committed an entry, could yield two disjoint majorities
    /// (Ongaro, "bug in single-server membership changes", raft-dev, 2015).
    fn may_reconfigure(&self, state: &LeaderState) -> bool {
        let current = self.log.voters();
        current.since_index <= self.commit_index && self.commit_index > state.previous_index
    }

    /// The voters without the first one that is to be removed; `None` if there is none, or only one voter.
    fn voters_without_one(&self, now: f64, wanted: &[u64]) -> Option<Vec<Voter>> {
        let voters = self.voters();
        if voters.len() <= 1 {
            return None;
        }
        let is_replaced =
            |voter: &Voter| *voter != self.own_voter() && self.peers.is_disk_replaced(now, voter);
        let removed = voters
            .iter()
            .find(|voter| !wanted.contains(&voter.member) || is_replaced(voter))?;
        let remaining = voters.iter().filter(|voter| *voter != removed);
        Some(remaining.copied().collect())
    }

    /// The voters with the first wanted member that is none yet and has caught up.
    fn voters_with_one_more(
        &self,
        now: f64,
        wanted: &[u64],
        state: &LeaderState,
    ) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let added = wanted
            .iter()
            .filter(|member| voters.iter().all(|voter| voter.member != **member))
            .find_map(|member| self.caught_up_voter(now, *member, state))?;
        let mut more = voters.to_vec();
        more.push(added);
        more.sort_unstable();
        Some(more)
    }

    /// A member as a voter, if it has caught up: otherwise no entry could be committed until it has.
    fn caught_up_voter(&self, now: f64, member: u64, state: &LeaderState) -> Option<Voter> {
        if member == self.id {
            return Some(self.own_voter());
        }
        let snapshot_index = self.log.snapshot_position().index;
        let last_index = self.log.last_position().index;
        let progress = state.followers.get(&member)?;
        let match_index = progress.match_index;
        let is_caught_up = match_index >= snapshot_index
            && match_index + MAX_LAG_ENTRIES >= last_index
            && match_index > 0;
        let recent_contact = now < progress.last_contact + RECENT_CONTACT_S;
        (is_caught_up && recent_contact).then_some(Voter {
            member,
            disk: progress.disk,
        })
    }
}
