//! One budget as known to this member.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::holder::{BorrowedLease, Need};
use super::key::{BudgetKey, LendingTerms};
use super::lease::LeaseRequest;
use super::lender::LentLeases;

/// Rank of a member for a budget, the same at every member.
fn rank(member: u64, key: BudgetKey) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(member);
    hasher.write_u64(key.subject);
    hasher.write_u8(key.kind as u8);
    hasher.finish()
}

/// Members that own rights to a budget, as indices in the roster, in the order of their ranks (highest random weight;
/// Thaler and Ravishankar, 1998).
fn owners(numbers: &[u64], key: BudgetKey, count: usize) -> Vec<usize> {
    let mut owners: Vec<usize> = (0..numbers.len()).collect();
    owners.sort_unstable_by_key(|member| (Reverse(rank(numbers[*member], key)), *member));
    owners.truncate(count.max(1));
    owners
}

/// Generates the sequence numbers of this process's requests.
#[derive(Default)]
pub(super) struct RequestSequence(u32);

impl RequestSequence {
    fn next(&mut self) -> u32 {
        self.0 = self.0.wrapping_add(1).max(1);
        self.0
    }
}

/// State of one budget at this member. Times are in seconds on the caller's clock.
pub(super) struct Budget {
    pub(super) limit: u64,
    /// Roster indices of the members that own a right, in the order of their ranks.
    owners: Vec<usize>,
    /// Amount in use here.
    pub(super) in_use: u64,
    /// Amount that is or could be in use here.
    pub(super) needed: u64,
    pub(super) lent: LentLeases,
    /// Borrowed leases by the lender's index in the roster.
    pub(super) borrowed: BTreeMap<usize, BorrowedLease>,
    /// Time at which the caller last referenced the budget.
    pub(super) last_referenced_at_s: f64,
}

impl Budget {
    pub(super) fn new(
        now_s: f64,
        key: BudgetKey,
        limit: u64,
        numbers: &[u64],
        own_index: usize,
        terms: LendingTerms,
    ) -> Self {
        let owners = owners(numbers, key, terms.owner_count);
        let borrowed = owners
            .iter()
            .filter(|owner| **owner != own_index)
            .map(|owner| (*owner, BorrowedLease::none()))
            .collect();
        Budget {
            limit,
            owners,
            in_use: 0,
            needed: 0,
            lent: LentLeases::default(),
            borrowed,
            last_referenced_at_s: now_s,
        }
    }

    /// Part of the limit that a member owns: the limit is split evenly, and the first owners get the remainder.
    pub(super) fn right(&self, member: usize) -> u64 {
        let owner_count = self.owners.len().max(1) as u64;
        match self.owners.iter().position(|owner| *owner == member) {
            Some(place) => {
                let remainder = self.limit % owner_count;
                self.limit / owner_count + u64::from((place as u64) < remainder)
            }
            None => 0,
        }
    }

    /// Amount that may be spent now on leases borrowed from other members.
    pub(super) fn borrowed_amount(&self, now_s: f64) -> u64 {
        self.borrowed
            .values()
            .map(|lease| lease.usable(now_s))
            .sum()
    }

    /// Earliest end of a lease in use, infinity without one.
    pub(super) fn first_expiry(&self, now_s: f64) -> f64 {
        self.borrowed
            .values()
            .filter_map(|lease| lease.expiry(now_s))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether no amount is lent or borrowed.
    pub(super) fn is_unused(&self, now_s: f64) -> bool {
        self.lent.amount(now_s) == 0 && self.borrowed_amount(now_s) == 0
    }

    /// Requests that are due, each with the lender's index in the roster. `own_share` is the amount that this process
    /// may use or lend of its own right.
    pub(super) fn due_requests(
        &mut self,
        now_s: f64,
        key: BudgetKey,
        own_share: u64,
        terms: LendingTerms,
        sequence: &mut RequestSequence,
    ) -> Vec<(usize, LeaseRequest)> {
        let borrowed = self.borrowed_amount(now_s);
        if self.needed == 0 && borrowed == 0 {
            return Vec::new();
        }
        let own = own_share.saturating_sub(self.lent.amount(now_s));
        let need = Need {
            beyond_own: self.needed.saturating_sub(own),
            borrowed,
            in_use_beyond_own: self.in_use.saturating_sub(own),
        };
        let mut in_use_of_all: u64 = self
            .borrowed
            .values()
            .map(|lease| lease.in_use(now_s))
            .sum();
        let mut requests = Vec::new();
        for (lender, lease) in &mut self.borrowed {
            lease.expire(now_s);
            let Some(wanted) = lease.due_request(now_s, &need, terms) else {
                continue;
            };
            let in_use = lease.in_use(now_s);
            let in_use_of_others = in_use_of_all - in_use;
            // The amount in use may depend on this lease, so the request must not promise to use less.
            let must_keep = need.in_use_beyond_own.saturating_sub(in_use_of_others);
            let max_in_use = in_use.min(wanted.max(must_keep));
            in_use_of_all = in_use_of_others + max_in_use;
            let request = lease.request(now_s, key, sequence.next(), max_in_use, wanted);
            requests.push((*lender, request));
        }
        requests
    }
}
