//! Detection of a disk that was rolled back to an older copy of itself.
//!
//! Raft assumes that stable storage never forgets. A restored backup or a reverted virtual disk does: the votes and
//! entries acknowledged since are gone, and a second leader or a lost entry can follow. Other members know how many
//! records the disk has held ([`DiskWatermark`](crate::DiskWatermark)), so a member that starts with a disk that is not
//! blank asks them first, and neither votes nor acknowledges until enough have answered. The same danger and cure as in
//! rollback protection of trusted storage (Matetic et al., ROTE, USENIX Security 2017).

use std::collections::BTreeSet;

use super::Raft;
use crate::disk_record::DiskWatermark;
use crate::error::RaftError;
use crate::message::MessageBody;
use crate::voter::Voter;

/// Shortest duration of a check that not all voters have answered, seconds.
const MIN_CHECK_S: f64 = 1.0;
/// Interval of queries, seconds.
pub(super) const QUERY_INTERVAL_S: f64 = 0.2;

/// A running check of this member's disk.
#[derive(Clone, Debug)]
pub(super) struct RollbackCheck {
    /// When the check began, seconds.
    since: f64,
    /// When the next query is due, seconds.
    pub(super) next_query: f64,
    /// The members that answered this process.
    answered: BTreeSet<u64>,
}

impl RollbackCheck {
    /// A check that begins now.
    pub(super) fn new(now: f64) -> RollbackCheck {
        RollbackCheck {
            since: now,
            next_query: now,
            answered: BTreeSet::new(),
        }
    }
}

impl Raft {
    /// The known watermarks of the voters' disks; other disks hold no votes or acknowledged entries.
    pub(super) fn voters_watermarks(&self) -> Vec<DiskWatermark> {
        let voters = self.voters();
        self.watermarks
            .filter(|disk| voters.iter().any(|voter| voter.disk == disk))
    }

    /// Ends the check once enough members have answered; queries again otherwise.
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

    /// All other voters have answered; or a majority, the current leader among them: everything acknowledged to
    /// earlier leaders is in its log. A minority may lack what a partitioned member knows.
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
        let has_current_leader = leader_answered && self.leader_contact_at >= check.since;
        let has_majority = 2 * (answered + 1) > others.len() + 1;
        has_current_leader && has_majority && now >= check.since + MIN_CHECK_S
    }

    /// The initial voters count for a member without a log: with a term on its disk it may have voted.
    fn other_voters_or_initial(&self) -> Vec<u64> {
        let mut voters: Vec<u64> = self.voters().iter().map(|voter| voter.member).collect();
        if voters.is_empty() {
            voters = self.initial_voters.clone();
        }
        voters.retain(|member| *member != self.id);
        voters
    }

    /// Asks all other members for the watermark of this disk.
    pub(super) fn query_disk(&mut self, blank: bool) {
        let query = MessageBody::DiskQuery {
            nonce: self.nonce,
            blank,
        };
        for to in self.other_members() {
            self.send(to, query.clone());
        }
    }

    /// Answers another member's query.
    pub(super) fn receive_disk_query(&mut self, from: Voter, nonce: u64) {
        let report = MessageBody::DiskReport {
            nonce,
            records_written: self.watermarks.of(from.disk),
        };
        self.send(from.member, report);
    }

    /// Compares another member's watermark of this disk with what the disk holds.
    pub(super) fn receive_disk_report(&mut self, from: u64, nonce: u64, records_known: u64) {
        if nonce != self.nonce {
            return;
        }
        // Records written since the start come on top of what the disk held then, so the comparison stays valid.
        if records_known > self.records_written {
            self.fault = Some(RaftError::DiskRolledBack {
                records_here: self.records_written,
                records_known,
            });
        }
        if let Some(check) = &mut self.rollback_check {
            check.answered.insert(from);
        }
    }
}
