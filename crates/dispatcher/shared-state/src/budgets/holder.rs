//! The holder's side of a lease: the amount that this process has borrowed from one other member.

use super::key::{BudgetKey, LendingTerms};
use super::lease::{LeaseGrant, LeaseRequest, TimedAmount, TimedMaximum, MAX_DRIFT};

/// A request without an answer counts as lost after this many seconds.
const ANSWER_TIMEOUT_S: f64 = 1.0;
/// While the borrowed amount is too small, requests are repeated after this many seconds.
const RETRY_INTERVAL_S: f64 = 0.2;
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// A lease longer than this many times the configured duration is an invalid value.
const MAX_LEASE_FACTOR: f64 = 10.0;

/// Amounts that one process needs beyond its own right.
#[derive(Clone, Copy)]
pub(super) struct Need {
    /// Amount that it could use beyond its own right.
    pub(super) beyond_own: u64,
    /// Amount that it has borrowed from all lenders.
    pub(super) borrowed: u64,
    /// Amount in use beyond its own right.
    pub(super) in_use_beyond_own: u64,
}

impl Need {
    fn is_short(&self) -> bool {
        self.borrowed < self.beyond_own
    }

    /// Amount to request from a lender that lends `amount` now.
    fn wanted(&self, amount: u64) -> u64 {
        if self.is_short() {
            amount + (self.beyond_own - self.borrowed)
        } else {
            (amount * self.beyond_own).div_ceil(self.borrowed.max(1))
        }
    }
}

/// Amount borrowed from one member. Times are in seconds on the caller's clock.
pub(super) struct BorrowedLease {
    amount: u64,
    /// From this time on, no new use may start on the lease.
    expires_at_s: f64,
    /// Amounts that may still be in use on this lease: a use can outlast the lease.
    uses: TimedMaximum,
    /// Sequence number of the last request.
    sequence: u32,
    /// Time at which the unanswered request was sent, if there is one.
    pending_since_s: Option<f64>,
    last_request_at_s: f64,
}

impl BorrowedLease {
    pub(super) fn none() -> Self {
        BorrowedLease {
            amount: 0,
            expires_at_s: f64::NEG_INFINITY,
            uses: TimedMaximum::default(),
            sequence: 0,
            pending_since_s: None,
            last_request_at_s: f64::NEG_INFINITY,
        }
    }

    /// Amount that may be spent on the lease now.
    pub(super) fn usable(&self, now_s: f64) -> u64 {
        if now_s < self.expires_at_s {
            self.amount
        } else {
            0
        }
    }

    /// End of the lease, if anything may be spent on it now.
    pub(super) fn expiry(&self, now_s: f64) -> Option<f64> {
        (self.usable(now_s) > 0).then_some(self.expires_at_s)
    }

    /// Amount that may be in use on the lease, including uses that started under an earlier, larger or ended, lease.
    pub(super) fn in_use(&self, now_s: f64) -> u64 {
        self.uses.at(now_s)
    }

    /// Drops the lease and the uses if they have ended.
    pub(super) fn expire(&mut self, now_s: f64) {
        self.amount = self.usable(now_s);
        self.uses.remove_ended(now_s);
    }

    /// Amount to request now. `None` if no request is due.
    pub(super) fn due_request(&self, now_s: f64, need: &Need, terms: LendingTerms) -> Option<u64> {
        let is_pending = self
            .pending_since_s
            .is_some_and(|sent_at_s| now_s < sent_at_s + ANSWER_TIMEOUT_S);
        if is_pending {
            return None;
        }
        let wanted = need.wanted(self.amount);
        let is_relevant = wanted > 0 || self.amount > 0;
        let is_renewal_due = now_s >= self.last_request_at_s + terms.lease_s / RENEWALS_PER_LEASE;
        let is_retry_due = need.is_short() && now_s >= self.last_request_at_s + RETRY_INTERVAL_S;
        // A lease that is mostly unneeded is returned at once; one that is nearly the right size waits for the renewal.
        let is_idle = self.amount > 0 && wanted < self.amount / 2;
        (is_relevant && is_renewal_due || is_retry_due || is_idle).then_some(wanted)
    }

    /// Limits this process to `max_in_use` and returns a request for `wanted`.
    pub(super) fn request(
        &mut self,
        now_s: f64,
        key: BudgetKey,
        sequence: u32,
        max_in_use: u64,
        wanted: u64,
    ) -> LeaseRequest {
        self.uses.cap(max_in_use);
        self.amount = self.amount.min(max_in_use);
        self.sequence = sequence;
        self.pending_since_s = Some(now_s);
        self.last_request_at_s = now_s;
        LeaseRequest {
            key,
            sequence,
            max_in_use,
            wanted,
        }
    }

    /// Whether a lender can have sent the values of a grant.
    pub(super) fn is_valid(grant: &LeaseGrant, terms: LendingTerms) -> bool {
        let lease_s = f64::from(grant.lease_ms) / 1e3;
        grant.amount <= grant.limit && lease_s <= MAX_LEASE_FACTOR * terms.lease_s
    }

    /// Applies a grant, scaled down if `limit`, the limit known here, is lower than the lender's. A grant that answers
    /// an earlier request than the last one is ignored.
    pub(super) fn receive_grant(&mut self, grant: &LeaseGrant, limit: u64, terms: LendingTerms) {
        if self.sequence != grant.sequence {
            return;
        }
        let Some(sent_at_s) = self.pending_since_s.take() else {
            return;
        };
        // If the limit known here is lower than the lender's, the same fraction of it is a smaller amount.
        self.amount = if grant.limit > limit {
            let scaled =
                u128::from(grant.amount) * u128::from(limit) / u128::from(grant.limit.max(1));
            scaled as u64
        } else {
            grant.amount
        };
        // The duration is counted from before the request was sent, and is shorter than the lender counts it.
        let lease_s = f64::from(grant.lease_ms) / 1e3;
        self.expires_at_s = sent_at_s + lease_s * (1.0 - MAX_DRIFT);
        self.uses.add(TimedAmount {
            amount: self.amount,
            until_s: self.expires_at_s + terms.spend_s,
        });
    }
}
