//! The configuration changes and configuration reads of the operator that are in flight at this process.

use std::collections::BTreeMap;
use std::sync::Arc;

use sagetrail_cluster_config::ConfigError;
use sagetrail_protocol::control::ProposalNumber;
use sagetrail_protocol::node::{HttpReply, HttpRequestId};
use sagetrail_protocol::Time;

use crate::change::Change;
use crate::change_function::{ChangeFunction, ChangeOutcome};
use crate::effects::Effects;
use crate::http_api::{BAD_REQUEST, OK, OUTCOME_UNKNOWN, PRECONDITION_FAILED, SERVICE_UNAVAILABLE};
use crate::register::{CompletedChange, Register};
use crate::register_view::RegisterView;
use crate::timing::{ANSWER_MARGIN_MS, LEARN_WAIT_MS, UNPROPOSED_MS};

/// The maximum number of configuration changes in flight, and the maximum number of configuration reads in flight.
const MAX_IN_FLIGHT: usize = 64;

/// The confirmation by the scheduler that is awaited for a change that is in the register already.
#[derive(Clone, Copy, Debug)]
struct AwaitedConfirmation {
    /// The proposal number of the value with the change.
    proposal: ProposalNumber,
    /// When the operator is answered even without a confirmation.
    until: Time,
}

/// A configuration change in flight.
#[derive(Debug)]
struct ChangeInFlight {
    change: Arc<Change>,
    /// The requests that are answered with the outcome of the change, since the same change may be sent several times.
    waiters: Vec<HttpRequestId>,
    /// When the first request arrived.
    arrived: Time,
    /// The awaited confirmation; `None` until the change is in the register.
    accepted: Option<AwaitedConfirmation>,
}

/// A configuration read in flight.
#[derive(Debug)]
struct ReadInFlight {
    /// The request to answer.
    id: HttpRequestId,
    /// When the request arrived. The answer has to include every value chosen before this moment.
    arrived: Time,
}

/// The requests of the operator that are in flight at one process.
#[derive(Debug)]
pub(crate) struct OperatorRequests {
    /// The time limit of a request in milliseconds.
    timeout_ms: u64,
    /// The number of the latest change.
    last_number: u64,
    /// The changes in flight by their number at this process.
    changes: BTreeMap<u64, ChangeInFlight>,
    reads: Vec<ReadInFlight>,
}

impl OperatorRequests {
    /// Creates the state without requests. `ack_ms` is the time in milliseconds for which the operator waits for an
    /// answer.
    pub(crate) fn new(ack_ms: u64) -> OperatorRequests {
        OperatorRequests {
            timeout_ms: ack_ms.saturating_sub(ANSWER_MARGIN_MS).max(UNPROPOSED_MS),
            last_number: 0,
            changes: BTreeMap::new(),
            reads: Vec::new(),
        }
    }

