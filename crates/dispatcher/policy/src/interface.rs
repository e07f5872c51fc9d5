//! The interface of the decisions: their configuration, the events that they receive, and the calls that they make to
//! their host.

use crate::WorkItem;

/// Whether a work item that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It carries an idempotency key, by which the runners in this scope drop a repeat for `Category::window_s`.
    Keyed(Scope),
    /// It must not run twice, so it is never sent again once it may have run.
    AtMostOnce,
}

/// The runners among which the repeat of a keyed work item is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every runner.
    All,
    /// The runners in the zone of the runner that first got the work item.
    Zone,
    /// The runners in the cell of the runner that first got the work item.
    Cell,
}

/// A class of work items that share their deadline, payoff, retry rule and placement.
#[derive(Clone, Debug)]
pub struct Category {
    /// Seconds from the first request until the work item is due, before `stretch` is added.
    pub due_s: f64,
    /// The due time grows by this many times the work item's own work.
    pub stretch: f64,
    /// What a work item that ends in time pays, or each second of its work if `PolicyConfig::payoff_per_work` is set.
    pub payoff: f64,
    /// The fraction of the payoff that is left between due time and expiry.
    pub tardy: f64,
    /// Whether a work item that may have run can be sent again.
    pub repeat: Repeat,
    /// For how many seconds after the first attempt runners drop the repeat of a keyed work item.
    pub window_s: f64,
    /// The runners that work items of this category may be sent to.
    pub placement: Placement,
}

/// The runners that a category is bound to. An empty list does not restrict anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// The allowed machine kinds, as in `ListedRunner::kind`.
    pub kinds: Vec<u8>,
    /// The allowed zones, as in `ListedRunner::zone`.
    pub zones: Vec<u16>,
}

impl Placement {
    /// Whether any runner is excluded.
    pub fn binds(&self) -> bool {
        !self.kinds.is_empty() || !self.zones.is_empty()
    }

    /// Whether the runner's kind and zone are both allowed.
    pub fn admits(&self, runner: &ListedRunner) -> bool {
        (self.kinds.is_empty() || self.kinds.contains(&runner.kind))
            && (self.zones.is_empty() || self.zones.contains(&runner.zone))
    }
}

/// The configuration of a dispatcher, fixed at its start.
#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    /// How many dispatchers send to the same runners, this one included.
    pub dispatcher_count: usize,
    /// The index of this dispatcher among them, from 0.
    pub dispatcher_index: usize,
    /// Whether this dispatcher must request the runner list; otherwise the list is pushed to it.
    pub requests_list: bool,
    /// Whether it requests the list from an agent on its own machine, which the list is pushed to, and not from one
    /// service that all dispatchers share.
    pub list_from_agent: bool,
    /// Whether runners report their load in answer to load probes and in no other way.
    pub uses_load_probes: bool,
    /// The index of the number of free slots in a load report; `None` if reports lack it.
    pub free_slots_index: Option<usize>,
    /// The index of the free memory in a load report; `None` if reports lack it.
    pub free_memory_index: Option<usize>,
    /// The index of the queue length or core utilization in a load report; `None` if reports lack both.
    pub load_index: Option<usize>,
    /// The zone of this dispatcher.
    pub zone: u16,
    /// Whether fetching a key has a price and crossing zones has none that is higher.
    pub fetch_cost_dominates: bool,
    /// Whether runners report at once that they accept an attempt, apart from the report of its start.
    pub reports_acceptance: bool,
    /// Whether runners report the start of a job.
    pub reports_start: bool,
    /// Seconds between two progress reports of a started job; 0 if runners send none.
    pub progress_interval_s: f64,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest wait before a retry that a client follows, in seconds; 0 if clients are given no such advice.
    pub max_retry_after_s: f64,
    /// The most attempts for one work item, the first one included.
    pub max_attempts: u16,
    /// The fraction of its warm capacity that a runner has right after its start.
    pub slow_start_fraction: f64,
    /// Seconds that a runner takes from its start to its full capacity.
    pub warm_up_s: f64,
    /// A runner is overloaded by work that amounts to this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The length in seconds of the sliding window over which that work is summed up.
    pub overload_window_s: f64,
    /// The longest time in seconds until the list is requested, or requested again while no answer has come.
    pub list_request_limit_s: f64,
    /// Whether a runner that the list drops may still be sent to; a draining one never gets new work.
    pub unlisted_may_serve: bool,
    /// Whether the payoff counts for each second of work instead of each work item.
    pub payoff_per_work: bool,
    /// By how many seconds a listed start may be too early or too late; 0 if the clocks agree.
    pub start_time_error_s: f64,
    /// By how many seconds a given expiry may be too early or too late; 0 if the clocks agree.
    pub expiry_error_s: f64,
    /// The categories; `Job::category` is an index into them.
    pub categories: Vec<Category>,
}

