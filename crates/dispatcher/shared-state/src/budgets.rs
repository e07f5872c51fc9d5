//! Limits that members spend together, split into leased parts. A limit is owned in fixed rights by a few members, and
//! a member with work borrows from them for a length of time. Stated and tested: *the sum of what all may spend never
//! passes the limit, at any instant, under any partition, pause or restart*.
//!
//! Sources: Gray and Cheriton, *Leases* (SOSP 1989): lengths, not instants, cross the wire; O'Neil, *The Escrow
//! Transactional Method* (TODS 1986) and Balegas et al., *Extending Eventually Consistent Cloud Databases for Enforcing
//! Numeric Invariants* (bounded counters, SRDS 2015): the invariant is on what may be spent, and each right has one
//! owner.
//!
//! The reasons that it holds:
//!
//! - A holder counts a lease from before it sent the request; the lender from when it granted, and longer, by drift and
//!   by how long a use lasts. What was lent in a grant that got lost is nobody's until then.
//! - With each request the holder binds itself to at most `max_in_use` of that lender's right until an answer to this
//!   very request comes. So what is lent is at most the largest grant that was not released.
//! - A process that starts anew under a name cannot know what the one before it spent or lent: it spends nothing until
//!   the former's uses have ended, and all but a reserve, which is never lent, only when its leases have. What was lent
//!   to the former process counts beside what the new one asks for.
//! - Membership plays no part: rights depend on the roster, so that nothing grows because others are held dead.

mod budget;
mod holder;
mod key;
mod lease;
mod lender;

use std::collections::BTreeMap;

use sagetrail_swim::FrameError;

use budget::{Budget, RequestSequence};
use holder::BorrowedLease;
use lease::{with_drift_s, CLOCK_GRAIN_S};
use lender::{Borrower, Lendable};

pub use key::{BudgetKey, BudgetKind, LendingTerms};
pub use lease::{LeaseGrant, LeaseRequest};

/// One part in this many of each right, rounded down, is never lent: it is what a process has that starts anew, once
/// the former's uses have ended.
const RESERVE_DIVISOR: u64 = 8;
/// Budgets at once: thousands of runners in slow start.
const MAX_BUDGETS: usize = 8192;

/// How one budget stands at this member, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The budget.
    pub key: BudgetKey,
    /// Its limit.
    pub limit: u64,
    /// How much of the limit this member owns.
    pub right: u64,
    /// How much of that is lent.
    pub lent: u64,
    /// How much is borrowed of others.
    pub borrowed: u64,
    /// How much is in use here.
    pub in_use: u64,
    /// How much may be in use here.
    pub usable: u64,
}

/// What this process may use or lend of its right.
#[derive(Clone, Copy)]
struct OwnShare {
    amount: u64,
    /// How much of that is never lent.
    reserve: u64,
}

/// All budgets as one member sees them. Times are seconds of the caller's clock.
pub struct Budgets {
    /// Whether anything is lent from here: not by a member that does not know all committed configuration.
    pub lends: bool,
    own_index: usize,
    /// The members' numbers, in the order of the roster.
    numbers: Vec<u64>,
    terms: BTreeMap<BudgetKind, LendingTerms>,
    budgets: BTreeMap<BudgetKey, Budget>,
    started_at: f64,
    process: u64,
    sequence: RequestSequence,
}

impl Budgets {
    /// `numbers` are the members' in the order of the roster, the same at all members; `own_index` is this member's
    /// place among them; `process` is the number that this process drew.
    #[must_use]
    pub fn new(
        numbers: Vec<u64>,
        own_index: usize,
        process: u64,
        terms: BTreeMap<BudgetKind, LendingTerms>,
        now: f64,
    ) -> Budgets {
        Budgets {
            lends: true,
            own_index,
            numbers,
            terms,
            budgets: BTreeMap::new(),
            started_at: now,
            process,
            sequence: RequestSequence::default(),
        }
    }

    /// Sets when this process started, if that was not when this was made.
    pub fn set_started_at(&mut self, at: f64) {
        self.started_at = at;
    }

    fn terms(&self, kind: BudgetKind) -> Option<LendingTerms> {
        self.terms.get(&kind).copied()
    }

    /// Sets a budget's limit. A lowered limit binds here at once; at members that do not know it, when they do; and on
    /// what they lent, when its leases end. False when the kind is not lent, or there are too many budgets.
    pub fn set_limit(&mut self, now: f64, key: BudgetKey, limit: u64) -> bool {
        let Some(terms) = self.terms(key.kind) else {
            return false;
        };
        if let Some(budget) = self.budgets.get_mut(&key) {
            budget.limit = limit;
            budget.last_named_at = now;
            return true;
        }
        if self.budgets.len() >= MAX_BUDGETS {
            return false;
        }
        let budget = Budget::new(now, key, limit, &self.numbers, self.own_index, terms);
        self.budgets.insert(key, budget);
        true
    }

