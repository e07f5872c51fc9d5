//! Limits that all members spend from together, split into leased parts. A few members own fixed rights to a limit, and
//! a member with work borrows from them for a limited time. The invariant, which the tests check: *the sum of the
//! amounts that all members may spend never exceeds the limit, at any instant, under any partition, pause or restart*.
//!
//! Sources: Gray and Cheriton, *Leases* (SOSP 1989): messages carry durations, not instants; O'Neil, *The Escrow
//! Transactional Method* (TODS 1986) and Balegas et al., *Extending Eventually Consistent Cloud Databases for Enforcing
//! Numeric Invariants* (bounded counters, SRDS 2015): the invariant bounds the amount that may be spent, and each right
//! has one owner.
//!
//! The invariant holds for these reasons:
//!
//! - A holder counts the duration of a lease from before it sent the request. The lender counts from the grant, and
//!   adds the clock drift and the longest duration of a use. An amount lent in a grant that was lost is unusable until
//!   the lender's count ends.
//! - With each request the holder limits itself to `max_in_use` of that lender's right until the answer to that request
//!   arrives. The amount lent is therefore at most the largest grant that was not released.
//! - A process that restarts under a name cannot know the amounts that its predecessor spent or lent. It spends nothing
//!   until the predecessor's uses have ended, and only a reserve, which is never lent, until the predecessor's leases
//!   have ended. Amounts lent to the predecessor count in addition to the amounts that the new process requests.
//! - Rights depend on the roster and not on membership, so that no right grows when other members are declared dead.

mod budget;
mod holder;
mod key;
mod lease;
mod lender;

use std::collections::BTreeMap;

use sagetrail_swim::FrameError;

use budget::{Budget, RequestSequence};
use holder::BorrowedLease;
use lease::{with_drift_s, MAX_CLOCK_READING_AGE_S};
use lender::{Borrower, Lendable};

pub use key::{BudgetKey, BudgetKind, LendingTerms};
pub use lease::{LeaseGrant, LeaseRequest};

/// Each right divided by this number, rounded down, is a reserve that is never lent: a restarted process may use it as
/// soon as its predecessor's uses have ended.
const RESERVE_DIVISOR: u64 = 8;
/// Maximum number of budgets kept at a time: enough for thousands of runners in slow start.
const MAX_BUDGETS: usize = 8192;

/// State of one budget at this member, shown to operators. Amounts are in the unit of the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The budget.
    pub key: BudgetKey,
    /// The budget's limit.
    pub limit: u64,
    /// Part of the limit that this member owns.
    pub right: u64,
    /// Part of this member's right that is lent to others.
    pub lent: u64,
    /// Amount borrowed from other members.
    pub borrowed: u64,
    /// Amount in use at this member.
    pub in_use: u64,
    /// Maximum amount that may be in use at this member.
    pub usable: u64,
}

/// Part of this member's right that this process may use or lend.
#[derive(Clone, Copy)]
struct OwnShare {
    amount: u64,
    /// Part of `amount` that is never lent.
    reserve: u64,
}

/// All budgets as known to one member. Times are in seconds on the caller's clock.
pub struct Budgets {
    /// Whether this member grants leases. A member that does not know all committed configuration must not lend.
    pub lends: bool,
    own_index: usize,
    /// Numbers of all members, in the order of the roster.
    numbers: Vec<u64>,
    terms: BTreeMap<BudgetKind, LendingTerms>,
    budgets: BTreeMap<BudgetKey, Budget>,
    started_at_s: f64,
    process: u64,
    sequence: RequestSequence,
}

impl Budgets {
    /// Creates the table without budgets. `numbers` are the members' numbers in the order of the roster, the same at
    /// all members; `own_index` is this member's index among them; `process` is the random number that identifies this
    /// process.
    #[must_use]
    pub fn new(
        numbers: Vec<u64>,
        own_index: usize,
        process: u64,
        terms: BTreeMap<BudgetKind, LendingTerms>,
        now_s: f64,
    ) -> Budgets {
        Budgets {
            lends: true,
            own_index,
            numbers,
            terms,
            budgets: BTreeMap::new(),
            started_at_s: now_s,
            process,
            sequence: RequestSequence::default(),
        }
    }

    /// Sets the start time of this process, if it differs from the time at which this table was created.
    pub fn set_started_at(&mut self, at: f64) {
        self.started_at_s = at;
    }

    fn terms(&self, kind: BudgetKind) -> Option<LendingTerms> {
        self.terms.get(&kind).copied()
    }

    /// Sets a budget's limit. A lowered limit takes effect here at once, at other members when they learn it, and on
    /// the amounts that they lent when those leases end. Returns false if the kind is not lent or there are too many
    /// budgets.
    pub fn set_limit(&mut self, now_s: f64, key: BudgetKey, limit: u64) -> bool {
        let Some(terms) = self.terms(key.kind) else {
            return false;
        };
        if let Some(budget) = self.budgets.get_mut(&key) {
            budget.limit = limit;
            budget.last_referenced_at_s = now_s;
            return true;
        }
        if self.budgets.len() >= MAX_BUDGETS {
            return false;
        }
        let budget = Budget::new(now_s, key, limit, &self.numbers, self.own_index, terms);
        self.budgets.insert(key, budget);
        true
    }

    /// Part of this member's right that this process may use or lend now.
    fn own_share(&self, budget: &Budget, terms: LendingTerms, now_s: f64) -> OwnShare {
        let right = budget.right(self.own_index);
        let reserve = right / RESERVE_DIVISOR;
        let predecessor_uses_end_s = self.predecessor_end_s(terms.spend_s);
        let predecessor_leases_end_s = self.predecessor_end_s(terms.lease_s + terms.spend_s);
        if now_s < predecessor_uses_end_s {
            OwnShare {
                amount: 0,
                reserve: 0,
            }
        } else if now_s < predecessor_leases_end_s {
            OwnShare {
                amount: reserve,
                reserve,
            }
        } else {
            OwnShare {
                amount: right,
                reserve,
            }
        }
    }

