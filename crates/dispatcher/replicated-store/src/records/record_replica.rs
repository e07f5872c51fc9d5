//! A member's role as a replica: the records that it keeps, and its replies to claims.

use std::collections::{BTreeMap, BTreeSet};

use super::record::{ClaimId, ClaimReply, Completion, Owner, Record};
use super::recovery::Recovery;
use super::WorkItemName;

/// Largest number of records of one replica. A replica with this many records grants no claim of a new name.
const MAX_RECORDS: usize = 100_000;
/// A member that has just started waits for the retention time times this factor before it grants claims, because the
/// clocks of members may run at different rates. The rates differ by less than one hundredth.
const CLOCK_RATE_MARGIN: f64 = 1.02;

/// The records that a member keeps as a replica.
///
/// Invariant: each record has exactly one entry in `expiries`, at its `expires_s`.
pub struct RecordReplica {
    pub(super) records: BTreeMap<WorkItemName, Record>,
    /// Expiry of each record in microseconds, and the record's name.
    expiries: BTreeSet<(u64, WorkItemName)>,
    /// Time from which this replica grants claims, seconds.
    pub(super) ready_s: f64,
    /// Time for which records are kept, seconds.
    pub(super) retention_s: f64,
    started_s: f64,
    pub(super) recovery: Recovery,
}

impl RecordReplica {
    /// Creates an empty replica of a process that starts at `now_s`. Records are kept for `retention_s` seconds, which
    /// must exceed the time within which clients retry.
    pub fn new(now_s: f64, retention_s: f64) -> RecordReplica {
        RecordReplica {
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            ready_s: now_s + CLOCK_RATE_MARGIN * retention_s,
            retention_s,
            started_s: now_s,
            recovery: Recovery::new(now_s),
        }
    }

    /// Whether the replica knows all claims that an earlier process of this member may have granted and that still
    /// matter.
    pub fn is_ready(&self, now_s: f64) -> bool {
        now_s >= self.ready_s
    }

    /// Time from which the replica grants claims, seconds.
    pub fn ready_at(&self) -> f64 {
        self.ready_s
    }

    /// Makes the replica grant claims from its start without recovery. This is unsafe: it injects a defect that tests
    /// must detect.
    pub fn skip_recovery(&mut self) {
        self.ready_s = self.started_s;
    }

    /// Returns the number of records.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Removes expired records.
    pub(super) fn remove_expired(&mut self, now_s: f64) {
        let now_us = microseconds(now_s);
        while let Some(&(expires_us, name)) = self.expiries.first() {
            if expires_us > now_us {
                return;
            }
            self.expiries.pop_first();
            let is_expired = self
                .records
                .get(&name)
                .is_some_and(|record| microseconds(record.expires_s) == expires_us);
            if is_expired {
                self.records.remove(&name);
            }
        }
    }

    /// Inserts a record, and replaces the record that has the same name.
    pub(super) fn insert(&mut self, name: WorkItemName, record: Record) {
        let expires_us = microseconds(record.expires_s);
        if let Some(old) = self.records.insert(name, record) {
            self.expiries.remove(&(microseconds(old.expires_s), name));
        }
        self.expiries.insert((expires_us, name));
    }

    /// Returns the reply to the owner's claim with this `number` of a name at an `epoch`, and records a grant.
    pub fn claim(
        &mut self,
        now_s: f64,
        owner: Owner,
        number: u64,
        name: WorkItemName,
        epoch: u32,
    ) -> ClaimReply {
        self.remove_expired(now_s);
        if !self.is_ready(now_s) {
            return ClaimReply::Unavailable;
        }
        let claim = ClaimId { owner, number };
        match self.records.get(&name) {
            Some(record) => {
                if let Some(reply) = record.reply_to(claim, epoch, now_s) {
                    return reply;
                }
            }
            None if self.records.len() >= MAX_RECORDS => return ClaimReply::Unavailable,
            None => {}
        }
        let record = Record::granted(claim, epoch, now_s, now_s + self.retention_s);
        self.insert(name, record);
        ClaimReply::Granted
    }

    /// Records the completion of a claim's work item. The completion of a claim that is not recorded under the name is
    /// ignored.
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