    /// Of the own right, what this process may use or lend by now.
    fn own_share(&self, budget: &Budget, terms: LendingTerms, now: f64) -> OwnShare {
        let right = budget.right(self.own_index);
        let reserve = right / RESERVE_DIVISOR;
        let former_uses_end = self.former_ends_at(terms.spend_s);
        let former_leases_end = self.former_ends_at(terms.lease_s + terms.spend_s);
        if now < former_uses_end {
            OwnShare {
                amount: 0,
                reserve: 0,
            }
        } else if now < former_leases_end {
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

    /// When that has ended which a former process of this name did for at most a length of time.
    fn former_ends_at(&self, length_s: f64) -> f64 {
        self.started_at + with_drift_s(length_s) + CLOCK_GRAIN_S
    }

    /// What may be in use here at this moment. Look where it is spent, not before.
    #[must_use]
    pub fn usable(&self, now: f64, key: BudgetKey) -> u64 {
        let (Some(budget), Some(terms)) = (self.budgets.get(&key), self.terms(key.kind)) else {
            return 0;
        };
        let own = self.own_share(budget, terms, now).amount;
        own.saturating_sub(budget.lent.amount(now)) + budget.borrowed_amount(now)
    }

    /// Until when what is usable now stays so: the first end of a lease in use; infinity without one.
    #[must_use]
    pub fn usable_until(&self, now: f64, key: BudgetKey) -> f64 {
        self.budgets
            .get(&key)
            .map_or(f64::INFINITY, |budget| budget.first_expiry(now))
    }

    /// Sets what is in use here and what could be. To be called after each use, before another member is answered.
    pub fn record_use(&mut self, now: f64, key: BudgetKey, in_use: u64, wanted: u64) {
        if let Some(budget) = self.budgets.get_mut(&key) {
            budget.in_use = in_use;
            budget.needed = wanted.max(in_use);
            budget.last_named_at = now;
        }
    }

    /// Removes budgets that the caller has not named for `after_s` seconds and on which nothing hangs.
    pub fn remove_unused(&mut self, now: f64, after_s: f64) {
        self.budgets
            .retain(|_, budget| now < budget.last_named_at + after_s || !budget.is_unused(now));
    }

    /// Puts the requests that are due into `requests`, each with the lender's index in the roster.
    pub fn request_leases(&mut self, now: f64, requests: &mut Vec<(usize, LeaseRequest)>) {
        let keys: Vec<BudgetKey> = self.budgets.keys().copied().collect();
        for key in keys {
            let (Some(budget), Some(terms)) = (self.budgets.get(&key), self.terms(key.kind)) else {
                continue;
            };
            let own = self.own_share(budget, terms, now).amount;
            if let Some(budget) = self.budgets.get_mut(&key) {
                requests.extend(budget.due_requests(now, key, own, terms, &mut self.sequence));
            }
        }
    }

    /// Answers a request of another member's process, if there is an answer.
    pub fn receive_request(
        &mut self,
        now: f64,
        from: usize,
        process: u64,
        request: LeaseRequest,
    ) -> Option<LeaseGrant> {
        let terms = self.terms(request.key.kind)?;
        let budget = self.budgets.get(&request.key)?;
        if !self.lends || from == self.own_index || from >= self.numbers.len() {
            return None;
        }
        let own = self.own_share(budget, terms, now);
        // Guards against a process that has just started granting what the one before it lent to another.
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
        let until = now + with_drift_s(terms.lease_s + terms.spend_s) + CLOCK_GRAIN_S;
        let amount = budget.lent.lend(now, borrower, &request, lendable, until)?;
        Some(LeaseGrant {
            process,
            key: request.key,
            sequence: request.sequence,
            amount,
            lease_ms: (terms.lease_s * 1e3) as u32,
            limit: budget.limit,
        })
    }

    /// Takes a grant of another member; one that answers an earlier request than the last is ignored.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidValue`] for a value that no lender can have sent.
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

    /// How all budgets stand here.
    #[must_use]
    pub fn status(&self, now: f64) -> Vec<BudgetStatus> {
        let status = |(key, budget): (&BudgetKey, &Budget)| BudgetStatus {
            key: *key,
            limit: budget.limit,
            right: budget.right(self.own_index),
            lent: budget.lent.amount(now),
            borrowed: budget.borrowed_amount(now),
            in_use: budget.in_use,
            usable: self.usable(now, *key),
        };
        self.budgets.iter().map(status).collect()
    }
}
