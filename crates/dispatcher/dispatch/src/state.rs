//! State of an exchange: the open work items, their attempts and their timers. Here the decisions of the policy are
//! carried out: the policy calls [`Host`], and what needs I/O goes on to [`ExchangeHost`].

use crate::endpoint_list::{Endpoint, ListEntry};
use crate::message::{Reply, RunnerRequest, WorkRequest};
use crate::saved_state::RunnerEstimate;
use sagetrail_policy::{Dispatcher, Host, Outcome, WorkItem};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// I/O and shared state that an exchange needs from its host. Results come back later as calls on the exchange. Times
/// are in seconds on the exchange's clock.
pub trait ExchangeHost {
    /// A client that waits for a reply.
    type Client;
    /// A request to a runner that is under way. If the handle is dropped, the request goes on.
    type RequestHandle;

    /// Replies to a client. This fails only if the client has disconnected, and then no reply is owed.
    fn answer(&mut self, client: Self::Client, reply: Reply);
    /// Whether the client has disconnected.
    fn has_disconnected(client: &Self::Client) -> bool;
    /// Sends a request to a runner and reports its end to `Exchange::request_ended` exactly once. `is_written` is set
    /// when the last byte has been written. The request is abandoned at `deadline_s`.
    fn send_request(
        &mut self,
        purpose: Purpose,
        runner: usize,
        request: RunnerRequest,
        deadline_s: f64,
        is_written: Rc<Cell<bool>>,
    ) -> Self::RequestHandle;
    /// Abandons a request.
    fn abort_request(&mut self, request: Self::RequestHandle);
    /// Calls `Exchange::retry` after a pause.
    fn schedule_retry(&mut self, purpose: Purpose);
    /// Adds a runner that the endpoint list names for the first time. Its index is the next one.
    fn add_runner(&mut self, endpoint: Rc<Endpoint>);
    /// Closes the idle connections to a runner, because the process at their other end is no longer in use.
    fn close_idle_connections(&mut self, runner: usize);
    /// Asks discovery for the endpoint list.
    fn ask_discovery(&mut self);
    /// Sets whether the exchange has an endpoint list.
    fn set_has_endpoints(&mut self, has_endpoints: bool);

    // ---- state that dispatchers share; the defaults are for a dispatcher that shares none ----

    /// Counts a work item that has been accepted.
    fn record_arrival(&mut self, _now_s: f64, _category: usize) {}
    /// Until when an attempt may begin. Then the leases of the budgets end that it counts towards. The time is checked
    /// just before the first byte is written, because the process may have been paused in between.
    fn budget_usable_until(&self, _now_s: f64, _runner: usize, _category: usize) -> f64 {
        f64::INFINITY
    }
    /// Counts an attempt that is sent. `is_retry` says that it is not the first of its work item.
    fn record_attempt(&mut self, _now_s: f64, _is_retry: bool) {}
    /// Records an observation of a runner.
    fn record_observation(&mut self, _now_s: f64, _runner: usize, _observation: Observation) {}
    /// Called before the policy decides: passes on to it what other dispatchers share.
    fn apply_shared_state(&mut self, _now_s: f64, _dispatcher: &mut Dispatcher, _load: &Load) {}
    /// Called after the policy has decided: reports what is used of the shared budgets.
    fn report_budget_use(&mut self, _now_s: f64, _dispatcher: &Dispatcher, _load: &Load) {}
}

/// Observation of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A job has finished.
    Finished,
    /// The runner has accepted an attempt, so it is reachable.
    Responded,
    /// A job has failed, but the runner is reachable.
    Failed,
    /// The runner was not reached, reset the connection, timed out, or gave no sign where one was due.
    NoResponse,
}

/// Numbers of open work items, attempts and jobs.
#[derive(Default)]
pub struct Load {
    /// Endpoints of all runners that the endpoint list ever named, by their index.
    pub endpoints: Vec<Rc<Endpoint>>,
    /// Open work items, by category.
    pub open_work_items: Vec<u32>,
    /// Attempts in flight, by category.
    pub attempts: Vec<u32>,
    /// Jobs that have started, by runner.
    pub running_jobs: Vec<u32>,
}

