//! The lender's side of leases: what is lent of the own right, by member and process.

use std::collections::BTreeMap;

use super::lease::{LeaseRequest, TimedAmount, TimedMaximum};

/// Leases to processes of one name at once: no more are granted.
const MAX_PROCESSES_PER_MEMBER: usize = 4;
/// A process that wanted more within this time is one of those to share among, in seconds.
const SHARING_WINDOW_S: f64 = 1.5;

/// A process of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Borrower {
    /// The member's index in the roster.
    pub(super) member: usize,
    /// The number that the process drew.
    pub(super) process: u64,
}

/// What the lender may give away, and what it uses itself.
#[derive(Clone, Copy)]
pub(super) struct Lendable {
    /// The own right less the reserve.
    pub(super) amount: u64,
    /// What is in use here.
    pub(super) in_use: u64,
    /// What is in use here or could be.
    pub(super) needed: u64,
}

struct LentLease {
    process: u64,
    /// Of the last request.
    sequence: u32,
    granted: TimedMaximum,
    /// When the process wanted anything last; negative infinity when its last request wanted nothing.
    wanted_at: f64,
}

/// What is lent, by the borrower's index in the roster.
#[derive(Default)]
pub(super) struct LentLeases {
    by_member: BTreeMap<usize, Vec<LentLease>>,
}

impl LentLeases {
    /// What all borrowers together may have in use: of each the largest grant that it did not release.
    pub(super) fn amount(&self, now: f64) -> u64 {
        self.by_member
            .values()
            .flatten()
            .map(|lease| lease.granted.at(now))
            .sum()
    }

    /// Answers a request by the amount that is lent until `until`; nothing for a request that came before.
    pub(super) fn lend(
        &mut self,
        now: f64,
        borrower: Borrower,
        request: &LeaseRequest,
        lendable: Lendable,
        until: f64,
    ) -> Option<u64> {
        let lease = self.lease(now, borrower)?;
        // Guards against a request that comes twice, or after a later one: what it promises is outdated.
        if request.sequence <= lease.sequence {
            return None;
        }
        lease.release(now, request);
        let lent_before = lease.granted.at(now);
        let amount = self.share(now, lendable, lent_before).min(request.wanted);
        if amount > 0 {
            let granted = TimedAmount { amount, until };
            self.lease(now, borrower)?.granted.add(granted);
        }
        Some(amount)
    }

    /// The lease of a borrower, a new one if it has none; nothing when too many processes of its name have one.
    fn lease(&mut self, now: f64, borrower: Borrower) -> Option<&mut LentLease> {
        let Borrower { member, process } = borrower;
        let leases = self.by_member.entry(member).or_default();
        leases.retain(|lease| lease.process == process || lease.granted.at(now) > 0);
        if !leases.iter().any(|lease| lease.process == process) {
            if leases.len() >= MAX_PROCESSES_PER_MEMBER {
                return None;
            }
            leases.push(LentLease::new(process));
        }
        leases.iter_mut().find(|lease| lease.process == process)
    }

    /// The most that a borrower with `lent_before` gets now: borrowers share with the lender as one of several, each
    /// as much as the others, none below what it needs itself.
    fn share(&self, now: f64, lendable: Lendable, lent_before: u64) -> u64 {
        let borrowers = self.sharing(now);
        let lender_shares = u64::from(lendable.needed > 0);
        let equal_share = lendable.amount / (borrowers + lender_shares).max(1);
        let spare = lendable
            .amount
            .saturating_sub(self.amount(now) - lent_before)
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

    /// How many processes wanted anything of late.
    fn sharing(&self, now: f64) -> u64 {
        self.by_member
            .values()
            .flatten()
            .filter(|lease| now < lease.wanted_at + SHARING_WINDOW_S)
            .count() as u64
    }
}

impl LentLease {
    fn new(process: u64) -> Self {
        LentLease {
            process,
            sequence: 0,
            granted: TimedMaximum::default(),
            wanted_at: f64::NEG_INFINITY,
        }
    }

    /// Takes back what the borrower no longer uses, as its request promises.
    fn release(&mut self, now: f64, request: &LeaseRequest) {
        self.sequence = request.sequence;
        self.granted.remove_ended(now);
        self.granted.cap(request.max_in_use);
        self.wanted_at = if request.wanted > 0 {
            now
        } else {
            f64::NEG_INFINITY
        };
    }
}