    /// Whether no request is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.changes.is_empty() && self.reads.is_empty()
    }

    /// Proposes a change. If the same change is in flight already, it is not proposed again and the request `id` is
    /// answered with its outcome.
    pub(crate) fn submit_change(
        &mut self,
        now: Time,
        id: HttpRequestId,
        change: Change,
        register: &mut Register,
        effects: &mut Effects,
    ) {
        if let Some(same) = self
            .changes
            .values_mut()
            .find(|in_flight| *in_flight.change == change)
        {
            return same.waiters.push(id);
        }
        if self.changes.len() >= MAX_IN_FLIGHT {
            return effects.reply_status(id, SERVICE_UNAVAILABLE);
        }
        self.last_number += 1;
        let number = self.last_number;
        let change = Arc::new(change);
        register.propose(ChangeFunction::Config {
            number,
            change: change.clone(),
        });
        let in_flight = ChangeInFlight {
            change,
            waiters: vec![id],
            arrived: now,
            accepted: None,
        };
        self.changes.insert(number, in_flight);
    }

    /// Takes a configuration read, which is answered once the register view includes every value chosen before `now`.
    pub(crate) fn submit_read(&mut self, now: Time, id: HttpRequestId, effects: &mut Effects) {
        if self.reads.len() >= MAX_IN_FLIGHT {
            return effects.reply_status(id, SERVICE_UNAVAILABLE);
        }
        self.reads.push(ReadInFlight { id, arrived: now });
    }

    /// The moment up to which the configuration reads in flight need the register view to be complete; `None` if there
    /// are none.
    pub(crate) fn fresh_as_of(&self) -> Option<Time> {
        self.reads.iter().map(|read| read.arrived).max()
    }

    /// Handles a request whose caller has disconnected. A change stays in flight, since it may have been accepted.
    pub(crate) fn on_abandoned(&mut self, id: HttpRequestId) {
        self.reads.retain(|read| read.id != id);
        for in_flight in self.changes.values_mut() {
            in_flight.waiters.retain(|waiter| *waiter != id);
        }
    }

    /// Handles the outcome of a change. `awaits_leader` is true if the scheduler runs at another process, which still
    /// has to learn the change.
    pub(crate) fn on_change_completed(
        &mut self,
        now: Time,
        completed: &CompletedChange,
        awaits_leader: bool,
        effects: &mut Effects,
    ) {
        let number = completed.number;
        match &completed.outcome {
            ChangeOutcome::Applied if awaits_leader => {
                if let Some(in_flight) = self.changes.get_mut(&number) {
                    in_flight.accepted = Some(AwaitedConfirmation {
                        proposal: completed.proposal,
                        until: now.plus_millis(LEARN_WAIT_MS),
                    });
                }
            }
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
                self.answer(number, OUTCOME_UNKNOWN, Vec::new(), effects)
            }
        }
    }

    /// Handles the notification that the leader has learned the values up to this proposal number.
    pub(crate) fn on_leader_learned(&mut self, proposal: ProposalNumber, effects: &mut Effects) {
        let is_learned = |accepted: AwaitedConfirmation| accepted.proposal <= proposal;
        self.confirm_accepted(is_learned, effects);
    }

    /// Answers the requests that can be answered or have reached their time limit.
    pub(crate) fn tick(&mut self, now: Time, register: &mut Register, effects: &mut Effects) {
        self.confirm_accepted(|accepted| now >= accepted.until, effects);
        self.time_out_changes(now, register, effects);
        self.answer_reads(now, register.view(), effects);
    }

    /// Answers all requests at once, because the process is shutting down.
    pub(crate) fn close(&mut self, register: &mut Register, effects: &mut Effects) {
        for read in std::mem::take(&mut self.reads) {
            effects.reply_status(read.id, SERVICE_UNAVAILABLE);
        }
        let numbers: Vec<u64> = self.changes.keys().copied().collect();
        for number in numbers {
            self.give_up(number, register, effects);
        }
    }

    /// When the next request reaches its time limit.
    pub(crate) fn next_wake(&self, register: &Register) -> Option<Time> {
        let changes = self
            .changes
            .iter()
            .map(|(number, in_flight)| self.answer_due_at(*number, in_flight, register));
        let reads = self
            .reads
            .iter()
            .map(|read| read.arrived.plus_millis(self.timeout_ms));
        changes.chain(reads).min()
    }

    /// When a change is answered even if its outcome is not known. A change that certainly was not accepted by any
    /// acceptor is answered earlier than one that may have been.
    fn answer_due_at(&self, number: u64, in_flight: &ChangeInFlight, register: &Register) -> Time {
        if let Some(accepted) = in_flight.accepted {
            return accepted.until;
        }
        let timeout_ms = if register.may_be_accepted(number) {
            self.timeout_ms
        } else {
            UNPROPOSED_MS
        };
        in_flight.arrived.plus_millis(timeout_ms)
    }

    fn time_out_changes(&mut self, now: Time, register: &mut Register, effects: &mut Effects) {
        let due: Vec<u64> = self
            .changes
            .iter()
            .filter(|(number, in_flight)| now >= self.answer_due_at(**number, in_flight, register))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            self.give_up(number, register, effects);
        }
    }

    fn give_up(&mut self, number: u64, register: &mut Register, effects: &mut Effects) {
        let status = self.status_before_outcome(number, register);
        register.cancel_change(number);
        self.answer(number, status, Vec::new(), effects);
    }

    /// The HTTP status for a change whose outcome is not known.
    fn status_before_outcome(&self, number: u64, register: &Register) -> u16 {
        let is_accepted = self
            .changes
            .get(&number)
            .is_some_and(|in_flight| in_flight.accepted.is_some());
        match (is_accepted, register.may_be_accepted(number)) {
            (true, _) => OK,
            (false, true) => OUTCOME_UNKNOWN,
            (false, false) => SERVICE_UNAVAILABLE,
        }
    }

    fn answer_reads(&mut self, now: Time, view: &RegisterView, effects: &mut Effects) {
        let timeout_ms = self.timeout_ms;
        self.reads.retain(|read| {
            let reply = match view.config() {
                Some(config) if view.is_fresh(read.arrived) => {
                    json_reply(OK, config.document.to_vec())
                }
                None if view.is_fresh(read.arrived) => json_reply(SERVICE_UNAVAILABLE, Vec::new()),
                _ if now >= read.arrived.plus_millis(timeout_ms) => {
                    json_reply(SERVICE_UNAVAILABLE, Vec::new())
                }
                _ => return true,
            };
            effects.replies.push((read.id, reply));
            false
        });
    }

    fn confirm_accepted(
        &mut self,
        is_confirmed: impl Fn(AwaitedConfirmation) -> bool,
        effects: &mut Effects,
    ) {
        let confirmed = self
            .changes
            .iter()
            .filter(|(_, in_flight)| in_flight.accepted.is_some_and(&is_confirmed));
        let numbers: Vec<u64> = confirmed.map(|(number, _)| *number).collect();
        for number in numbers {
            self.answer(number, OK, Vec::new(), effects);
        }
    }

    fn answer(&mut self, number: u64, status: u16, body: Vec<u8>, effects: &mut Effects) {
        let Some(in_flight) = self.changes.remove(&number) else {
            return;
        };
        for waiter in in_flight.waiters {
            effects
                .replies
                .push((waiter, json_reply(status, body.clone())));
        }
    }
}

fn json_reply(status: u16, body: Vec<u8>) -> HttpReply {
    HttpReply {
        status,
        retry_after_s: None,
        body,
    }
}

fn error_body(error: &ConfigError) -> Vec<u8> {
    serde_json::json!({ "error": error.to_string() })
        .to_string()
        .into_bytes()
}
