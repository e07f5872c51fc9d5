//! Turns events from clients and runners into calls on the policy, which then decides once.

use crate::message::{Callback, JobState, Reply, RequestFailure, RunnerResponse, WorkRequest};
use crate::state::{
    to_micros, AttemptId, ExchangeHost, ExchangeState, Load, Observation, OpenItem, Purpose,
    EXPIRY_TIMER, OVERDUE_S, SHUTDOWN_MARGIN_S,
};
use sagetrail_policy::{Dispatcher, Host, Job, Outcome, WorkItem};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A reported start is passed on this many seconds later, because it may have overtaken the end that made room for it.
/// On loopback half of the starts overtake, by at most 0.2 ms. More than ten times as much allows for a real network
/// and is still short compared with a job.
const START_DELAY_S: f64 = 0.005;

/// Dispatch of work items. For each batch of events, and whenever [`Exchange::next_due_s`] is reached, the host calls
/// [`Exchange::set_now`] with the time, then makes the calls for the events, each through
/// [`Exchange::contain_panic`], then calls [`Exchange::process_due`].
pub struct Exchange<O: ExchangeHost> {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) state: ExchangeState<O>,
}

/// Configuration of an exchange.
pub struct ExchangeConfig {
    /// Unix time in seconds at 0 on the exchange's clock.
    pub unix_at_zero_s: f64,
    /// Longest time in seconds for establishing a connection to a runner.
    pub connect_timeout_s: f64,
    /// Grace in seconds after the news that a runner drains, within which attempts may still begin there.
    pub drain_grace_s: f64,
    /// Limit of the number of open work items.
    pub max_open_work_items: usize,
    /// Retry time in seconds for a client that is rejected because of this limit.
    pub retry_after_s: f64,
    /// Whether a work item may be at two runners at once.
    pub allow_concurrent_attempts: bool,
    /// Whether runners may be asked to cancel jobs.
    pub may_cancel: bool,
}

impl<O: ExchangeHost> Exchange<O> {
    /// Creates an exchange without work items and without an endpoint list. `now_s` is the time on its clock.
    pub fn new(dispatcher: Dispatcher, host: O, config: ExchangeConfig, now_s: f64) -> Self {
        let ExchangeConfig {
            unix_at_zero_s,
            connect_timeout_s,
            drain_grace_s,
            max_open_work_items,
            retry_after_s,
            allow_concurrent_attempts,
            may_cancel,
        } = config;
        let state = ExchangeState {
            host,
            now_s,
            unix_at_zero_s,
            connect_timeout_s,
            drain_grace_s,
            load: Load::default(),
            list_entries: Vec::new(),
            runner_indices: HashMap::new(),
            open_items: Vec::new(),
            work_items_by_id: HashMap::new(),
            last_serial: 0,
            timers: BTreeMap::new(),
            pending_starts: VecDeque::new(),
            wake_at_s: 0.0,
            max_open_items: max_open_work_items,
            retry_after_s,
            may_run_twice: allow_concurrent_attempts,
            may_cancel,
            agreed_out_of_service: BTreeSet::new(),
            saved_runners: HashMap::new(),
            shutdown_at_s: f64::INFINITY,
        };
        Exchange { dispatcher, state }
    }

    /// Adds `by_s` seconds to the Unix time at 0 on the exchange's clock, because the wall clock was found to be off by
    /// that much.
    pub fn clock_jumped(&mut self, by_s: f64) {
        self.state.unix_at_zero_s += by_s;
    }

    /// Sets the time, in seconds, at which the following calls happen.
    pub fn set_now(&mut self, now_s: f64) {
        self.state.now_s = now_s;
    }

    /// When [`Exchange::process_due`] must be called again even without an event, in seconds.
    pub fn next_due_s(&self) -> f64 {
        let timer_s = self
            .state
            .timers
            .first_key_value()
            .map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
        let start_s = self
            .state
            .pending_starts
            .front()
            .map_or(f64::INFINITY, |(at_s, _)| at_s + START_DELAY_S);
        self.state.wake_at_s.min(timer_s).min(start_s)
    }

