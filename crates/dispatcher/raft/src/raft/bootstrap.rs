//! The first entry of a new log.

use super::Raft;
use crate::disk_record::DiskRecord;
use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::voter::Voter;

/// A founder's blank disk counts as heard of for so long, seconds.
const PEER_FRESH_S: f64 = 3.0;
const FIRST_TERM: u64 = 1;

impl Raft {
    /// The first founder begins the log once all founders are there with blank disks.
    pub(super) fn bootstrap(&mut self, now: f64) {
        self.query_disk(true);
        if self.initial_voters.first() != Some(&self.id) {
            return;
        }
        let Some(mut voters) = self.blank_initial_voters(now) else {
            return;
        };
        // Nobody anywhere may belong to a log already.
        if self.peers.values().any(|peer| !peer.blank) {
            return;
        }
        voters.sort_unstable();
        let entry = Entry::after(
            &LogPosition::default(),
            FIRST_TERM,
            EntryPayload::Voters(voters),
        );
        self.term = FIRST_TERM;
        self.write(DiskRecord::Term {
            term: FIRST_TERM,
            vote: None,
        });
        self.push(entry);
        self.start_election(now, true);
    }

    /// All founders with their disks; `None` while one is not there with a blank one.
    fn blank_initial_voters(&self, now: f64) -> Option<Vec<Voter>> {
        self.initial_voters
            .iter()
            .map(|member| self.blank_initial_voter(now, *member))
            .collect()
    }

    fn blank_initial_voter(&self, now: f64, member: u64) -> Option<Voter> {
        if member == self.id {
            return Some(self.own_voter());
        }
        let peer = self.peers.get(&member)?;
        let fresh = peer.blank && now < peer.last_contact + PEER_FRESH_S;
        fresh.then_some(Voter {
            member,
            disk: peer.disk,
        })
    }
}
