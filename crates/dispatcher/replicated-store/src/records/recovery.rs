//! How a member that has just started learns what it may have granted: all others send it their records, in pages.

use super::record::{Record, RecordCopy};
use super::{Holder, Name, CLAIM_S};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Records in one page.
const PAGE_RECORDS: usize = 1000;
/// Interval of requests, seconds.
const REQUEST_INTERVAL_S: f64 = 0.25;
/// What a former process granted is over after so many times `CLAIM_S`: clocks differ in rate by little.
const FORMER_CLAIMS_FACTOR: f64 = 1.5;

/// A part of another's records, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The name behind which the page begins.
    pub after: Option<Name>,
    /// The records.
    pub records: Vec<RecordCopy>,
    /// There are no more behind it.
    pub is_last: bool,
}

/// Whose records have been received.
#[derive(Debug)]
pub(super) struct Recovery {
    /// From whom all are here.
    complete: BTreeSet<u64>,
    /// Of the others, up to which name they are.
    received_up_to: BTreeMap<u64, Option<Name>>,
    next_request: f64,
}

impl Recovery {
    pub(super) fn new(now: f64) -> Recovery {
        Recovery {
            complete: BTreeSet::new(),
            received_up_to: BTreeMap::new(),
            next_request: now + FORMER_CLAIMS_FACTOR * CLAIM_S,
        }
    }

    fn position(&self, who: u64) -> Option<Name> {
        self.received_up_to.get(&who).copied().flatten()
    }

    /// A page from one is the next that is missing.
    fn expects(&self, from: u64, page: &RecordPage) -> bool {
        self.position(from) == page.after && !self.complete.contains(&from)
    }
}

impl Holder {
    /// When records are to be asked for next.
    pub fn due(&self, now: f64) -> f64 {
        match self.is_ready(now) {
            true => f64::INFINITY,
            false => self.recovery.next_request,
        }
    }

    /// Whom to ask now for their records, and from behind which name on.
    pub fn recovery_requests(&mut self, now: f64, others: &[u64]) -> Vec<(u64, Option<Name>)> {
        if self.is_ready(now) || now < self.recovery.next_request {
            return Vec::new();
        }
        self.recovery.next_request = now + REQUEST_INTERVAL_S;
        let recovery = &self.recovery;
        let missing = others
            .iter()
            .copied()
            .filter(|who| !recovery.complete.contains(who));
        missing.map(|who| (who, recovery.position(who))).collect()
    }

    /// The page of records behind a name. `None` from one that may have forgotten something.
    pub fn page(&mut self, now: f64, after: Option<Name>) -> Option<RecordPage> {
        self.sweep(now);
        if !self.is_ready(now) {
            return None;
        }
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.records.range((from, Bound::Unbounded));
        let page = rest.by_ref().take(PAGE_RECORDS);
        let records = page
            .map(|(name, record)| record.to_copy(*name, now))
            .collect();
        Some(RecordPage {
            after,
            records,
            is_last: rest.next().is_none(),
        })
    }

    /// Takes another's page; once all others have sent all, claims are granted.
    pub fn take_page(&mut self, now: f64, from: u64, page: RecordPage, others: &[u64]) {
        if self.is_ready(now) || !self.recovery.expects(from, &page) {
            return;
        }
        let last = page.records.last().map(|copy| copy.name).or(page.after);
        for copy in page.records {
            self.take_copy(now, copy);
        }
        self.recovery.received_up_to.insert(from, last);
        if page.is_last {
            self.recovery.complete.insert(from);
        }
        if others
            .iter()
            .all(|who| self.recovery.complete.contains(who))
        {
            self.ready_at = now;
        }
    }

    fn take_copy(&mut self, now: f64, copy: RecordCopy) {
        let name = copy.name;
        let mut record = Record::from_copy(copy, now, self.retention_s);
        if now >= record.until {
            return;
        }
        if let Some(own) = self.records.get(&name) {
            record = own.clone().merge(record);
        }
        self.insert(name, record);
    }
}