/// The list service is allowed this many seconds for the call of each dispatcher, which is the time to write out some
/// hundred runners.
const LIST_CALL_S: f64 = 0.05;
/// The longest span in seconds over which all dispatchers spread their list requests. A change of the list counts as
/// delivered 6 s after the list could be reached. A dial that times out (1 s), a first call within this span and its
/// answer fit in those 6 s, and so do two calls that are refused later and the call after them.
const MAX_LIST_SPREAD_S: f64 = 3.5;
/// The longest span in seconds for the calls after a failure; it follows from the same 6 s.
const MAX_LIST_RETRY_SPREAD_S: f64 = 1.9;
/// The span in seconds if the list comes from an agent. An agent answers a single dispatcher, and a change counts as
/// delivered as soon as the agent has it, so the call must come well within any drain grace.
const AGENT_SPREAD_S: f64 = 0.1;

impl PolicyConfig {
    /// The span in seconds over which the list requests of all dispatchers are spread. Without it all dispatchers
    /// would call at once after a start or a failure; the list service handles calls one after the other, also those
    /// whose callers have given up.
    pub fn list_request_spread_s(&self) -> f64 {
        match self.list_from_agent {
            true => AGENT_SPREAD_S,
            false => (LIST_CALL_S * self.dispatcher_count as f64).clamp(
                0.3,
                MAX_LIST_SPREAD_S.min(0.5 * self.list_request_limit_s.max(0.6)),
            ),
        }
    }

    /// The span in seconds for the next request after one more failure; `last_spread_s` is the span before it.
    pub fn list_retry_spread_s(&self, last_spread_s: f64) -> f64 {
        match self.list_from_agent {
            true => AGENT_SPREAD_S,
            false => (2.0 * last_spread_s)
                .min(MAX_LIST_RETRY_SPREAD_S.min(0.25 * self.list_request_limit_s.max(1.2))),
        }
    }
}

/// What is known of a work item when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The index of its category.
    pub category: usize,
    /// A hash of the data that it needs, the same at every dispatcher; 0 if it needs none.
    pub key: u32,
    /// The instant after which its client no longer waits.
    pub expires_at_s: f64,
    /// How many seconds of work it is announced as; 0 if nothing is announced.
    pub hint_s: f64,
    /// How many slots of a runner it occupies.
    pub slots: f64,
    /// How much memory it occupies, in the unit of the load reports.
    pub memory: f64,
}

/// A runner as it stands in the runner list.
#[derive(Clone, Copy, Debug)]
pub struct ListedRunner {
    /// Its id, the same at every dispatcher.
    pub id: u64,
    /// The index of its machine kind.
    pub kind: u8,
    /// The instant at which its process started; negative infinity if unknown.
    pub started_at_s: f64,
    /// The index of its cell, see `Scope::Cell`.
    pub cell: u16,
    /// The index of its zone.
    pub zone: u16,
    /// Whether it takes new work; false while it drains.
    pub ready: bool,
}

/// What an update of the runner list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the runners that changed.
    Changes,
    /// The full list.
    Full,
    /// The full list as it was held before a restart.
    Cached,
}

/// How an attempt or a load probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The runner answered with an error.
    Error,
    /// The runner answered with a result.
    Finished,
    /// The runner refused it because it is full.
    Full,
    /// The attempt's deadline passed without an answer.
    Timeout,
    /// No connection to the runner could be opened.
    NoConnection,
    /// The connection broke before an answer came.
    Reset,
    /// An idle connection that was used again broke; it may have been dead before.
    StaleConnection,
    /// The dispatcher cancelled it.
    Cancelled,
    /// The attempt ended before anything was sent.
    NotSent,
    /// The runner reported that it is full, but perhaps in answer to an earlier request.
    MaybeFull,
}

impl Outcome {
    /// Whether the job cannot have run at the runner.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent
        )
    }
}

/// The side that carries the decisions out.
pub trait Host {
    /// The instant of the present batch of events, in seconds on the clock that all instants refer to.
    fn now(&self) -> f64;
    /// Sends a work item to a runner. The host ends the attempt with `Outcome::Timeout` at `drop_at_s` and does not
    /// begin to send it from `begin_by_s` on.
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at_s: f64, begin_by_s: f64);
    /// Tells the client to come back after `retry_after_s` seconds.
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64);
    /// Tells the client that the work item is given up; it may have run.
    fn write_off(&mut self, work_item: WorkItem);
    /// Cancels an attempt in flight; `attempt` counts the attempts of the work item from 0.
    fn cancel(&mut self, work_item: WorkItem, attempt: u16);
    /// Sends a load probe; the host passes its answer to `Dispatcher::probe_ended`.
    fn probe(&mut self, runner: usize);
    /// Ends the use of a handle, which may be assigned to another work item from now on.
    fn release_handle(&mut self, work_item: WorkItem);
    /// Requests a call of `Dispatcher::decide` in `in_s` seconds.
    fn wake_in(&mut self, in_s: f64);
    /// Requests the runner list.
    fn request_list(&mut self);
    /// Reports that the silence of a runner, or a job without progress there, has just been counted against it.
    fn runner_silent(&mut self, _runner: usize) {}
    /// Logs an event that concerns a runner.
    fn log(&mut self, runner: usize, line: &str);
}
