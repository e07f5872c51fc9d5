//! One budget as this member sees it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::holder::{BorrowedLease, Need};
use super::key::{BudgetKey, LendingTerms};
use super::lease::LeaseRequest;
use super::lender::LentLeases;

/// A member's rank at a budget, the same wherever it is computed.
fn rank(member: u64, key: BudgetKey) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(member);
    hasher.write_u64(key.subject);
    hasher.write_u8(key.kind as u8);
    hasher.finish()
}

/// The members that own rights of a budget, by their index in the roster, in the order of their ranks (highest random
/// weight; Thaler and Ravishankar, 1998).
fn owners(numbers: &[u64], key: BudgetKey, count: usize) -> Vec<usize> {
    let mut owners: Vec<usize> = (0..numbers.len()).collect();
    owners.sort_unstable_by_key(|member| (Reverse(rank(numbers[*member], key)), *member));
    owners.truncate(count.max(1));
    owners
}

/// Numbers this process's requests.
#[derive(Default)]
pub(super) struct RequestSequence(u32);

impl RequestSequence {
    fn next(&mut self) -> u32 {
        self.0 = self.0.wrapping_add(1).max(1);
        self.0
    }
}

pub(super) struct Budget {
    pub(super) limit: u64,
    /// Members that own a right, in the order of their ranks.
    owners: Vec<usize>,
    /// What is in use here.
    pub(super) in_use: u64,
    /// What is in use here or could be.
    pub(super) needed: u64,
    pub(super) lent: LentLeases,
    /// By the lender's index in the roster.
    pub(super) borrowed: BTreeMap<usize, BorrowedLease>,
    /// When the caller named it last.
    pub(super) last_named_at: f64,
}

impl Budget {
    pub(super) fn new(
        now: f64,
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
            last_named_at: now,
        }
    }

    /// How much of the limit a member owns: the limit is split evenly, and the first owners have what remains.
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

    /// What may be spent on leases of others now.
    pub(super) fn borrowed_amount(&self, now: f64) -> u64 {
        self.borrowed.values().map(|lease| lease.usable(now)).sum()
    }

    /// When the first lease in use ends; infinity without one.
    pub(super) fn first_expiry(&self, now: f64) -> f64 {
        self.borrowed
            .values()
            .filter_map(|lease| lease.expiry(now))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether nothing hangs on it.
    pub(super) fn is_unused(&self, now: f64) -> bool {
        self.lent.amount(now) == 0 && self.borrowed_amount(now) == 0
    }

    /// The requests that are due, each with the lender; `own_share` is what this process may use or lend by itself.
    pub(super) fn due_requests(
        &mut self,
        now: f64,
        key: BudgetKey,
        own_share: u64,
        terms: LendingTerms,
        sequence: &mut RequestSequence,
    ) -> Vec<(usize, LeaseRequest)> {
        let borrowed = self.borrowed_amount(now);
        if self.needed == 0 && borrowed == 0 {
            return Vec::new();
        }
        let own = own_share.saturating_sub(self.lent.amount(now));
        let need = Need {
            beyond_own: self.needed.saturating_sub(own),
            borrowed,
            in_use_beyond_own: self.in_use.saturating_sub(own),
        };
        let mut in_use_of_all: u64 = self.borrowed.values().map(|lease| lease.in_use(now)).sum();
        let mut requests = Vec::new();
        for (lender, lease) in &mut self.borrowed {
            lease.expire(now);
            let Some(wanted) = lease.due_request(now, &need, terms) else {
                continue;
            };
            let in_use = lease.in_use(now);
            let in_use_of_others = in_use_of_all - in_use;
            // What is in use may rest on this lease: no less is promised.
            let must_keep = need.in_use_beyond_own.saturating_sub(in_use_of_others);
            let max_in_use = in_use.min(wanted.max(must_keep));
            in_use_of_all = in_use_of_others + max_in_use;
            let request = lease.request(now, key, sequence.next(), max_in_use, wanted);
            requests.push((*lender, request));
        }
        requests
    }
}
