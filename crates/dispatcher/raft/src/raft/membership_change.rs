//! Changes the voters, one voter at a time (thesis, 4.1). Any majority of the old voters and any majority of the new
//! voters then have a voter in common, so joint consensus is not needed.

use super::leader_state::LeaderState;
use super::{Raft, Role};
use crate::entry::EntryPayload;
use crate::voter::Voter;

/// A member may become a voter only if it lacks at most this many entries (thesis, 4.2.1).
const MAX_LAG_ENTRIES: u64 = 4;
/// A member may become a voter only if its last reply is more recent than this, seconds.
const RECENT_CONTACT_S: f64 = 0.5;

impl Raft {
    /// Changes the voters by one towards the `wanted` members, if this member leads and no change is in progress. It
    /// removes a voter that is not wanted or whose disk was replaced; if there is none, it adds a wanted member that
    /// has caught up. The host calls this regularly until the voters are the wanted ones.
    pub fn reconfigure(&mut self, now_s: f64, wanted: &[u64]) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        if wanted.is_empty() || !self.may_reconfigure(state) {
            return;
        }
        let change = self
            .voters_without_one(now_s, wanted)
            .or_else(|| self.voters_with_one_more(now_s, wanted, state));
        if let Some(voters) = change {
            self.append_and_replicate(now_s, EntryPayload::Voters(voters));
        }
    }

    /// Whether a change may begin: the last change is committed, and so is an entry of this term. Two concurrent
    /// changes, or a change before this term has committed an entry, could lead to two disjoint majorities (Ongaro,
    /// "bug in single-server membership changes", raft-dev, 2015).
    fn may_reconfigure(&self, state: &LeaderState) -> bool {
        let current = self.log.voters();
        current.since_index <= self.commit_index && self.commit_index > state.previous_index
    }

    /// The voters without the first one that is to be removed. `None` if no voter is to be removed, or if there is only
    /// one voter.
    fn voters_without_one(&self, now_s: f64, wanted: &[u64]) -> Option<Vec<Voter>> {
        let voters = self.voters();
        if voters.len() <= 1 {
            return None;
        }
        let is_replaced =
            |voter: &Voter| *voter != self.own_voter() && self.peers.is_disk_replaced(now_s, voter);
        let removed = voters
            .iter()
            .find(|voter| !wanted.contains(&voter.member) || is_replaced(voter))?;
        let remaining = voters.iter().filter(|voter| *voter != removed);
        Some(remaining.copied().collect())
    }

    /// The voters with the first wanted member that is not a voter yet and has caught up. `None` if there is no such
    /// member.
    fn voters_with_one_more(
        &self,
        now_s: f64,
        wanted: &[u64],
        state: &LeaderState,
    ) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let added = wanted
            .iter()
            .filter(|member| voters.iter().all(|voter| voter.member != **member))
            .find_map(|member| self.caught_up_voter(now_s, *member, state))?;
        let mut extended = voters.to_vec();
        extended.push(added);
        extended.sort_unstable();
        Some(extended)
    }

    /// The voter that a member would become, if the member has caught up. With a voter that has not caught up, commits
    /// could stall until it has.
    fn caught_up_voter(&self, now_s: f64, member: u64, state: &LeaderState) -> Option<Voter> {
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
        let has_recent_contact = now_s < progress.last_contact_s + RECENT_CONTACT_S;
        (is_caught_up && has_recent_contact).then_some(Voter {
            member,
            disk: progress.disk,
        })
    }
}
