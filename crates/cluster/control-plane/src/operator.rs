//! The operator's orders and read-backs under way at this process.

use crate::change::Change;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::effects::Effects;
use crate::proposer::Proposer;
use crate::register_view::RegisterView;
use crate::timing::{LEARN_WAIT_MS, ORDER_MARGIN_MS, UNTOUCHED_MS};
use sagetrail_protocol::control::ProposalNumber;
use sagetrail_protocol::node::{HttpReply, HttpRequestId};
use sagetrail_protocol::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const PRECONDITION_FAILED: u16 = 412;
const UNAVAILABLE: u16 = 503;
const UNKNOWN: u16 = 504;
/// So many orders and read-backs wait at once.
const MAX_WAITING: usize = 64;

#[derive(Debug)]
struct Order {
    change: Arc<Change>,
    waiters: Vec<HttpRequestId>,
    arrived: Time,
    /// Taken in this proposal number; the scheduler is to learn it until the given time.
    taken: Option<(ProposalNumber, Time)>,
}

#[derive(Debug)]
struct ReadBack {
    id: HttpRequestId,
    arrived: Time,
}

/// All of them.
#[derive(Debug)]
pub(crate) struct Operator {
    patience_ms: u64,
    next_number: u64,
    orders: BTreeMap<u64, Order>,
    read_backs: Vec<ReadBack>,
}

impl Operator {
    /// Without any; `ack_ms` is how long the operator waits.
    pub(crate) fn new(ack_ms: u64) -> Operator {
        let patience_ms = ack_ms.saturating_sub(ORDER_MARGIN_MS).max(UNTOUCHED_MS);
        Operator {
            patience_ms,
            next_number: 0,
            orders: BTreeMap::new(),
            read_backs: Vec::new(),
        }
    }

