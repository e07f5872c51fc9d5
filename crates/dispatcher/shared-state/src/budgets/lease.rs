//! What lender and holder of a lease send each other, and the constants that both sides count with.

use serde::{Deserialize, Serialize};

use super::key::BudgetKey;

/// By how much clocks run faster or slower than each other at the most: a hundred times a bad quartz.
pub(super) const MAX_DRIFT: f64 = 0.01;
/// How old the reading of a clock may be when it is used, in seconds.
pub(super) const CLOCK_GRAIN_S: f64 = 0.02;

/// A length of time of this process's clock in which the same length has passed on any other member's clock, though
/// this one is fast and that one slow.
pub(super) fn with_drift_s(length_s: f64) -> f64 {
    length_s * (1.0 + 2.0 * MAX_DRIFT)
}

/// Asks a member for a lease on a part of its right. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The budget.
    pub key: BudgetKey,
    /// Counts the sender's requests up; the answer repeats it.
    pub sequence: u32,
    /// Until this request is answered, the sender uses at most this much of the receiver's right.
    pub max_in_use: u64,
    /// How much the sender could use.
    pub wanted: u64,
}

/// Answers a request. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that asked: one that starts anew under its name counts its requests alike.
    pub process: u64,
    /// The budget.
    pub key: BudgetKey,
    /// Of the request.
    pub sequence: u32,
    /// How much is lent.
    pub amount: u64,
    /// The length of the lease in milliseconds, from when the request was sent.
    pub lease_ms: u32,
    /// The budget's limit as the lender knows it.
    pub limit: u64,
}

/// An amount that may be in use until a time.
#[derive(Clone, Copy)]
pub(super) struct TimedAmount {
    pub(super) amount: u64,
    /// Seconds of the caller's clock.
    pub(super) until: f64,
}

/// Amounts of which the largest counts as long as its time runs.
#[derive(Default)]
pub(super) struct TimedMaximum {
    amounts: Vec<TimedAmount>,
}

impl TimedMaximum {
    pub(super) fn at(&self, now: f64) -> u64 {
        self.amounts
            .iter()
            .filter(|timed| now < timed.until)
            .map(|timed| timed.amount)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn add(&mut self, amount: TimedAmount) {
        self.amounts.push(amount);
    }

    pub(super) fn remove_ended(&mut self, now: f64) {
        self.amounts.retain(|timed| now < timed.until);
    }

    /// Lowers all amounts to a maximum.
    pub(super) fn cap(&mut self, maximum: u64) {
        for timed in &mut self.amounts {
            timed.amount = timed.amount.min(maximum);
        }
    }
}
