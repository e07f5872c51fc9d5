//! The holder's side of a lease: what this process has borrowed from one other member.

use super::key::{BudgetKey, LendingTerms};
use super::lease::{LeaseGrant, LeaseRequest, TimedAmount, TimedMaximum, MAX_DRIFT};

/// A request that is not answered by then is taken for lost, in seconds.
const ANSWER_TIMEOUT_S: f64 = 1.0;
/// What is short is requested again after this, in seconds.
const RETRY_INTERVAL_S: f64 = 0.2;
/// How often a lease is renewed within its length.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// A lease longer than this many times the configured length is an impossible value.
const MAX_LEASE_FACTOR: f64 = 10.0;

/// What one process needs beyond its own right.
#[derive(Clone, Copy)]
pub(super) struct Need {
    /// How much it could use beyond the own right.
    pub(super) beyond_own: u64,
    /// How much it has borrowed of all lenders.
    pub(super) borrowed: u64,
    /// How much is in use beyond the own right.
    pub(super) in_use_beyond_own: u64,
}

impl Need {
    fn is_short(&self) -> bool {
        self.borrowed < self.beyond_own
    }

    /// How much to want of a lender that lends `amount` now.
    fn wanted(&self, amount: u64) -> u64 {
        if self.is_short() {
            amount + (self.beyond_own - self.borrowed)
        } else {
            (amount * self.beyond_own).div_ceil(self.borrowed.max(1))
        }
    }
}

/// What is borrowed of one member.
pub(super) struct BorrowedLease {
    amount: u64,
    /// Nothing new may be spent on the lease from then on.
    expires_at: f64,
    /// What uses may still rest on this lease: they outlast it.
    uses: TimedMaximum,
    /// Of the last request.
    sequence: u32,
    /// When the request was sent that is not answered yet.
    pending_since: Option<f64>,
    last_request_at: f64,
}

impl BorrowedLease {
    pub(super) fn none() -> Self {
        BorrowedLease {
            amount: 0,
            expires_at: f64::NEG_INFINITY,
            uses: TimedMaximum::default(),
            sequence: 0,
            pending_since: None,
            last_request_at: f64::NEG_INFINITY,
        }
    }

    /// What may be spent on it now.
    pub(super) fn usable(&self, now: f64) -> u64 {
        if now < self.expires_at {
            self.amount
        } else {
            0
        }
    }

    /// When it ends, if anything may be spent on it now.
    pub(super) fn expiry(&self, now: f64) -> Option<f64> {
        (self.usable(now) > 0).then_some(self.expires_at)
    }

    /// What may be in use on it, also on a larger or an ended lease before.
    pub(super) fn in_use(&self, now: f64) -> u64 {
        self.uses.at(now)
    }

    /// Drops what has ended.
    pub(super) fn expire(&mut self, now: f64) {
        self.amount = self.usable(now);
        self.uses.remove_ended(now);
    }

    /// How much to request now, if anything.
    pub(super) fn due_request(&self, now: f64, need: &Need, terms: LendingTerms) -> Option<u64> {
        let is_pending = self
            .pending_since
            .is_some_and(|sent_at| now < sent_at + ANSWER_TIMEOUT_S);
        if is_pending {
            return None;
        }
        let wanted = need.wanted(self.amount);
        let matters = wanted > 0 || self.amount > 0;
        let is_renewal_due = now >= self.last_request_at + terms.lease_s / RENEWALS_PER_LEASE;
        let is_retry_due = need.is_short() && now >= self.last_request_at + RETRY_INTERVAL_S;
        // What is not needed goes back at once, what is nearly right at the renewal.
        let is_idle = self.amount > 0 && wanted < self.amount / 2;
        (matters && is_renewal_due || is_retry_due || is_idle).then_some(wanted)
    }

    /// Binds this process to `max_in_use` and requests `wanted`.
    pub(super) fn request(
        &mut self,
        now: f64,
        key: BudgetKey,
        sequence: u32,
        max_in_use: u64,
        wanted: u64,
    ) -> LeaseRequest {
        self.uses.cap(max_in_use);
        self.amount = self.amount.min(max_in_use);
        self.sequence = sequence;
        self.pending_since = Some(now);
        self.last_request_at = now;
        LeaseRequest {
            key,
            sequence,
            max_in_use,
            wanted,
        }
    }

    /// Whether a grant holds values that a lender can have sent.
    pub(super) fn is_valid(grant: &LeaseGrant, terms: LendingTerms) -> bool {
        let lease_s = f64::from(grant.lease_ms) / 1e3;
        grant.amount <= grant.limit && lease_s <= MAX_LEASE_FACTOR * terms.lease_s
    }

    /// Takes a grant under the limit known here; one that answers an earlier request than the last is ignored.
    pub(super) fn receive_grant(&mut self, grant: &LeaseGrant, limit: u64, terms: LendingTerms) {
        if self.sequence != grant.sequence {
            return;
        }
        let Some(sent_at) = self.pending_since.take() else {
            return;
        };
        // Under a lower limit here the same part is less.
        self.amount = if grant.limit > limit {
            let scaled =
                u128::from(grant.amount) * u128::from(limit) / u128::from(grant.limit.max(1));
            scaled as u64
        } else {
            grant.amount
        };
        // Counted from before the request left, and shorter than the lender counts.
        let lease_s = f64::from(grant.lease_ms) / 1e3;
        self.expires_at = sent_at + lease_s * (1.0 - MAX_DRIFT);
        self.uses.add(TimedAmount {
            amount: self.amount,
            until: self.expires_at + terms.spend_s,
        });
    }
}
