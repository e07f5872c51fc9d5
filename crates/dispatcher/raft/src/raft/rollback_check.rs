//! What members remember of each other's disks, and the check of the own disk after a start. Guards against an old
//! copy of a disk: what it promised since is not on it, and others may know.

use super::Raft;
use crate::disk_record::DiskWatermark;
use crate::error::RaftError;
use crate::message::MessageBody;
use crate::voter::Voter;
use std::collections::BTreeSet;

/// A check that not all voters have answered takes at least so long, seconds.
const MIN_CHECK_S: f64 = 1.0;
/// Interval of queries, seconds.
pub(super) const QUERY_INTERVAL_S: f64 = 0.2;
/// A voter's disk that was not heard of for so long, while its member is there with another, is gone; seconds.
const DISK_LOST_S: f64 = 1.0;

/// A check of the own disk under way.
#[derive(Clone, Debug)]
pub(super) struct RollbackCheck {
    since: f64,
    pub(super) next_query: f64,
    answered: BTreeSet<u64>,
}

impl RollbackCheck {
    pub(super) fn new(now: f64) -> RollbackCheck {
        RollbackCheck {
            since: now,
            next_query: now,
            answered: BTreeSet::new(),
        }
    }
}

/// What is known of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peer {
    pub(super) disk: u64,
    pub(super) last_contact: f64,
    /// Its disk belongs to no log yet.
    pub(super) blank: bool,
}

impl Raft {
    pub(super) fn note_watermarks(&mut self, disks: Vec<DiskWatermark>) {
        disks
            .into_iter()
            .for_each(|known| self.note_watermark(known.disk, known.records_written));
    }

    pub(super) fn note_watermark(&mut self, disk: u64, records_written: u64) {
        let most = self.known_watermarks.entry(disk).or_default();
        if records_written > *most {
            *most = records_written;
            self.unsaved_watermarks.insert(disk, records_written);
        }
    }

    /// What is known of the voters' disks; the others promise nothing.
    pub(super) fn voters_watermarks(&self) -> Vec<DiskWatermark> {
        let voters = self.voters();
        let is_voter = |disk: &u64| voters.iter().any(|voter| voter.disk == *disk);
        let known = self
            .known_watermarks
            .iter()
            .filter(|(disk, _)| is_voter(disk));
        known
            .map(|(&disk, &records_written)| DiskWatermark {
                disk,
                records_written,
            })
            .collect()
    }

    /// A voter's disk is gone: the member comes with another, and this one is not heard of any more. Guards against
    /// a message of a former disk that comes late.
    pub(super) fn is_disk_lost(&self, now: f64, voter: &Voter) -> bool {
        let last_contact = self
            .disk_contact_at
            .get(voter)
            .copied()
            .unwrap_or(f64::NEG_INFINITY);
        let same_member = |other: &Voter| other.member == voter.member && other.disk != voter.disk;
        let mut replacements = self
            .disk_contact_at
            .iter()
            .filter(|(other, _)| same_member(other));
        now > last_contact + DISK_LOST_S && replacements.any(|(_, at)| now < at + 0.5 * DISK_LOST_S)
    }

    /// Ends the check once enough have answered; asks again otherwise.
    pub(super) fn tick_rollback_check(&mut self, now: f64) {
        let Some(check) = &self.rollback_check else {
            return;
        };
        if self.is_rollback_check_complete(now, check) {
            self.rollback_check = None;
        } else if now >= check.next_query {
            self.query_disk(false);
            if let Some(check) = &mut self.rollback_check {
                check.next_query = now + QUERY_INTERVAL_S;
            }
        }
    }

    /// All voters have answered; or a majority with a leader that leads now: what was promised to earlier ones is in
    /// its log. One alone may not know what another that is cut off does.
    fn is_rollback_check_complete(&self, now: f64, check: &RollbackCheck) -> bool {
        let others = self.other_voters_or_initial();
        let answered = others
            .iter()
            .filter(|member| check.answered.contains(member))
            .count();
        if answered == others.len() {
            return true;
        }
        let leader_answered = self
            .leader
            .is_some_and(|leader| check.answered.contains(&leader));
        let led = leader_answered && self.leader_contact_at >= check.since;
        let majority = 2 * (answered + 1) > others.len() + 1;
        led && majority && now >= check.since + MIN_CHECK_S
    }

    fn other_voters_or_initial(&self) -> Vec<u64> {
        let mut voters: Vec<u64> = self.voters().iter().map(|voter| voter.member).collect();
        // One that holds a term and no log may have voted all the same.
        if voters.is_empty() {
            voters = self.initial_voters.clone();
        }
        voters.retain(|member| *member != self.id);
        voters
    }

    /// Asks all others what they know of this disk.
    pub(super) fn query_disk(&mut self, blank: bool) {
        let query = MessageBody::DiskQuery {
            nonce: self.nonce,
            blank,
        };
        for to in self.other_members() {
            self.send(to, query.clone());
        }
    }

    pub(super) fn receive_disk_query(&mut self, from: Voter, nonce: u64) {
        let records_written = self.known_watermarks.get(&from.disk).copied().unwrap_or(0);
        self.send(
            from.member,
            MessageBody::DiskReport {
                nonce,
                records_written,
            },
        );
    }

    pub(super) fn receive_disk_report(&mut self, from: u64, nonce: u64, records_written: u64) {
        if nonce != self.nonce {
            return;
        }
        // What it has written since its start went on from what the disk held then.
        if records_written > self.records_written {
            self.fault = Some(RaftError::DiskRolledBack {
                records_here: self.records_written,
                records_known: records_written,
            });
        }
        if let Some(check) = &mut self.rollback_check {
            check.answered.insert(from);
        }
    }
}