    /// Whether nothing is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.orders.is_empty() && self.read_backs.is_empty()
    }

    /// Takes an order; the same order under way gets one more listener.
    pub(crate) fn order(
        &mut self,
        now: Time,
        id: HttpRequestId,
        change: Change,
        proposer: &mut Proposer,
        effects: &mut Effects,
    ) {
        if let Some(order) = self
            .orders
            .values_mut()
            .find(|order| *order.change == change)
        {
            return order.waiters.push(id);
        }
        if self.orders.len() >= MAX_WAITING {
            return effects.status(id, UNAVAILABLE);
        }
        self.next_number += 1;
        let number = self.next_number;
        let change = Arc::new(change);
        proposer.push(ChangeFunction::Config {
            number,
            change: change.clone(),
        });
        self.orders.insert(
            number,
            Order {
                change,
                waiters: vec![id],
                arrived: now,
                taken: None,
            },
        );
    }

    /// Takes a read-back.
    pub(crate) fn read_back(&mut self, now: Time, id: HttpRequestId, effects: &mut Effects) {
        if self.read_backs.len() >= MAX_WAITING {
            return effects.status(id, UNAVAILABLE);
        }
        self.read_backs.push(ReadBack { id, arrived: now });
    }

    /// The latest moment as of which a read-back needs the register.
    pub(crate) fn wants_fresh(&self) -> Option<Time> {
        self.read_backs.iter().map(|read| read.arrived).max()
    }

    /// The caller has gone. The order stays: it may have been accepted.
    pub(crate) fn abandoned(&mut self, id: HttpRequestId) {
        self.read_backs.retain(|read| read.id != id);
        for order in self.orders.values_mut() {
            order.waiters.retain(|waiter| *waiter != id);
        }
    }

    /// The outcome of an order. `wait`: the scheduler has yet to learn it.
    pub(crate) fn outcome(
        &mut self,
        now: Time,
        number: u64,
        outcome: &ChangeOutcome,
        proposal: ProposalNumber,
        wait: bool,
        effects: &mut Effects,
    ) {
        if let (ChangeOutcome::Applied, true) = (outcome, wait) {
            if let Some(order) = self.orders.get_mut(&number) {
                order.taken = Some((proposal, now.plus_millis(LEARN_WAIT_MS)));
            }
            return;
        }
        match outcome {
            ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied => {
                self.answer(number, OK, Vec::new(), effects)
            }
            ChangeOutcome::Conflict => {
                self.answer(number, PRECONDITION_FAILED, Vec::new(), effects)
            }
            ChangeOutcome::Invalid(error) => {
                self.answer(number, BAD_REQUEST, error_body(error), effects)
            }
            ChangeOutcome::Unchanged | ChangeOutcome::Unknown => {
                self.answer(number, UNKNOWN, Vec::new(), effects)
            }
        }
    }

    /// The scheduler acts by this proposal number now.
    pub(crate) fn leader_learned(&mut self, proposal: ProposalNumber, effects: &mut Effects) {
        let is_known = |order: &Order| order.taken.is_some_and(|(taken, _)| taken <= proposal);
        self.answer_all(is_known, OK, effects);
    }

    /// Answers what is due.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        register_view: &RegisterView,
        proposer: &mut Proposer,
        effects: &mut Effects,
    ) {
        self.answer_all(
            |order| order.taken.is_some_and(|(_, until)| now >= until),
            OK,
            effects,
        );
        self.give_up(now, proposer, effects);
        self.answer_reads(now, register_view, effects);
    }

    /// Answers everything at once: the process ends.
    pub(crate) fn close(&mut self, proposer: &mut Proposer, effects: &mut Effects) {
        for read in std::mem::take(&mut self.read_backs) {
            effects.status(read.id, UNAVAILABLE);
        }
        let numbers: Vec<u64> = self.orders.keys().copied().collect();
        for number in numbers {
            let status = self.status_now(number, proposer);
            proposer.cancel(number);
            self.answer(number, status, Vec::new(), effects);
        }
    }

    /// What can be said of an order before its outcome.
    fn status_now(&self, number: u64, proposer: &Proposer) -> u16 {
        let taken = self
            .orders
            .get(&number)
            .is_some_and(|order| order.taken.is_some());
        match (taken, proposer.may_be_accepted(number)) {
            (true, _) => OK,
            (false, true) => UNKNOWN,
            (false, false) => UNAVAILABLE,
        }
    }

    /// When something is due.
    pub(crate) fn next_wake(&self, proposer: &Proposer) -> Option<Time> {
        let orders = self
            .orders
            .iter()
            .map(|(number, order)| self.due(*number, order, proposer));
        let reads = self
            .read_backs
            .iter()
            .map(|read| read.arrived.plus_millis(self.patience_ms));
        orders.chain(reads).min()
    }

    fn due(&self, number: u64, order: &Order, proposer: &Proposer) -> Time {
        if let Some((_, until)) = order.taken {
            return until;
        }
        let patience = if proposer.may_be_accepted(number) {
            self.patience_ms
        } else {
            UNTOUCHED_MS
        };
        order.arrived.plus_millis(patience)
    }

    fn give_up(&mut self, now: Time, proposer: &mut Proposer, effects: &mut Effects) {
        let is_due = |(number, order): &(&u64, &Order)| now >= self.due(**number, order, proposer);
        let due: Vec<u64> = self
            .orders
            .iter()
            .filter(is_due)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let status = self.status_now(number, proposer);
            proposer.cancel(number);
            self.answer(number, status, Vec::new(), effects);
        }
    }

    fn answer_reads(&mut self, now: Time, register_view: &RegisterView, effects: &mut Effects) {
        let patience_ms = self.patience_ms;
        self.read_backs.retain(|read| {
            let reply = match register_view.config() {
                Some(config) if register_view.is_fresh(read.arrived) => {
                    json(OK, config.document.to_vec())
                }
                None if register_view.is_fresh(read.arrived) => json(UNAVAILABLE, Vec::new()),
                _ if now >= read.arrived.plus_millis(patience_ms) => json(UNAVAILABLE, Vec::new()),
                _ => return true,
            };
            effects.replies.push((read.id, reply));
            false
        });
    }

    fn answer_all(&mut self, wanted: impl Fn(&Order) -> bool, status: u16, effects: &mut Effects) {
        let chosen = self.orders.iter().filter(|(_, order)| wanted(order));
        let numbers: Vec<u64> = chosen.map(|(number, _)| *number).collect();
        for number in numbers {
            self.answer(number, status, Vec::new(), effects);
        }
    }

    fn answer(&mut self, number: u64, status: u16, body: Vec<u8>, effects: &mut Effects) {
        let Some(order) = self.orders.remove(&number) else {
            return;
        };
        for waiter in order.waiters {
            effects.replies.push((waiter, json(status, body.clone())));
        }
    }
}

fn json(status: u16, body: Vec<u8>) -> HttpReply {
    HttpReply {
        status,
        retry_after_s: None,
        body,
    }
}

fn error_body(error: &sagetrail_cluster_config::ConfigError) -> Vec<u8> {
    serde_json::json!({ "error": error.to_string() })
        .to_string()
        .into_bytes()
}
