//! The scheduler's newest orders, the lease under which they are given, and whether they are settled.

use sagetrail_protocol::agent::{RunnerCommands, StartCommand, StopCommand};
use sagetrail_protocol::{Incarnation, Term, Text, Time};

/// Below this share of its lease, in hundredths, an agent presses for more.
const LOW_LEASE_PERCENT: u64 = 70;
/// Microseconds in a hundredth of a millisecond.
const MICROS_PER_PERCENT_MS: u64 = 10;

/// What came of orders.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Adoption {
    /// They are newer than those before.
    Adopted,
    /// They are those already adopted.
    Known,
    /// They are older than those adopted, and ignored.
    Older,
}

/// The orders that an agent goes by.
#[derive(Debug)]
pub(crate) struct OrderBook {
    agent: Incarnation,
    adopted: Option<RunnerCommands>,
    lease_until: Time,
    low_lease_at: Time,
    settled: bool,
    /// The runner lapsed then, and the scheduler has answered no later report: it may have given the starts up.
    starts_void_since: Option<Time>,
    observed_instance: Text,
    observed: u64,
}

impl OrderBook {
    /// An agent starts without orders and without a lease.
    pub(crate) fn new(agent: Incarnation) -> OrderBook {
        OrderBook {
            agent,
            adopted: None,
            lease_until: Time(0),
            low_lease_at: Time(0),
            settled: false,
            starts_void_since: None,
            observed_instance: Text::default(),
            observed: 0,
        }
    }

    /// Takes orders.
    pub(crate) fn receive(&mut self, now: Time, orders: RunnerCommands) -> Adoption {
        let order = (orders.term, orders.revision).cmp(&(self.term(), self.revision()));
        if order.is_lt() {
            return Adoption::Older;
        }
        self.extend_lease(now, &orders);
        self.revive_starts(&orders);
        if order.is_eq() && self.adopted.is_some() {
            return Adoption::Known;
        }
        self.note_observed(&orders);
        self.settled = false;
        self.adopted = Some(orders);
        Adoption::Adopted
    }

    /// The runner sent a heartbeat after it took, or dropped, every earlier answer; true where that settles the
    /// orders.
    pub(crate) fn settle(&mut self) -> bool {
        if self.adopted.is_none() {
            return false;
        }
        !std::mem::replace(&mut self.settled, true)
    }

    /// The runner has lapsed: the scheduler may take every run on it for over, also one that was never started. Starts
    /// wait until the scheduler answers a report of what has come since.
    pub(crate) fn void_starts(&mut self, now: Time) {
        self.starts_void_since = Some(now);
    }

    fn revive_starts(&mut self, orders: &RunnerCommands) {
        let answers_later =
            |since: Time| orders.agent == self.agent && Time(orders.sent_at) > since;
        if self.starts_void_since.is_some_and(answers_later) {
            self.starts_void_since = None;
        }
    }

    /// Whether the adopted orders are settled.
    pub(crate) fn is_settled(&self) -> bool {
        self.settled
    }

    /// The term of the adopted orders, 0 without any.
    pub(crate) fn term(&self) -> Term {
        self.adopted.as_ref().map_or(0, |orders| orders.term)
    }

    /// The revision of the adopted orders, 0 without any.
    pub(crate) fn revision(&self) -> u64 {
        self.adopted.as_ref().map_or(0, |orders| orders.revision)
    }

    /// The term by which the runner is fenced; `None` without orders.
    pub(crate) fn fence_token(&self) -> Option<Term> {
        self.adopted.as_ref().map(|orders| orders.term)
    }

    /// What is left of the lease, in whole milliseconds.
    pub(crate) fn lease_left_ms(&self, now: Time) -> u64 {
        self.lease_until.millis_since(now)
    }

    /// When the lease is, or was, low enough to press for more.
    pub(crate) fn low_lease_at(&self) -> Time {
        self.low_lease_at
    }

    /// The starts wanted of this instance.
    pub(crate) fn starts(&self, instance: &str) -> &[StartCommand] {
        let orders = self
            .orders_of(instance)
            .filter(|_| self.starts_void_since.is_none());
        orders.map_or(&[], |orders| &orders.start)
    }

    /// The stops wanted of this instance.
    pub(crate) fn stops(&self, instance: &str) -> &[StopCommand] {
        self.orders_of(instance).map_or(&[], |orders| &orders.stop)
    }

    /// Up to where this instance may forget its ends; `None` where nothing was said of it.
    pub(crate) fn observed(&self, instance: &str) -> Option<u64> {
        (self.observed > 0 && &*self.observed_instance == instance).then_some(self.observed)
    }

    /// When the next heartbeat is wanted; `None` where the scheduler says nothing of it.
    pub(crate) fn retry_after_ms(&self) -> Option<u64> {
        self.adopted
            .as_ref()
            .map(|orders| orders.retry_after_ms)
            .filter(|wait_ms| *wait_ms > 0)
    }

    fn orders_of(&self, instance: &str) -> Option<&RunnerCommands> {
        self.adopted
            .as_ref()
            .filter(|orders| &*orders.instance == instance)
    }

    /// Only an answer to a report of this very agent extends its lease, counted from the report's sending.
    fn extend_lease(&mut self, now: Time, orders: &RunnerCommands) {
        let sent_at = Time(orders.sent_at);
        let answers_us = orders.agent == self.agent && sent_at <= now;
        let until = sent_at.plus_millis(orders.lease_ms);
        if !answers_us || until <= self.lease_until {
            return;
        }
        self.lease_until = until;
        let low_micros = orders
            .lease_ms
            .saturating_mul(LOW_LEASE_PERCENT * MICROS_PER_PERCENT_MS);
        self.low_lease_at = Time(until.0.saturating_sub(low_micros));
    }

    /// An end once observed stays so: the highest number of an instance counts.
    fn note_observed(&mut self, orders: &RunnerCommands) {
        if self.observed_instance == orders.instance {
            self.observed = self.observed.max(orders.observed);
            return;
        }
        self.observed_instance = orders.instance.clone();
        self.observed = orders.observed;
    }
}
