//! Bootstrap: the first entry of a new log.

use super::Raft;
use crate::disk_record::DiskRecord;
use crate::entry::{Entry, EntryPayload};
use crate::log_position::LogPosition;
use crate::voter::Voter;

/// Time after its last message for which an initial voter counts as reachable, seconds.
const REACHABLE_S: f64 = 3.0;
/// The term of the first entry.
const FIRST_TERM: u64 = 1;

impl Raft {
    /// Announces the blank disk to the other members. The first initial voter writes the first entry, once all initial
    /// voters are reachable with blank disks and no known member belongs to a log. Otherwise there could be two logs
    /// with different histories.
    pub(super) fn bootstrap(&mut self, now_s: f64) {
        self.query_disk(true);
        if self.initial_voters.first() != Some(&self.id) {
            return;
        }
        let Some(mut voters) = self.blank_initial_voters(now_s) else {
            return;
        };
        if !self.peers.are_all_blank() {
            return;
        }
        voters.sort_unstable();
        let payload = EntryPayload::Voters(voters);
        let entry = Entry::after(&LogPosition::default(), FIRST_TERM, payload);
        self.term = FIRST_TERM;
        self.write(DiskRecord::Term {
            term: FIRST_TERM,
            vote: None,
        });
        self.append(entry);
        self.start_pre_vote(now_s);
    }

    /// All initial voters with their disks. `None` if one of them is unreachable or belongs to a log.
    fn blank_initial_voters(&self, now_s: f64) -> Option<Vec<Voter>> {
        self.initial_voters
            .iter()
            .map(|member| self.blank_initial_voter(now_s, *member))
            .collect()
    }

    fn blank_initial_voter(&self, now_s: f64, member: u64) -> Option<Voter> {
        if member == self.id {
            return Some(self.own_voter());
        }
        let peer = self.peers.get(member)?;
        let is_reachable = now_s < peer.last_contact_s + REACHABLE_S;
        (peer.is_blank && is_reachable).then_some(Voter {
            member,
            disk: peer.disk,
        })
    }
}
