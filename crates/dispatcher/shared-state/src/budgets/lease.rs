//! Messages between the lender and the holder of a lease, and the clock constants that both sides use.

use serde::{Deserialize, Serialize};

use super::key::BudgetKey;

/// Maximum relative difference in the rates of two clocks: a hundred times that of a bad quartz.
pub(super) const MAX_DRIFT: f64 = 0.01;
/// Maximum age in seconds of a clock reading when it is used.
pub(super) const MAX_CLOCK_READING_AGE_S: f64 = 0.02;

/// Duration on this process's clock in which at least `length_s` seconds pass on any other member's clock, even if this
/// clock is fast and the other one is slow.
pub(super) fn with_drift_s(length_s: f64) -> f64 {
    length_s * (1.0 + 2.0 * MAX_DRIFT)
}

/// Requests a lease on a part of the receiver's right. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The budget.
    pub key: BudgetKey,
    /// Sequence number of the request, counted up by the sender and repeated in the answer.
    pub sequence: u32,
    /// Until this request is answered, the sender uses at most this much of the receiver's right.
    pub max_in_use: u64,
    /// Amount that the sender could use.
    pub wanted: u64,
}

/// Answers a [`LeaseRequest`]. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Process that sent the request: a restarted process of the same name uses the same sequence numbers.
    pub process: u64,
    /// The budget.
    pub key: BudgetKey,
    /// Sequence number of the request.
    pub sequence: u32,
    /// Amount that is lent.
    pub amount: u64,
    /// Duration of the lease in milliseconds, counted from when the request was sent.
    pub lease_ms: u32,
    /// Limit of the budget as known to the lender.
    pub limit: u64,
}

/// An amount that may be in use until a time.
#[derive(Clone, Copy)]
pub(super) struct TimedAmount {
    pub(super) amount: u64,
    /// Time at which the amount ends, in seconds on the caller's clock.
    pub(super) until_s: f64,
}

/// Maximum of the amounts that have not ended yet.
#[derive(Default)]
pub(super) struct TimedMaximum {
    amounts: Vec<TimedAmount>,
}

impl TimedMaximum {
    pub(super) fn at(&self, now_s: f64) -> u64 {
        self.amounts
            .iter()
            .filter(|timed| now_s < timed.until_s)
            .map(|timed| timed.amount)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn add(&mut self, amount: TimedAmount) {
        self.amounts.push(amount);
    }

    pub(super) fn remove_ended(&mut self, now_s: f64) {
        self.amounts.retain(|timed| now_s < timed.until_s);
    }

    /// Lowers all amounts to at most `maximum`.
    pub(super) fn cap(&mut self, maximum: u64) {
        for timed in &mut self.amounts {
            timed.amount = timed.amount.min(maximum);
        }
    }
}
