//! Detection of a disk that was rolled back to an older copy of itself.
//!
//! Raft assumes that stable storage never loses a record. A restored backup or a reverted virtual disk violates this:
//! the votes and entries that were acknowledged since the copy are lost, which can lead to two leaders in one term or
//! to the loss of a committed entry. The other members know how many records the disk has held
//! ([`DiskWatermark`](crate::DiskWatermark)). A member that starts with a disk that is not blank therefore queries them
//! first, and neither votes nor acknowledges entries until enough of them have answered. Rollback protection of trusted
//! storage has the same problem and the same solution (Matetic et al., ROTE, USENIX Security 2017).

use std::collections::BTreeSet;

use super::Raft;
use crate::disk_record::DiskWatermark;
use crate::error::RaftError;
use crate::message::MessageBody;
use crate::voter::Voter;

/// Shortest duration of a check that ends before all voters have answered, seconds.
const MIN_CHECK_S: f64 = 1.0;
/// Interval between two queries, seconds.
pub(super) const QUERY_INTERVAL_S: f64 = 0.2;

/// A running check of this member's disk.
#[derive(Clone, Debug)]
pub(super) struct RollbackCheck {
    /// When the check began, seconds.
    since_s: f64,
    /// When the next query is due, seconds.
    pub(super) next_query_s: f64,
    /// Identifiers of the members that have answered this process.
    answered: BTreeSet<u64>,
}

impl RollbackCheck {
    /// Creates a check that begins at `now_s`.
    pub(super) fn new(now_s: f64) -> RollbackCheck {
        RollbackCheck {
            since_s: now_s,
            next_query_s: now_s,
            answered: BTreeSet::new(),
        }
    }
}

impl Raft {
    /// The known watermarks of the voters' disks. The votes and acknowledgements that count are only on those disks.
    pub(super) fn voters_watermarks(&self) -> Vec<DiskWatermark> {
        let voters = self.voters();
        self.watermarks
            .filter(|disk| voters.iter().any(|voter| voter.disk == disk))
    }

    /// Ends the check once enough members have answered; otherwise repeats the query when it is due.
    pub(super) fn tick_rollback_check(&mut self, now_s: f64) {
        let Some(check) = &self.rollback_check else {
            return;
        };
        if self.is_rollback_check_complete(now_s, check) {
            self.rollback_check = None;
        } else if now_s >= check.next_query_s {
            self.query_disk(false);
            if let Some(check) = &mut self.rollback_check {
                check.next_query_s = now_s + QUERY_INTERVAL_S;
            }
        }
    }

    /// Whether enough members have answered: all other voters, or a majority of the voters (this member counted) that
    /// includes the current leader, whose log holds everything that was acknowledged to earlier leaders. A minority is
    /// not enough, because it may lack records that only a partitioned member knows of.
    fn is_rollback_check_complete(&self, now_s: f64, check: &RollbackCheck) -> bool {
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
        let has_current_leader = leader_answered && self.leader_contact_s >= check.since_s;
        let has_majority = 2 * (answered + 1) > others.len() + 1;
        has_current_leader && has_majority && now_s >= check.since_s + MIN_CHECK_S
    }

    /// The identifiers of the other voters. A member without a log uses the initial voters: if its disk holds a term,
    /// it may have voted in an election among them.
    fn other_voters_or_initial(&self) -> Vec<u64> {
        let mut voters: Vec<u64> = self.voters().iter().map(|voter| voter.member).collect();
        if voters.is_empty() {
            voters = self.initial_voters.clone();
        }
        voters.retain(|member| *member != self.id);
        voters
    }

    /// Asks all other members for their watermark of this member's disk.
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

    /// Compares another member's watermark of this member's disk with the number of records written to it.
    pub(super) fn receive_disk_report(&mut self, from: u64, nonce: u64, records_known: u64) {
        if nonce != self.nonce {
            return;
        }
        // `records_written` counts the records written since the start in addition to those that the disk held then, so
        // the comparison stays valid.
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