    /// Handles the timers that have expired and the starts that are due, then has the policy decide once.
    pub fn process_due(&mut self) {
        self.contain_panic(Exchange::handle_expired_timers);
        let due_until_s = self.state.now_s - START_DELAY_S;
        self.contain_panic(|exchange| exchange.pass_on_starts(|_, at_s, _| at_s <= due_until_s));
        self.contain_panic(|exchange| {
            if exchange.state.wake_at_s <= exchange.state.now_s {
                exchange.state.wake_at_s = f64::INFINITY;
            }
            let (state, dispatcher) = (&mut exchange.state, &mut exchange.dispatcher);
            state
                .host
                .apply_shared_state(state.now_s, dispatcher, &state.load);
            dispatcher.decide(state);
            state
                .host
                .report_budget_use(state.now_s, dispatcher, &state.load);
        });
    }

    /// Makes a call and contains a panic in it, so that one faulty call does not end the dispatcher and all other work
    /// items are still settled.
    pub fn contain_panic(&mut self, call: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| call(self))).is_err() {
            tracing::error!("panic in the exchange contained");
            self.state.wake_at_s = self.state.now_s + 0.1;
        }
    }

    fn handle_expired_timers(&mut self) {
        while let Some((&(at_micros, serial, number), &work_item)) =
            self.state.timers.first_key_value()
        {
            if at_micros > to_micros(self.state.now_s) {
                return;
            }
            self.state.timers.pop_first();
            let Some(open_item) = self
                .state
                .open_item(work_item)
                .filter(|open_item| open_item.serial == serial)
            else {
                continue;
            };
            if number == EXPIRY_TIMER {
                if open_item.client.is_some() {
                    tracing::error!(
                        "work item unanswered after its expiry, written off work_item={}",
                        open_item.request.id
                    );
                    self.state.write_off(work_item);
                    work_item.client_left(&mut self.dispatcher, &mut self.state);
                }
            } else if open_item
                .attempt
                .as_ref()
                .is_some_and(|attempt| attempt.number == number)
            {
                let id = AttemptId {
                    work_item,
                    serial,
                    attempt_number: number,
                };
                self.state.cancel_attempt(id, None);
                self.end_attempt(id, Outcome::Timeout);
            }
        }
    }

    // ---- calls for clients ----

    /// Accepts a work item from a client, or rejects it with a reply. `wait_s` is the time in seconds that the client
    /// waits; the expiry in `job` is ignored.
    pub fn accept(&mut self, request: WorkRequest, job: Job, wait_s: f64, client: O::Client) {
        let now_s = self.state.now_s;
        if self.state.work_items_by_id.contains_key(&request.id) {
            return self
                .state
                .host
                .answer(client, Reply::new(400, "this Req-Id is in hand already\n"));
        }
        if self.state.work_items_by_id.len() >= self.state.max_open_items {
            let retry_after_s = self.state.retry_after_s;
            let reply = Reply {
                retry_after_s,
                ..Reply::new(503, "too many in hand\n")
            };
            return self.state.host.answer(client, reply);
        }
        let expiry_s = (now_s + wait_s).min(self.state.shutdown_at_s);
        let Some(work_item) = self.dispatcher.submit(
            now_s,
            Job {
                expires_at_s: expiry_s,
                ..job
            },
        ) else {
            return self
                .state
                .host
                .answer(client, Reply::new(404, "unknown category\n"));
        };
        self.state.last_serial += 1;
        let serial = self.state.last_serial;
        self.state
            .work_items_by_id
            .insert(request.id.clone(), work_item);
        self.state.timers.insert(
            (to_micros(expiry_s + OVERDUE_S), serial, EXPIRY_TIMER),
            work_item,
        );
        let index = work_item.0 as usize;
        if self.state.open_items.len() <= index {
            self.state.open_items.resize_with(index + 1, || None);
        }
        let category = job.category;
        self.state.load.adjust_work_items(category, true);
        self.state.host.record_arrival(now_s, category);
        let client = Some(client);
        self.state.open_items[index] = Some(OpenItem {
            serial,
            category,
            request,
            client,
            expiry_s,
            attempt_count: 0,
            attempt: None,
            earlier_runners: Vec::new(),
        });
    }

    /// Shuts the exchange down: everything is settled at `at_s`. Attempts are dropped a little earlier, so that
    /// work items that may run again can still be deferred.
    pub fn shut_down_by(&mut self, at_s: f64) {
        self.state.shutdown_at_s = at_s;
        self.dispatcher.set_shutdown_at(at_s);
        for (index, open_item) in self.state.open_items.iter_mut().enumerate() {
            let Some(open_item) = open_item else { continue };
            let mut timers = vec![(
                open_item.expiry_s + OVERDUE_S,
                at_s + OVERDUE_S,
                EXPIRY_TIMER,
            )];
            open_item.expiry_s = open_item.expiry_s.min(at_s);
            if let Some(attempt) = &mut open_item.attempt {
                timers.push((attempt.drop_at_s, at_s - SHUTDOWN_MARGIN_S, attempt.number));
                attempt.drop_at_s = attempt.drop_at_s.min(at_s - SHUTDOWN_MARGIN_S);
            }
            for (old_s, limit_s, number) in timers {
                self.state
                    .timers
                    .remove(&(to_micros(old_s), open_item.serial, number));
                self.state.timers.insert(
                    (to_micros(old_s.min(limit_s)), open_item.serial, number),
                    WorkItem(index as u32),
                );
            }
        }
    }

    /// The client of the work item with this id has closed its connection.
    pub fn client_left(&mut self, id: &str) {
        let Some(&work_item) = self.state.work_items_by_id.get(id) else {
            return;
        };
        // The client that left may be one that was rejected because another had the same id.
        let has_left = |open_item: &&mut OpenItem<_, _>| {
            open_item.client.as_ref().is_some_and(O::has_disconnected)
        };
        if let Some(open_item) = self.state.open_item(work_item).filter(has_left) {
            open_item.client = None;
            work_item.client_left(&mut self.dispatcher, &mut self.state);
        }
        // No attempt may begin once nobody waits for it. Where cancelling is not allowed, an attempt whose connection
        // is still being established is held back all the same.
        let Some(open_item) = self
            .state
            .open_item(work_item)
            .filter(|open_item| open_item.client.is_none())
        else {
            return;
        };
        let serial = open_item.serial;
        if let Some(attempt) = open_item
            .attempt
            .as_ref()
            .filter(|attempt| !attempt.is_cancelled && !attempt.is_written.get())
        {
            let id = AttemptId {
                work_item,
                serial,
                attempt_number: attempt.number,
            };
            self.state.cancel_attempt(id, None);
        }
    }

    // ---- calls for runners ----

    /// Handles a callback of a runner if it is about the attempt now in flight. Returns whether the work item is open
    /// here.
    pub fn callback(&mut self, callback: Callback) -> bool {
        let Some(&work_item) = self.state.work_items_by_id.get(callback.id.as_str()) else {
            return false;
        };
        self.handle_callback(work_item, callback);
        true
    }

    fn handle_callback(&mut self, work_item: WorkItem, callback: Callback) {
        let now_s = self.state.now_s;
        let Some(serial) = self
            .state
            .open_item(work_item)
            .map(|open_item| open_item.serial)
        else {
            return;
        };
        let Some(attempt) = self
            .state
            .open_item(work_item)
            .and_then(|open_item| open_item.attempt.as_ref())
        else {
            return;
        };
        // The callback is about an earlier attempt if it comes from another runner, or before this attempt was written.
        let (number, runner, is_written) =
            (attempt.number, attempt.runner, attempt.is_written.get());
        if !is_written || self.state.load.endpoints[runner].name != callback.from {
            return;
        }
        let id = AttemptId {
            work_item,
            serial,
            attempt_number: number,
        };
        // The job has been accepted even if its 202 is still on its way. If it were not, a cancellation would only
        // close the connection and take the job for cancelled.
        if let Some(attempt) = self.state.attempt(id) {
            attempt.is_accepted = true;
        }
        work_item.accepted(&mut self.dispatcher, now_s, number);
        match callback.state {
            JobState::Started => self.state.pending_starts.push_back((now_s, id)),
            JobState::Running { share } => {
                work_item.progressed(&mut self.dispatcher, now_s, number, share.clamp(0.0, 1.0))
            }
            JobState::Done { result } => {
                self.state.reply(work_item, Reply::new(200, result));
                self.end_attempt(id, Outcome::Finished);
            }
            JobState::Failed => self.end_by_callback(id, Outcome::Error),
            JobState::Returned => self.end_by_callback(id, Outcome::Full),
            JobState::Lost => self.end_by_callback(id, Outcome::Reset),
        }
    }

    /// Ends an attempt by a runner's callback. If the runner had an earlier attempt of the work item, the callback may
    /// be a late or repeated one about that, and the present attempt may still run. It is then cancelled first and
    /// counts as one that may have run.
    fn end_by_callback(&mut self, id: AttemptId, outcome: Outcome) {
        let runner = self.state.attempt(id).map(|attempt| attempt.runner);
        let open_item = self.state.open_item(id.work_item);
        let had_earlier_attempt = open_item.is_some_and(|open_item| {
            open_item
                .earlier_runners
                .iter()
                .any(|earlier| Some(*earlier) == runner)
        });
        match had_earlier_attempt {
            false => self.end_attempt(id, outcome),
            true if self.state.may_cancel => self.state.cancel_attempt(id, Some(Outcome::Reset)),
            true => {}
        }
    }

    /// The host reports the end of a request to a runner: the response, or how far the request had come when it failed.
    pub fn request_ended(
        &mut self,
        purpose: Purpose,
        ended: Result<RunnerResponse, RequestFailure>,
    ) {
        match purpose {
            Purpose::Attempt(id) => self.attempt_request_ended(id, ended),
            Purpose::Cancel(id, outcome) => self.cancel_request_ended(id, outcome, ended),
        }
    }

    /// Repeats a request to cancel an attempt, after the pause that [`ExchangeHost::schedule_retry`] asked for.
    pub fn retry(&mut self, purpose: Purpose) {
        if let Purpose::Cancel(id, outcome) = purpose {
            self.state.cancel_attempt(id, outcome);
        }
    }

    fn attempt_request_ended(
        &mut self,
        id: AttemptId,
        ended: Result<RunnerResponse, RequestFailure>,
    ) {
        let Some(attempt) = self.state.attempt(id) else {
            return;
        };
        let is_cancelled = attempt.is_cancelled;
        if is_cancelled && attempt.is_accepted {
            return;
        }
        let outcome = match ended {
            Ok(RunnerResponse { status: 202, .. }) => {
                attempt.is_accepted = true;
                let runner = attempt.runner;
                self.state.host.record_observation(
                    self.state.now_s,
                    runner,
                    Observation::Responded,
                );
                if is_cancelled {
                    self.state.cancel_attempt(id, Some(Outcome::Cancelled));
                }
                return id.work_item.accepted(
                    &mut self.dispatcher,
                    self.state.now_s,
                    id.attempt_number,
                );
            }
            Ok(RunnerResponse {
                status: 503 | 504,
                is_declined: true,
                may_be_duplicate: false,
                ..
            }) => Outcome::Full,
            Ok(RunnerResponse {
                status: 503 | 504,
                is_declined: true,
                ..
            }) => Outcome::MaybeFull,
            Ok(_) => Outcome::Error,
            Err(RequestFailure::NotSent) => Outcome::NotSent,
            Err(RequestFailure::NotDelivered) => Outcome::NoConnection,
            Err(RequestFailure::NoResponse | RequestFailure::StaleConnection) if is_cancelled => {
                Outcome::Cancelled
            }
            Err(RequestFailure::NoResponse) => Outcome::Reset,
            Err(RequestFailure::StaleConnection) => Outcome::StaleConnection,
        };
        self.end_attempt(id, outcome);
    }

    /// Handles the end of a request to cancel an attempt. Where a work item must not be at two runners at once, a
    /// cancellation without a response is repeated until the client gives up: the attempt may still run behind a
    /// network partition, and a retry would be a second copy. A refused connection proves nothing, since a full runner
    /// refuses connections too. If the runner's process died, its machine reports that, and the endpoint list reports a
    /// restart.
    fn cancel_request_ended(
        &mut self,
        id: AttemptId,
        outcome: Option<Outcome>,
        ended: Result<RunnerResponse, RequestFailure>,
    ) {
        let (Some(outcome), Some(open_item)) = (outcome, self.state.open_item(id.work_item)) else {
            return;
        };
        let work_item_id = open_item.request.id.clone();
        if self.state.may_run_twice || ended.is_ok() {
            self.end_attempt(id, outcome);
        } else {
            if let Some(attempt) = self
                .state
                .attempt(id)
                .filter(|attempt| !attempt.is_unconfirmed_logged)
            {
                attempt.is_unconfirmed_logged = true;
                let runner = attempt.runner;
                tracing::warn!(
                    "runner does not confirm a cancellation runner={} work_item={work_item_id}",
                    self.state.load.endpoints[runner].name
                );
            }
            // There is a pause before the repetition: a runner may close the connection at once, and every new
            // connection costs it work.
            self.state
                .host
                .schedule_retry(Purpose::Cancel(id, Some(outcome)));
        }
    }

    /// Ends an attempt that is in flight and reports its outcome to the policy and to the host.
    pub(crate) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(drop_at_s) = self.state.attempt(id).map(|attempt| attempt.drop_at_s) else {
            return;
        };
        let AttemptId {
            work_item,
            serial,
            attempt_number,
        } = id;
        self.state
            .timers
            .remove(&(to_micros(drop_at_s), serial, attempt_number));
        self.pass_on_starts(|_, _, other| other.serial == serial);
        let Some(open_item) = self.state.open_item(work_item) else {
            return;
        };
        let category = open_item.category;
        let Some(attempt) = open_item.attempt.take() else {
            return;
        };
        if attempt.is_written.get() {
            open_item.earlier_runners.push(attempt.runner);
        }
        self.state.load.adjust_attempts(category, false);
        if attempt.is_started {
            self.state.load.adjust_jobs(attempt.runner, false);
        }
        let observation = match outcome {
            Outcome::Finished => Some(Observation::Finished),
            Outcome::Error => Some(Observation::Failed),
            Outcome::Reset | Outcome::NoConnection | Outcome::Timeout => {
                Some(Observation::NoResponse)
            }
            _ => None,
        };
        observation.into_iter().for_each(|observation| {
            self.state
                .host
                .record_observation(self.state.now_s, attempt.runner, observation)
        });
        let is_settled = outcome == Outcome::Finished;
        work_item.attempt_ended(
            &mut self.dispatcher,
            &mut self.state,
            attempt_number,
            outcome,
            is_settled,
        );
        self.pass_on_starts(|state, _, other| {
            state
                .attempt(other)
                .is_some_and(|next| next.runner == attempt.runner)
        });
    }

    /// Passes the reported starts that `is_due` selects on to the policy. They are delayed because a start may overtake
    /// the end that made room for it: a runner reports both at once, on two connections, and would seem to run one job
    /// too many.
    fn pass_on_starts(&mut self, is_due: impl Fn(&mut ExchangeState<O>, f64, AttemptId) -> bool) {
        for _ in 0..self.state.pending_starts.len() {
            let Some((at_s, id)) = self.state.pending_starts.pop_front() else {
                return;
            };
            if !is_due(&mut self.state, at_s, id) {
                self.state.pending_starts.push_back((at_s, id));
            } else if let Some(attempt) = self.state.attempt(id) {
                let (runner, was_started) = (
                    attempt.runner,
                    std::mem::replace(&mut attempt.is_started, true),
                );
                if !was_started {
                    self.state.load.adjust_jobs(runner, true);
                }
                id.work_item
                    .started(&mut self.dispatcher, at_s, id.attempt_number);
            }
        }
    }
}
