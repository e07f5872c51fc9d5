//! Recovery of a replica that has just started. All other members send it their records in pages, so that it knows
//! which claims its earlier process may have granted.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use serde::{Deserialize, Serialize};

use super::record::{Record, RecordCopy};
use super::{RecordReplica, WorkItemName, CLAIM_TIMEOUT_S};

/// Largest number of records in one page.
const PAGE_RECORDS: usize = 1000;
/// Interval between two requests to a member, seconds.
const REQUEST_INTERVAL_S: f64 = 0.25;
/// After this multiple of `CLAIM_TIMEOUT_S`, every claim that an earlier process granted has succeeded or timed out at
/// its owner. The factor exceeds 1 because the rates of the members' clocks differ a little.
const FORMER_CLAIMS_FACTOR: f64 = 1.5;

/// A page of a member's records, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Name after which the page begins; `None` in the first page.
    pub after: Option<WorkItemName>,
    /// The records, in ascending order of their names.
    pub records: Vec<RecordCopy>,
    /// Whether this is the member's last page.
    pub is_last: bool,
}

/// A request for the records of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordsRequest {
    /// Identifier of the member that receives the request.
    pub to: u64,
    /// Name after which the page begins; `None` for the first page.
    pub after: Option<WorkItemName>,
}

/// Progress of a replica's recovery.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Identifiers of the members that have sent all their records.
    complete: BTreeSet<u64>,
    /// The last name received from each other member.
    received_up_to: BTreeMap<u64, Option<WorkItemName>>,
    next_request_s: f64,
}

impl Recovery {
    pub(super) fn new(now_s: f64) -> Recovery {
        Recovery {
            complete: BTreeSet::new(),
            received_up_to: BTreeMap::new(),
            next_request_s: now_s + FORMER_CLAIMS_FACTOR * CLAIM_TIMEOUT_S,
        }
    }

    fn position(&self, member: u64) -> Option<WorkItemName> {
        self.received_up_to.get(&member).copied().flatten()
    }

    /// Whether a page is the next missing page of a member.
    fn expects(&self, from: u64, page: &RecordPage) -> bool {
        self.position(from) == page.after && !self.complete.contains(&from)
    }
}

impl RecordReplica {
    /// The time at which records must be requested next, seconds; infinite once the replica is ready.
    pub fn deadline(&self, now_s: f64) -> f64 {
        match self.is_ready(now_s) {
            true => f64::INFINITY,
            false => self.recovery.next_request_s,
        }
    }

    /// Returns the requests that are due.
    pub fn recovery_requests(&mut self, now_s: f64, others: &[u64]) -> Vec<RecordsRequest> {
        if self.is_ready(now_s) || now_s < self.recovery.next_request_s {
            return Vec::new();
        }
        self.recovery.next_request_s = now_s + REQUEST_INTERVAL_S;
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

    /// Returns the page of records after a name. `None` if this replica is not ready, because it may lack records.
    pub fn page(&mut self, now_s: f64, after: Option<WorkItemName>) -> Option<RecordPage> {
        self.remove_expired(now_s);
        if !self.is_ready(now_s) {
            return None;
        }
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.records.range((from, Bound::Unbounded));
        let page = rest.by_ref().take(PAGE_RECORDS);
        let records = page
            .map(|(name, record)| record.to_copy(*name, now_s))
            .collect();
        Some(RecordPage {
            after,
            records,
            is_last: rest.next().is_none(),
        })
    }

    /// Processes a member's page. This replica is ready once all `others` have sent all their records.
    pub fn receive_page(&mut self, now_s: f64, from: u64, page: RecordPage, others: &[u64]) {
        if self.is_ready(now_s) || !self.recovery.expects(from, &page) {
            return;
        }
        let last = page.records.last().map(|copy| copy.name).or(page.after);
        for copy in page.records {
            self.merge_copy(now_s, copy);
        }
        self.recovery.received_up_to.insert(from, last);
        if page.is_last {
            self.recovery.complete.insert(from);
        }
        if others
            .iter()
            .all(|member| self.recovery.complete.contains(member))
        {
            self.ready_s = now_s;
        }
    }

    fn merge_copy(&mut self, now_s: f64, copy: RecordCopy) {
        let name = copy.name;
        let mut record = Record::from_copy(copy, now_s, self.retention_s);
        if now_s >= record.expires_s {
            return;
        }
        if let Some(own) = self.records.get(&name) {
            record = own.clone().merge(record);
        }
        self.insert(name, record);
    }
}
