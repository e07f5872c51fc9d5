//! The records that a member keeps as a replica.

use super::record::{ClaimId, ClaimReply, Ended, Owner, Record};
use super::recovery::Recovery;
use super::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Records that one member keeps for all; with more it grants no claim.
const MAX_RECORDS: usize = 100_000;
/// A member that has just started waits a little longer than others keep their records: clocks differ in rate by
/// under a hundredth.
const CLOCK_RATE_MARGIN: f64 = 1.02;

/// The records that a member keeps as a replica.
pub struct Holder {
    pub(super) records: BTreeMap<Name, Record>,
    /// Names by the end of their records, in microseconds.
    expiries: BTreeSet<(u64, Name)>,
    /// From then on claims are granted.
    pub(super) ready_at: f64,
    pub(super) retention_s: f64,
    began: f64,
    pub(super) recovery: Recovery,
}

fn microseconds(at: f64) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl Holder {
    /// Records are kept `retention_s`: longer than any client may come again.
    pub fn new(now: f64, retention_s: f64) -> Holder {
        Holder {
            records: BTreeMap::new(),
            expiries: BTreeSet::new(),
            ready_at: now + CLOCK_RATE_MARGIN * retention_s,
            retention_s,
            began: now,
            recovery: Recovery::new(now),
        }
    }

    /// It knows all that it may have granted.
    pub fn is_ready(&self, now: f64) -> bool {
        now >= self.ready_at
    }

    /// From when on it grants claims.
    pub fn ready_at(&self) -> f64 {
        self.ready_at
    }

    /// For a variant that is to be caught: it grants claims from its start.
    pub fn forget_start(&mut self) {
        self.ready_at = self.began;
    }

    /// How many records it keeps.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    pub(super) fn sweep(&mut self, now: f64) {
        let now_us = microseconds(now);
        while let Some(&(until, name)) = self.expiries.first().filter(|(until, _)| *until <= now_us)
        {
            self.expiries.pop_first();
            if self
                .records
                .get(&name)
                .is_some_and(|record| microseconds(record.until) == until)
            {
                self.records.remove(&name);
            }
        }
    }

    /// Puts a record in place of what is kept under the name.
    pub(super) fn insert(&mut self, name: Name, record: Record) {
        let until = microseconds(record.until);
        if let Some(old) = self.records.insert(name, record) {
            self.expiries.remove(&(microseconds(old.until), name));
        }
        self.expiries.insert((until, name));
    }

    /// Answers a claim of a name, made by `owner` under number `no`, at step `epoch`.
    pub fn claim(&mut self, now: f64, owner: Owner, no: u64, name: Name, epoch: u32) -> ClaimReply {
        self.sweep(now);
        if !self.is_ready(now) {
            return ClaimReply::Unavailable;
        }
        let claim = ClaimId { owner, no };
        match self.records.get(&name) {
            Some(record) => {
                if let Some(reply) = record.reply_to(claim, epoch, now) {
                    return reply;
                }
            }
            None if self.records.len() >= MAX_RECORDS => return ClaimReply::Unavailable,
            None => {}
        }
        self.insert(
            name,
            Record::granted(claim, epoch, now, now + self.retention_s),
        );
        ClaimReply::Granted
    }

    /// A hand-off's end, told by who owns it. Another's, or an earlier one's, is passed over.
    pub fn ended(&mut self, owner: Owner, no: u64, name: Name, ended: Ended) {
        if let Some(record) = self.records.get_mut(&name) {
            record.end(ClaimId { owner, no }, ended);
        }
    }
}
