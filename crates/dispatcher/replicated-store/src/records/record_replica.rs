//! A member's part as a replica: the records it keeps, and its replies to claims.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{ClaimId, ClaimReply, Completion, Owner, Record};
use super::recovery::Recovery;
use super::WorkItemName;

/// Records that one replica keeps; with more it grants no claim of a new name.
const MAX_RECORDS: usize = 100_000;
/// A member that has just started waits longer than others keep their records by this factor: the rates of clocks differ
/// by less than a hundredth.
const CLOCK_RATE_MARGIN: f64 = 1.02;

/// The records that a member keeps as a replica.
///
/// Invariant: each record has exactly one entry in `expiries`, at its `until`.
pub struct RecordReplica {
    pub(super) records: BTreeMap<WorkItemName, Record>,
    /// Names by the expiry of their records, microseconds.
    expiries: BTreeSet<(u64, WorkItemName)>,
    /// When claims are granted from, seconds.
    pub(super) ready_at: f64,
    /// How long records are kept, seconds.
    pub(super) retention_s: f64,
    started_at: f64,
    pub(super) recovery: Recovery,
}

impl RecordReplica {
    /// An empty replica of a process that starts now. Records are kept for `retention_s`, which must exceed the time
    /// within which clients retry.
    pub fn new(now: f64, retention_s: f64) -> RecordReplica {
        RecordReplica {
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            ready_at: now + CLOCK_RATE_MARGIN * retention_s,
            retention_s,
            started_at: now,
            recovery: Recovery::new(now),
        }
    }

    /// Whether it knows everything that an earlier process of this member may have granted.
    pub fn is_ready(&self, now: f64) -> bool {
        now >= self.ready_at
    }

    /// When it grants claims from, seconds.
    pub fn ready_at(&self) -> f64 {
        self.ready_at
    }

    /// Grants claims from the start on. Unsafe; injects a defect that tests must detect.
    pub fn skip_recovery(&mut self) {
        self.ready_at = self.started_at;
    }

    /// The number of records.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Removes expired records.
    pub(super) fn remove_expired(&mut self, now: f64) {
        let now_us = microseconds(now);
        while let Some(&(until_us, name)) = self.expiries.first() {
            if until_us > now_us {
                return;
            }
            self.expiries.pop_first();
            let is_expired = self
                .records
                .get(&name)
                .is_some_and(|record| microseconds(record.until) == until_us);
            if is_expired {
                self.records.remove(&name);
            }
        }
    }

    /// Inserts a record, in place of the one under the name.
    pub(super) fn insert(&mut self, name: WorkItemName, record: Record) {
        let until_us = microseconds(record.until);
        if let Some(old) = self.records.insert(name, record) {
            self.expiries.remove(&(microseconds(old.until), name));
        }
        self.expiries.insert((until_us, name));
    }

    /// Replies to a claim of a name, the owner's claim of that `number` at an `epoch`.
    pub fn claim(
        &mut self,
        now: f64,
        owner: Owner,
        number: u64,
        name: WorkItemName,
        epoch: u32,
    ) -> ClaimReply {
        self.remove_expired(now);
        if !self.is_ready(now) {
            return ClaimReply::Unavailable;
        }
        let claim = ClaimId { owner, number };
        match self.records.get(&name) {
            Some(record) => {
                if let Some(reply) = record.reply_to(claim, epoch, now) {
                    return reply;
                }
            }
            None if self.records.len() >= MAX_RECORDS => return ClaimReply::Unavailable,
            None => {}
        }
        let record = Record::granted(claim, epoch, now, now + self.retention_s);
        self.insert(name, record);
        ClaimReply::Granted
    }

    /// Records the end of a claim's work item. The end of a claim that does not hold the name is ignored.
    pub fn complete(
        &mut self,
        owner: Owner,
        number: u64,
        name: WorkItemName,
        completion: Completion,
    ) {
        if let Some(record) = self.records.get_mut(&name) {
            record.complete(ClaimId { owner, number }, completion);
        }
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}
