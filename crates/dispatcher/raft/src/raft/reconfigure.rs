//! Changes of the voters, one at a time.

use super::progress::LeaderState;
use super::{Raft, Role};
use crate::entry::{EntryPayload, Voter};

/// A member may become a voter when it lacks at most so many entries.
const MAX_LAG: u64 = 4;
/// And when it was heard this lately, seconds.
const HEARD_LATELY_S: f64 = 0.5;

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
            .without_one(now, wanted)
            .or_else(|| self.with_one_more(now, wanted, state));
        if let Some(voters) = change {
            self.append_own(now, EntryPayload::Voters(voters));
        }
    }

    /// Guards against two changes at once, and against one before this term has agreed on anything (Ongaro,
    /// raft-dev, 2015).
    fn may_reconfigure(&self, state: &LeaderState) -> bool {
        let (_, said_at) = self.log.voters();
        said_at <= self.commit && self.commit > state.previous_index
    }

    /// The voters without the first one that is to go.
    fn without_one(&self, now: f64, wanted: &[u64]) -> Option<Vec<Voter>> {
        let voters = self.voters();
        if voters.len() <= 1 {
            return None;
        }
        let lost = |voter: &Voter| *voter != self.myself() && self.is_disk_lost(now, voter);
        let leaves = voters
            .iter()
            .find(|voter| !wanted.contains(&voter.who) || lost(voter))?;
        Some(
            voters
                .iter()
                .filter(|voter| *voter != leaves)
                .copied()
                .collect(),
        )
    }

    /// The voters with the first one that is missing and ready.
    fn with_one_more(&self, now: f64, wanted: &[u64], state: &LeaderState) -> Option<Vec<Voter>> {
        let voters = self.voters();
        let missing = wanted
            .iter()
            .filter(|who| voters.iter().all(|voter| voter.who != **who));
        let new = missing
            .filter_map(|who| self.ready_voter(now, *who, state))
            .next()?;
        let mut more = voters.to_vec();
        more.push(new);
        more.sort_unstable();
        Some(more)
    }

    /// A member as a voter, if it has caught up.
    fn ready_voter(&self, now: f64, who: u64, state: &LeaderState) -> Option<Voter> {
        if who == self.me {
            return Some(self.myself());
        }
        let (base, last) = (self.log.base().index, self.log.last().index);
        let progress = state.followers.get(&who)?;
        let matched = progress.matched;
        let caught_up = matched >= base && matched + MAX_LAG >= last && matched > 0;
        let heard_lately = now < progress.heard + HEARD_LATELY_S;
        (caught_up && heard_lately).then_some(Voter {
            who,
            disk: progress.disk,
        })
    }
}