impl Load {
    /// Counts one more or one less at an index.
    fn adjust(counts: &mut Vec<u32>, index: usize, is_more: bool) {
        counts.resize(counts.len().max(index + 1), 0);
        counts[index] = if is_more {
            counts[index] + 1
        } else {
            counts[index].saturating_sub(1)
        };
    }

    pub(crate) fn adjust_work_items(&mut self, category: usize, is_more: bool) {
        Load::adjust(&mut self.open_work_items, category, is_more);
    }

    pub(crate) fn adjust_attempts(&mut self, category: usize, is_more: bool) {
        Load::adjust(&mut self.attempts, category, is_more);
    }

    pub(crate) fn adjust_jobs(&mut self, runner: usize, is_more: bool) {
        Load::adjust(&mut self.running_jobs, runner, is_more);
    }
}

/// Identifies an attempt among all attempts of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// Handle of the work item, which a later work item may get again.
    pub(crate) work_item: WorkItem,
    /// Serial number of the work item, which no other one gets.
    pub(crate) serial: u64,
    /// Number of the attempt within the work item, from 0.
    pub(crate) attempt_number: u16,
}

/// Purpose of a request to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// To run the attempt.
    Attempt(AttemptId),
    /// To cancel the attempt. Once it is known to be cancelled, the outcome is reported to the policy; `None` for no
    /// report.
    Cancel(AttemptId, Option<Outcome>),
}

/// An attempt in flight. Times are in seconds on the exchange's clock.
pub(crate) struct Attempt<H> {
    /// Number of the attempt within its work item, from 0.
    pub number: u16,
    pub runner: usize,
    pub sent_at_s: f64,
    /// When the attempt times out.
    pub drop_at_s: f64,
    /// The request that is under way to the runner; `None` once it has been abandoned.
    pub request: Option<H>,
    /// Whether the last byte of the attempt has been written.
    pub is_written: Rc<Cell<bool>>,
    /// Whether the runner has accepted the job, by a 202 or by a callback that came before the 202.
    pub is_accepted: bool,
    pub is_started: bool,
    /// Whether the attempt has been cancelled here, which the runner may not have confirmed yet.
    pub is_cancelled: bool,
    /// Whether it has been logged that the runner does not confirm the cancellation.
    pub is_unconfirmed_logged: bool,
}

/// An open work item.
pub(crate) struct OpenItem<C, H> {
    pub serial: u64,
    pub category: usize,
    pub request: WorkRequest,
    /// The client that waits for the reply; `None` once it has been sent or the client has disconnected.
    pub client: Option<C>,
    /// When the work item expires, in seconds on the exchange's clock.
    pub expiry_s: f64,
    /// Number of attempts made so far.
    pub attempt_count: u16,
    pub attempt: Option<Attempt<H>>,
    /// Runners to which an earlier attempt was written. Their callbacks may still be about that attempt.
    pub earlier_runners: Vec<usize>,
}

/// Stands for the expiry of the work item where a timer's key otherwise has the number of an attempt.
pub(crate) const EXPIRY_TIMER: u16 = u16::MAX;
/// The exchange itself replies to a work item that is unanswered this many seconds after its expiry.
pub(crate) const OVERDUE_S: f64 = 0.01;
/// At shutdown attempts are dropped this many seconds before everything must be settled.
pub(crate) const SHUTDOWN_MARGIN_S: f64 = 0.05;

