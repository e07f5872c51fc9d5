//! The lender's side of leases: the amounts lent from this member's right, by borrowing member and process.

use std::collections::BTreeMap;

use super::lease::{LeaseRequest, TimedAmount, TimedMaximum};

/// Maximum number of processes of one member that have a lease at the same time.
const MAX_PROCESSES_PER_MEMBER: usize = 4;
/// A process that requested an amount within this many seconds counts as one to share the right with.
const SHARING_WINDOW_S: f64 = 1.5;

/// A process of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Borrower {
    /// The member's index in the roster.
    pub(super) member: usize,
    /// Random number that identifies the process.
    pub(super) process: u64,
}

/// Amounts that the lender may lend and that it uses itself.
#[derive(Clone, Copy)]
pub(super) struct Lendable {
    /// The lender's right without the reserve.
    pub(super) amount: u64,
    /// Amount in use at the lender.
    pub(super) in_use: u64,
    /// Amount that is or could be in use at the lender.
    pub(super) needed: u64,
}

/// Lease of one process.
struct LentLease {
    process: u64,
    /// Sequence number of the last request.
    sequence: u32,
    granted: TimedMaximum,
    /// Time in seconds of the last request, if it requested an amount above 0; otherwise negative infinity.
    wanted_at_s: f64,
}

/// Leases granted to others, by the borrower's index in the roster.
#[derive(Default)]
pub(super) struct LentLeases {
    by_member: BTreeMap<usize, Vec<LentLease>>,
}

impl LentLeases {
    /// Amount that all borrowers together may have in use: the sum of the largest unreleased grant of each.
    pub(super) fn amount(&self, now_s: f64) -> u64 {
        self.by_member
            .values()
            .flatten()
            .map(|lease| lease.granted.at(now_s))
            .sum()
    }

    /// Lends an amount until the time `until_s` and returns it. `None` if the request is a duplicate or older than the
    /// last one, or if the borrower's member has too many processes with a lease.
    pub(super) fn lend(
        &mut self,
        now_s: f64,
        borrower: Borrower,
        request: &LeaseRequest,
        lendable: Lendable,
        until_s: f64,
    ) -> Option<u64> {
        let lease = self.lease(now_s, borrower)?;
        // The limit promised by a duplicate request, or by one that arrives after a later one, is outdated.
        if request.sequence <= lease.sequence {
            return None;
        }
        lease.release(now_s, request);
        let lent_before = lease.granted.at(now_s);
        let amount = self
            .max_grant(now_s, lendable, lent_before)
            .min(request.wanted);
        if amount > 0 {
            let granted = TimedAmount { amount, until_s };
            self.lease(now_s, borrower)?.granted.add(granted);
        }
        Some(amount)
    }

    /// Lease of a borrower; a new one if it has none. `None` if too many processes of that member have a lease.
    fn lease(&mut self, now_s: f64, borrower: Borrower) -> Option<&mut LentLease> {
        let Borrower { member, process } = borrower;
        let leases = self.by_member.entry(member).or_default();
        leases.retain(|lease| lease.process == process || lease.granted.at(now_s) > 0);
        if !leases.iter().any(|lease| lease.process == process) {
            if leases.len() >= MAX_PROCESSES_PER_MEMBER {
                return None;
            }
            leases.push(LentLease::new(process));
        }
        leases.iter_mut().find(|lease| lease.process == process)
    }

    /// Maximum amount granted now to a borrower that has `lent_before`. The lender and the borrowers get equal shares;
    /// the borrowers get what the lender does not need of its share, and nothing that is in use at the lender.
    fn max_grant(&self, now_s: f64, lendable: Lendable, lent_before: u64) -> u64 {
        let borrowers = self.count_recent_borrowers(now_s);
        let lender_share_count = u64::from(lendable.needed > 0);
        let equal_share = lendable.amount / (borrowers + lender_share_count).max(1);
        let spare = lendable
            .amount
            .saturating_sub(self.amount(now_s) - lent_before)
            .saturating_sub(lendable.in_use);
        let beside_lender = if lendable.needed == 0 {
            spare
        } else {
            spare.min(equal_share.max(lendable.amount.saturating_sub(lendable.needed)))
        };
        let beside_borrowers = if borrowers > 1 {
            equal_share.max(1)
        } else {
            u64::MAX
        };
        beside_lender.min(beside_borrowers)
    }

    /// Number of processes that requested an amount within the sharing window.
    fn count_recent_borrowers(&self, now_s: f64) -> u64 {
        self.by_member
            .values()
            .flatten()
            .filter(|lease| now_s < lease.wanted_at_s + SHARING_WINDOW_S)
            .count() as u64
    }
}

impl LentLease {
    fn new(process: u64) -> Self {
        LentLease {
            process,
            sequence: 0,
            granted: TimedMaximum::default(),
            wanted_at_s: f64::NEG_INFINITY,
        }
    }

    /// Takes back the amount that the borrower no longer uses, as its request promises.
    fn release(&mut self, now_s: f64, request: &LeaseRequest) {
        self.sequence = request.sequence;
        self.granted.remove_ended(now_s);
        self.granted.cap(request.max_in_use);
        self.wanted_at_s = if request.wanted > 0 {
            now_s
        } else {
            f64::NEG_INFINITY
        };
    }
}
