//! The first entry of a new log.

use super::Raft;
use crate::entry::{Entry, EntryPayload, Mark, Voter};
use crate::record::DiskRecord;

/// A founder's blank disk counts as heard of for so long, seconds.
const FOUNDER_FRESH_S: f64 = 3.0;
const FIRST_TERM: u64 = 1;

impl Raft {
    /// The first founder begins the log once all founders are there with blank disks.
    pub(super) fn found(&mut self, now: f64) {
        self.query_disk(true);
        if self.founders.first() != Some(&self.me) {
            return;
        }
        let Some(mut voters) = self.founding_voters(now) else {
            return;
        };
        // Nobody anywhere may belong to a log already.
        if self.peers.values().any(|peer| !peer.blank) {
            return;
        }
        voters.sort_unstable();
        let entry = Entry::after(&Mark::default(), FIRST_TERM, EntryPayload::Voters(voters));
        self.term = FIRST_TERM;
        self.write(DiskRecord::Term {
            term: FIRST_TERM,
            vote: None,
        });
        self.push(entry);
        self.start_election(now, true);
    }

    /// All founders with their disks; `None` while one is not there with a blank one.
    fn founding_voters(&self, now: f64) -> Option<Vec<Voter>> {
        self.founders
            .iter()
            .map(|who| self.founding_voter(now, *who))
            .collect()
    }

    fn founding_voter(&self, now: f64, who: u64) -> Option<Voter> {
        if who == self.me {
            return Some(self.myself());
        }
        let peer = self.peers.get(&who)?;
        let fresh = peer.blank && now < peer.heard + FOUNDER_FRESH_S;
        fresh.then_some(Voter {
            who,
            disk: peer.disk,
        })
    }
}