/// State of an exchange apart from the policy. Times are in seconds on the exchange's clock.
pub(crate) struct ExchangeState<O: ExchangeHost> {
    pub host: O,
    pub now_s: f64,
    /// Unix time in seconds at 0 on the exchange's clock.
    pub unix_at_zero_s: f64,
    /// Longest time in seconds for establishing a connection to a runner.
    pub connect_timeout_s: f64,
    /// Grace in seconds after the news that a runner drains, within which attempts may still begin there.
    pub drain_grace_s: f64,
    pub load: Load,
    /// Last entry of each runner in the endpoint list, by the runner's index.
    pub list_entries: Vec<ListEntry>,
    /// Index of each runner, by its name.
    pub runner_indices: HashMap<String, usize>,
    /// Open work items, by their handle.
    pub open_items: Vec<Option<OpenItem<O::Client, O::RequestHandle>>>,
    /// Handles of the open work items, by their id.
    pub work_items_by_id: HashMap<Rc<str>, WorkItem>,
    /// Serial number of the last work item.
    pub last_serial: u64,
    /// Timers by time in microseconds, serial number of the work item, and number of the attempt or [`EXPIRY_TIMER`].
    pub timers: BTreeMap<(u64, u64, u16), WorkItem>,
    /// Reported starts that have not been passed on to the policy, in the order of their arrival, with its time.
    pub pending_starts: VecDeque<(f64, AttemptId)>,
    /// When the policy is to decide again; infinity for no such time.
    pub wake_at_s: f64,
    /// Limit of the number of open work items.
    pub max_open_items: usize,
    /// Retry time in seconds for a client that is rejected because of this limit.
    pub retry_after_s: f64,
    /// Whether a work item may be at two runners at once.
    pub may_run_twice: bool,
    /// Whether runners may be asked to cancel jobs.
    pub may_cancel: bool,
    /// Names of the runners that operators have taken out of service at all dispatchers.
    pub agreed_out_of_service: BTreeSet<String>,
    /// Values that an earlier process learned about runners that the endpoint list has not named yet, by their name.
    pub saved_runners: HashMap<String, RunnerEstimate>,
    /// When everything must be settled because the process ends; infinity before a shutdown.
    pub shutdown_at_s: f64,
}

/// Whole microseconds; 0 for a negative time.
pub(crate) fn to_micros(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e6) as u64
}

impl<O: ExchangeHost> ExchangeState<O> {
    /// The open work item with this handle.
    pub(crate) fn open_item(
        &mut self,
        work_item: WorkItem,
    ) -> Option<&mut OpenItem<O::Client, O::RequestHandle>> {
        self.open_items.get_mut(work_item.0 as usize)?.as_mut()
    }

    /// The attempt with this id if it is still in flight.
    pub(crate) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt<O::RequestHandle>> {
        let open_item = self
            .open_item(id.work_item)
            .filter(|open_item| open_item.serial == id.serial)?;
        open_item
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == id.attempt_number)
    }

    /// Replies to the client of a work item, if it still waits.
    pub(crate) fn reply(&mut self, work_item: WorkItem, reply: Reply) {
        if let Some(client) = self
            .open_item(work_item)
            .and_then(|open_item| open_item.client.take())
        {
            self.host.answer(client, reply);
        }
    }

    /// Cancels an attempt: by closing its connection as long as the runner has not accepted it, and by a request
    /// afterwards. `outcome` is reported to the policy once the attempt is known to be cancelled.
    pub(crate) fn cancel_attempt(&mut self, id: AttemptId, outcome: Option<Outcome>) {
        let deadline_s = self.now_s + 2.0 * self.connect_timeout_s;
        let may_cancel = self.may_cancel;
        let Some(open_item) = self
            .open_item(id.work_item)
            .filter(|open_item| open_item.serial == id.serial)
        else {
            return;
        };
        let cancel_request = RunnerRequest::Cancel {
            id: open_item.request.id.to_string(),
        };
        let Some(attempt) = open_item
            .attempt
            .as_mut()
            .filter(|attempt| attempt.number == id.attempt_number)
        else {
            return;
        };
        attempt.is_cancelled = true;
        let (request, is_accepted, runner) =
            (attempt.request.take(), attempt.is_accepted, attempt.runner);
        // Closes the connection if it still waits for a response.
        request
            .into_iter()
            .for_each(|request| self.host.abort_request(request));
        if is_accepted && may_cancel {
            let purpose = Purpose::Cancel(id, outcome);
            let request =
                self.host
                    .send_request(purpose, runner, cancel_request, deadline_s, Rc::default());
            if let Some(attempt) = self.attempt(id) {
                attempt.request = Some(request);
            }
        }
    }
}

impl<O: ExchangeHost> Host for ExchangeState<O> {
    fn now(&self) -> f64 {
        self.now_s
    }