    /// Time by which an action of this member's previous process that lasts at most `length_s` seconds has ended.
    fn predecessor_end_s(&self, length_s: f64) -> f64 {
        self.started_at_s + with_drift_s(length_s) + MAX_CLOCK_READING_AGE_S
    }

    /// Maximum amount that may be in use here now. The caller must read it at the moment of spending, because a pause
    /// between reading and spending can outlast a lease.
    #[must_use]
    pub fn usable(&self, now_s: f64, key: BudgetKey) -> u64 {
        let (Some(budget), Some(terms)) = (self.budgets.get(&key), self.terms(key.kind)) else {
            return 0;
        };
        let own = self.own_share(budget, terms, now_s).amount;
        own.saturating_sub(budget.lent.amount(now_s)) + budget.borrowed_amount(now_s)
    }

    /// Time until which the amount usable now stays usable: the earliest end of a lease in use, infinity without one.
    #[must_use]
    pub fn usable_until(&self, now_s: f64, key: BudgetKey) -> f64 {
        self.budgets
            .get(&key)
            .map_or(f64::INFINITY, |budget| budget.first_expiry(now_s))
    }

    /// Sets the amount in use here and the amount that could be used. The caller must call this after each use, before
    /// it answers another member.
    pub fn record_use(&mut self, now_s: f64, key: BudgetKey, in_use: u64, wanted: u64) {
        if let Some(budget) = self.budgets.get_mut(&key) {
            budget.in_use = in_use;
            budget.needed = wanted.max(in_use);
            budget.last_referenced_at_s = now_s;
        }
    }

    /// Removes budgets that the caller has not referenced for `after_s` seconds and that have no lease in either
    /// direction.
    pub fn remove_unused(&mut self, now_s: f64, after_s: f64) {
        self.budgets.retain(|_, budget| {
            now_s < budget.last_referenced_at_s + after_s || !budget.is_unused(now_s)
        });
    }

    /// Appends the requests that are due to `requests`, each with the lender's index in the roster.
    pub fn request_leases(&mut self, now_s: f64, requests: &mut Vec<(usize, LeaseRequest)>) {
        let keys: Vec<BudgetKey> = self.budgets.keys().copied().collect();
        for key in keys {
            let (Some(budget), Some(terms)) = (self.budgets.get(&key), self.terms(key.kind)) else {
                continue;
            };
            let own = self.own_share(budget, terms, now_s).amount;
            if let Some(budget) = self.budgets.get_mut(&key) {
                requests.extend(budget.due_requests(now_s, key, own, terms, &mut self.sequence));
            }
        }
    }

    /// Handles a request of the process `process` of the member with roster index `from`. Returns the grant to send, or
    /// `None` if the request gets no answer.
    pub fn receive_request(
        &mut self,
        now_s: f64,
        from: usize,
        process: u64,
        request: LeaseRequest,
    ) -> Option<LeaseGrant> {
        let terms = self.terms(request.key.kind)?;
        let budget = self.budgets.get(&request.key)?;
        if !self.lends || from == self.own_index || from >= self.numbers.len() {
            return None;
        }
        let own = self.own_share(budget, terms, now_s);
        // A process that has just started must not grant an amount that its predecessor lent to another member.
        if own.amount < budget.right(self.own_index) {
            return None;
        }
        let budget = self.budgets.get_mut(&request.key)?;
        let lendable = Lendable {
            amount: own.amount.saturating_sub(own.reserve),
            in_use: budget.in_use,
            needed: budget.in_use.max(budget.needed),
        };
        let borrower = Borrower {
            member: from,
            process,
        };
        let until_s = now_s + with_drift_s(terms.lease_s + terms.spend_s) + MAX_CLOCK_READING_AGE_S;
        let amount = budget
            .lent
            .lend(now_s, borrower, &request, lendable, until_s)?;
        Some(LeaseGrant {
            process,
            key: request.key,
            sequence: request.sequence,
            amount,
            lease_ms: (terms.lease_s * 1e3) as u32,
            limit: budget.limit,
        })
    }

    /// Applies a grant of another member. A grant that answers an earlier request than the last one is ignored.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidValue`] for a value that no lender can have sent.
    pub fn receive_grant(&mut self, from: usize, grant: LeaseGrant) -> Result<(), FrameError> {
        let terms = self.terms(grant.key.kind).ok_or(FrameError::InvalidValue)?;
        if grant.process != self.process {
            return Ok(());
        }
        let Some(budget) = self.budgets.get_mut(&grant.key) else {
            return Ok(());
        };
        if !BorrowedLease::is_valid(&grant, terms) {
            return Err(FrameError::InvalidValue);
        }
        let limit = budget.limit;
        budget
            .borrowed
            .get_mut(&from)
            .ok_or(FrameError::InvalidValue)?
            .receive_grant(&grant, limit, terms);
        Ok(())
    }

    /// State of all budgets at this member.
    #[must_use]
    pub fn status(&self, now_s: f64) -> Vec<BudgetStatus> {
        let status = |(key, budget): (&BudgetKey, &Budget)| BudgetStatus {
            key: *key,
            limit: budget.limit,
            right: budget.right(self.own_index),
            lent: budget.lent.amount(now_s),
            borrowed: budget.borrowed_amount(now_s),
            in_use: budget.in_use,
            usable: self.usable(now_s, *key),
        };
        self.budgets.iter().map(status).collect()
    }
}
