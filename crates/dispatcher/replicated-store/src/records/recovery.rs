//! Recovery of a replica that has just started: all other members send it their records, in pages, so that it learns
//! what its former process may have granted.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::record::{Record, RecordCopy};
use super::{RecordReplica, WorkItemName, CLAIM_TIMEOUT_S};

/// Records in one page.
const PAGE_RECORDS: usize = 1000;
/// Interval of requests, seconds.
const REQUEST_INTERVAL_S: f64 = 0.25;
/// Claims that a former process granted have ended after this many times `CLAIM_TIMEOUT_S`: the rates of clocks
/// differ little.
const FORMER_CLAIMS_FACTOR: f64 = 1.5;

/// A page of a member's records, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The name after which the page begins.
    pub after: Option<WorkItemName>,
    /// The records.
    pub records: Vec<RecordCopy>,
    /// Whether no records follow.
    pub is_last: bool,
}

/// A request for the records of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsRequest {
    /// The member that is asked.
    pub to: u64,
    /// The name after which the page begins; `None` for the first page.
    pub after: Option<WorkItemName>,
}

/// Progress of the recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    /// The members that have sent all records.
    complete: BTreeSet<u64>,
    /// The last name received from each of the others.
    received_up_to: BTreeMap<u64, Option<WorkItemName>>,
    next_request: f64,
}

impl Recovery {
    pub(super) fn new(now: f64) -> Recovery {
        Recovery {
            complete: BTreeSet::new(),
            received_up_to: BTreeMap::new(),
            next_request: now + FORMER_CLAIMS_FACTOR * CLAIM_TIMEOUT_S,
        }
    }

    fn position(&self, member: u64) -> Option<WorkItemName> {
        self.received_up_to.get(&member).copied().flatten()
    }

    /// Whether a page is the next one missing from a member.
    fn expects(&self, from: u64, page: &RecordPage) -> bool {
        self.position(from) == page.after && !self.complete.contains(&from)
    }
}

impl RecordReplica {
    /// When records are to be requested next, seconds; infinite once the replica is ready.
    pub fn deadline(&self, now: f64) -> f64 {
        match self.is_ready(now) {
            true => f64::INFINITY,
            false => self.recovery.next_request,
        }
    }

    /// The requests that are due.
    pub fn recovery_requests(&mut self, now: f64, others: &[u64]) -> Vec<RecordsRequest> {
        if self.is_ready(now) || now < self.recovery.next_request {
            return Vec::new();
        }
        self.recovery.next_request = now + REQUEST_INTERVAL_S;
        let recovery = &self.recovery;
        let missing = others
            .iter()
            .copied()
            .filter(|member| !recovery.complete.contains(member));
        missing
            .map(|to| RecordsRequest {
                to,
                after: recovery.position(to),
            })
            .collect()
    }

    /// The page of records after a name. `None` unless this replica is ready: it may lack records.
    pub fn page(&mut self, now: f64, after: Option<WorkItemName>) -> Option<RecordPage> {
        self.remove_expired(now);
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

    /// Takes a member's page. Once all `others` have sent all their records, this replica is ready.
    pub fn receive_page(&mut self, now: f64, from: u64, page: RecordPage, others: &[u64]) {
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
            .all(|member| self.recovery.complete.contains(member))
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