    fn send_attempt(
        &mut self,
        work_item: WorkItem,
        runner: usize,
        drop_at_s: f64,
        start_by_s: f64,
    ) {
        let (sent_at_s, drop_at_s) = (
            self.now_s,
            drop_at_s.min(self.shutdown_at_s - SHUTDOWN_MARGIN_S),
        );
        let Some(open_item) = self.open_item(work_item) else {
            return;
        };
        let (number, category) = (open_item.attempt_count, open_item.category);
        open_item.attempt_count += 1;
        let id = AttemptId {
            work_item,
            serial: open_item.serial,
            attempt_number: number,
        };
        let WorkRequest {
            target,
            headers,
            body,
            client_left,
            ..
        } = &open_item.request;
        let (target, headers, body, client_left) = (
            target.clone(),
            headers.clone(),
            body.clone(),
            client_left.clone(),
        );
        let start_by_s = start_by_s.min(self.host.budget_usable_until(sent_at_s, runner, category));
        let message = RunnerRequest::Work {
            target,
            headers,
            time_left_s: 0.0,
            start_by_s,
            client_left,
            body,
        };
        self.host.record_attempt(sent_at_s, number > 0);
        self.load.adjust_attempts(category, true);
        let is_written = Rc::new(Cell::new(false));
        let request = Some(self.host.send_request(
            Purpose::Attempt(id),
            runner,
            message,
            drop_at_s,
            is_written.clone(),
        ));
        let (is_accepted, is_started, is_cancelled, is_unconfirmed_logged) =
            (false, false, false, false);
        if let Some(open_item) = self.open_item(work_item) {
            open_item.attempt = Some(Attempt {
                number,
                runner,
                sent_at_s,
                drop_at_s,
                request,
                is_written,
                is_accepted,
                is_started,
                is_cancelled,
                is_unconfirmed_logged,
            });
        }
        self.timers
            .insert((to_micros(drop_at_s), id.serial, number), work_item);
    }

    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64) {
        self.reply(
            work_item,
            Reply {
                retry_after_s,
                ..Reply::new(503, "deferred\n")
            },
        );
    }

    fn write_off(&mut self, work_item: WorkItem) {
        self.reply(work_item, Reply::new(502, "written off\n"));
    }

    fn cancel(&mut self, work_item: WorkItem, attempt: u16) {
        let Some(open_item) = self.open_item(work_item) else {
            return;
        };
        let id = AttemptId {
            work_item,
            serial: open_item.serial,
            attempt_number: attempt,
        };
        if open_item
            .attempt
            .as_ref()
            .is_some_and(|current| current.number == attempt && !current.is_cancelled)
        {
            // If its client still waits, the attempt is cancelled because of its runner.
            let runner = open_item
                .attempt
                .as_ref()
                .map_or(0, |current| current.runner);
            if open_item.client.is_some() {
                self.host
                    .record_observation(self.now_s, runner, Observation::NoResponse);
            }
            self.cancel_attempt(id, Some(Outcome::Cancelled));
        }
    }

    fn release_handle(&mut self, work_item: WorkItem) {
        if let Some(open_item) = self
            .open_items
            .get_mut(work_item.0 as usize)
            .and_then(Option::take)
        {
            self.load.adjust_work_items(open_item.category, false);
            if let Some(attempt) = &open_item.attempt {
                self.load.adjust_attempts(open_item.category, false);
                if attempt.is_started {
                    self.load.adjust_jobs(attempt.runner, false);
                }
            }
            self.work_items_by_id.remove(&open_item.request.id);
            self.timers.remove(&(
                to_micros(open_item.expiry_s + OVERDUE_S),
                open_item.serial,
                EXPIRY_TIMER,
            ));
        }
    }

    fn probe(&mut self, _: usize) {
        // This protocol has no load probe, and the policy's configuration says so.
    }

    fn wake_in(&mut self, in_s: f64) {
        self.wake_at_s = self.now_s + in_s;
    }

    fn runner_silent(&mut self, runner: usize) {
        self.host
            .record_observation(self.now_s, runner, Observation::NoResponse);
    }

    fn request_list(&mut self) {
        self.host.ask_discovery();
    }

    fn log(&mut self, runner: usize, line: &str) {
        let endpoint = &self.load.endpoints[runner];
        tracing::info!(
            "{line} runner={} address={}",
            endpoint.name,
            endpoint.address.get()
        );
    }
}
