//! What is agreed at start, what arrives, and what the decisions may ask of their host.

use crate::WorkItem;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Keyed(Scope),
    AtMostOnce,
}

/// The runners that drop a keyed work item's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug)]
pub struct Category {
    pub due_s: f64,
    /// The due time grows by this many times the work item's own work.
    pub stretch: f64,
    pub payoff: f64,
    /// The fraction of the payoff left between due time and expiry.
    pub tardy: f64,
    pub repeat: Repeat,
    pub window_s: f64,
    pub placement: Placement,
}

/// The runners that a category is bound to; any where nothing is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    pub kinds: Vec<u8>,
    pub zones: Vec<u16>,
}

impl Placement {
    /// Some runners are shut out.
    pub fn binds(&self) -> bool {
        !self.kinds.is_empty() || !self.zones.is_empty()
    }

    /// A runner is among those named, as far as any are.
    pub fn admits(&self, runner: &ListedRunner) -> bool {
        (self.kinds.is_empty() || self.kinds.contains(&runner.kind))
            && (self.zones.is_empty() || self.zones.contains(&runner.zone))
    }
}

#[derive(Clone, Debug, Default)]
pub struct PolicyConfig {
    pub dispatcher_count: usize,
    /// This dispatcher's number among them.
    pub dispatcher_index: usize,
    pub requests_list: bool,
    /// Where it asks: an agent beside it, which lists are pushed to, not one service for all.
    pub list_from_agent: bool,
    /// Runners report their load to probes, and to nothing else.
    pub uses_load_probes: bool,
    /// Where in a load report each figure stands.
    pub free_slots_index: Option<usize>,
    pub free_memory_index: Option<usize>,
    pub load_index: Option<usize>,
    pub zone: u16,
    /// A fetch has a price, and crossing zones none higher.
    pub fetch_cost_dominates: bool,
    /// Runners say at once that they take an attempt, apart from its start.
    pub reports_acceptance: bool,
    pub reports_start: bool,
    pub progress_interval_s: f64,
    pub may_cancel: bool,
    /// The longest wait a client follows; zero where no advice is passed on.
    pub max_retry_after_s: f64,
    pub max_attempts: u16,
    pub slow_start_fraction: f64,
    pub warm_up_s: f64,
    pub overload_multiple: f64,
    pub overload_window_s: f64,
    pub list_request_limit_s: f64,
    /// Only draining binds: a runner that is gone by the list may still be sent to.
    pub unlisted_may_serve: bool,
    /// The payoff is for each unit of work, not for each work item.
    pub payoff_per_work: bool,
    /// How much earlier or later than it was a start may be listed; zero where clocks agree.
    pub start_time_error_s: f64,
    /// How much earlier or later than it is an expiry may be told; zero where clocks agree.
    pub expiry_error_s: f64,
    pub categories: Vec<Category>,
}

/// The list is left so much time for a call of each dispatcher: to write out some hundred runners.
const CALL_S: f64 = 0.05;
/// Calls are spread over so much at the most, later ones after failures over so much: what changes counts as told 6 s
/// after the list could be reached. A dial that times out (1 s), a first turn and an answer fit in that; so do two
/// refusals in later turns and the call after them.
const SPREAD_S: f64 = 3.5;
const LATER_S: f64 = 1.9;
/// An agent answers one dispatcher alone, and what it has counts as told at once: asked well within any grace.
const AGENT_S: f64 = 0.1;

impl PolicyConfig {
    /// Over how long calls to the list are spread. Guards against all dispatchers asking at once, after a
    /// start or a failure: the list works through calls in turn, and goes on with those that were given up.
    pub fn list_request_spread_s(&self) -> f64 {
        match self.list_from_agent {
            true => AGENT_S,
            false => (CALL_S * self.dispatcher_count as f64)
                .clamp(0.3, SPREAD_S.min(0.5 * self.list_request_limit_s.max(0.6))),
        }
    }

    /// The same after one more failure.
    pub fn list_retry_spread_s(&self, last_s: f64) -> f64 {
        match self.list_from_agent {
            true => AGENT_S,
            false => (2.0 * last_s).min(LATER_S.min(0.25 * self.list_request_limit_s.max(1.2))),
        }
    }
}

/// A work item as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub category: usize,
    /// A hash of what it needs, the same at every dispatcher; 0 for nothing.
    pub key: u32,
    pub expires_at_s: f64,
    /// How many seconds of work it is said to be; 0 where nothing is said.
    pub hint_s: f64,
    pub slots: f64,
    pub memory: f64,
}

/// A runner as the list names it.
#[derive(Clone, Copy, Debug)]
pub struct ListedRunner {
    /// The same at every dispatcher.
    pub id: u64,
    pub kind: u8,
    pub started_at_s: f64,
    pub cell: u16,
    pub zone: u16,
    pub ready: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only what changed.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as held before a restart.
    Cached,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Error,
    Finished,
    Full,
    Timeout,
    NoConnection,
    Reset,
    /// The same on a connection that had rested, which may have been dead before it was used again.
    StaleConnection,
    Cancelled,
    NotSent,
    /// It said that it is full, perhaps to an earlier request.
    MaybeFull,
}

impl Outcome {
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::NoConnection | Outcome::NotSent
        )
    }
}

/// What the decisions ask of whoever carries them out. Times are seconds on the batch's clock.
pub trait Host {
    fn now(&self) -> f64;
    /// Given up at `drop_at`; never begun from `begin_by` on.
    fn send_attempt(&mut self, work_item: WorkItem, runner: usize, drop_at: f64, begin_by: f64);
    fn defer(&mut self, work_item: WorkItem, retry_after_s: f64);
    fn write_off(&mut self, work_item: WorkItem);
    fn cancel(&mut self, work_item: WorkItem, attempt: u16);
    fn probe(&mut self, runner: usize);
    /// The handle is void from here on and may be given out again.
    fn release_handle(&mut self, work_item: WorkItem);
    fn wake_in(&mut self, in_s: f64);
    fn request_list(&mut self);
    /// Silence of a runner, or a job that stands still there, has just been counted against it.
    fn runner_silent(&mut self, _runner: usize) {}
    fn log(&mut self, runner: usize, line: &str);
}
