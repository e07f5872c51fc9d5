//! The state that the decisions keep of each work item, attempt and runner.

use crate::interface::*;
use crate::pcg::{pair_hash, Pcg};
use crate::policy::{
    CANDIDATES, FIRST_EJECTION_S, INITIAL_SLOT_CAP, KEYS_PER_RUNNER, KEY_LIFETIME_S, KEY_SAMPLES,
    MIN_SUBSET_SIZE, RESULT_SAMPLES, RUN_SAMPLES, START_WAIT_SAMPLES,
};
use crate::ring::Ring;
use crate::WorkItem;
use std::collections::{BTreeMap, VecDeque};

/// One attempt in flight.
pub(crate) struct Attempt {
    /// The index of the runner that it was sent to.
    pub runner: usize,
    /// The number of the attempt among those of its work item, from 0.
    pub number: u16,
    /// When it was sent.
    pub sent_at_s: f64,
    /// When its job started; `None` if no start was reported.
    pub started_at_s: Option<f64>,
    /// When the last report of its acceptance, start or progress came; the time of sending until then.
    pub last_sign_at_s: f64,
    /// The fraction of the job that was done by the last progress report.
    pub progress: f64,
    /// How many times its silence has been counted against the runner.
    pub silences: u32,
    /// Whether a cancellation has been sent.
    pub cancelled: bool,
    /// Whether it filled the runner's slot cap when it was sent.
    pub at_cap: bool,
    /// Whether the runner must fetch the key. It is known only if two signs agree: whether the runner is one of the
    /// key's own candidates, and whether the runner served the key recently.
    pub needs_fetch: Option<bool>,
}

impl Attempt {
    pub(crate) fn new(
        runner: usize,
        number: u16,
        sent_at_s: f64,
        at_cap: bool,
        needs_fetch: Option<bool>,
    ) -> Self {
        Attempt {
            runner,
            number,
            sent_at_s,
            started_at_s: None,
            last_sign_at_s: sent_at_s,
            progress: 0.0,
            silences: 0,
            cancelled: false,
            at_cap,
            needs_fetch,
        }
    }
}

impl Attempt {
    /// How many more seconds it runs, extrapolated from its progress; 0 if no progress is known.
    pub(crate) fn remaining_s(&self) -> f64 {
        match self.progress > 0.0 {
            true => (self.last_sign_at_s - self.sent_at_s) / self.progress * (1.0 - self.progress),
            false => 0.0,
        }
    }
}

/// The state of one work item.
pub(crate) struct WorkItemState {
    /// What was known of it at its arrival.
    pub job: Job,
    /// When it was first requested, as far as is known. That is earlier than its arrival for a client's retry.
    pub first_requested_at_s: f64,
    /// When it arrived here.
    pub received_at_s: f64,
    /// Whether its handle is in use.
    pub in_use: bool,
    /// Whether its client has been answered or has left.
    pub ended: bool,
    /// Whether admission control rejected it, since the remaining runners do not have the capacity for all work.
    pub rejected: bool,
    /// How many attempts were sent.
    pub attempts: u16,
    /// Its attempt in flight; `None` while it is held, and after the end of its last attempt.
    pub in_flight: Option<Attempt>,
    /// When, and to which runner, the first attempt was sent that may have run; `None` if none may have run.
    pub may_have_run: Option<(f64, usize)>,
    /// The runner that failed it last, and the instant until which it is not sent there again.
    pub avoided: (usize, f64),
    /// The candidate of least cost for its key, which counts as a holder of the key; `usize::MAX` if there is none.
    pub home: usize,
    /// The runners that are considered for it, in the rendezvous order of its key.
    pub candidates: Ring<usize, CANDIDATES>,
    /// How many of the first candidates belong to its key, so that they are expected to hold it.
    pub own_candidates: usize,
    /// How many candidates were probed in this round.
    pub probed: usize,
    /// When the next candidate may be probed.
    pub next_probe_at_s: f64,
    /// How many rounds of probes have ended.
    pub probe_rounds: i32,
    /// The start probability P at a runner that does not hold its key, for the present pass.
    pub chance_elsewhere: f64,
    /// Whether it waits for a busy holder of its key instead of going to another runner.
    pub waits_for_holder: bool,
    /// Its payoff for each second of a slot during congestion, else 0.
    pub value: f64,
    /// How many slots of a runner it must leave free.
    pub reserve_slots: f64,
    /// The candidates that hold its key.
    pub key_holders: Ring<usize, 8>,
}

impl WorkItemState {
    pub(crate) fn new(job: Job, first_requested_at_s: f64, received_at_s: f64) -> Self {
        WorkItemState {
            job,
            first_requested_at_s,
            received_at_s,
            in_use: true,
            ended: false,
            rejected: false,
            attempts: 0,
            in_flight: None,
            may_have_run: None,
            avoided: (usize::MAX, received_at_s),
            home: usize::MAX,
            candidates: Ring::default(),
            own_candidates: 0,
            probed: 0,
            next_probe_at_s: received_at_s,
            probe_rounds: 0,
            chance_elsewhere: 0.0,
            waits_for_holder: false,
            value: 0.0,
            reserve_slots: 0.0,
            key_holders: Ring::default(),
        }
    }
}

/// The state of one runner.
pub(crate) struct Runner {
    /// Its last entry in the runner list.
    pub listing: ListedRunner,
    /// When its process started, or the latest instant at which it can have started if clocks differ.
    pub started_at_s: f64,
    /// When an operator disabled it; `None` if it is enabled.
    pub disabled_at_s: Option<f64>,
    /// When an operator enabled it again, if the list has not reported a start since it was disabled; else negative
    /// infinity.
    pub enabled_at_s: f64,
    /// The slots that this dispatcher's attempts occupy there.
    pub own_slots: f64,
    /// The number of the last pass that visited it.
    pub last_pass: u64,
    /// The slots that the present pass may still fill there.
    pub room: f64,
    /// The work, in seconds of a slot, that the present pass may still send to it; infinite if it is warm.
    pub cold_budget: f64,
    /// How many dispatchers come before this one in the runner's rendezvous order.
    pub dispatchers_ahead: usize,
    /// The memory that this dispatcher's attempts occupy there.
    pub own_memory: f64,
    /// The free slots by its last load report, less those of the attempts sent since.
    pub free_slots: f64,
    /// The free memory by its last load report, less that of the attempts sent since.
    pub free_memory: f64,
    /// The queue length or core utilization by its last load report.
    pub load: f64,
    /// When its last load report came, or another sign that it is full.
    pub reported_at_s: f64,
    /// When it was last found full.
    pub full_at_s: f64,
    /// When the load probe in flight was sent; `None` if there is none.
    pub probe_sent_at_s: Option<f64>,
    /// The most free slots in any load report.
    pub most_free_slots: f64,
    /// The rendezvous hash of this dispatcher and the runner.
    pub rank: u64,
    /// The work that a warm runner of its kind does in a second, in seconds of a slot; kept up to date only while
    /// some runners of the kind are cold.
    pub warm_capacity: f64,
    /// How many slots this dispatcher may fill there.
    pub slot_cap: f64,
    /// How many jobs of this dispatcher run there.
    pub own_running: f64,
    /// The most jobs of this dispatcher that ran there at once.
    pub most_own_running: f64,
    /// The value that the slot cap may not exceed, and until when.
    pub slot_cap_limit: (f64, f64),
    /// The keys that it served most recently, and when.
    pub served_keys: Ring<(u32, f64), KEYS_PER_RUNNER>,
    /// The ratios of its last run times to the expected ones.
    pub slowdowns: Ring<f64, 8>,
    /// The median of those ratios; 1 if there are none.
    pub slowdown: f64,
    /// When, and how much, work was sent to it while it was cold, in seconds of a slot.
    pub cold_sends: VecDeque<(f64, f64)>,
    /// This dispatcher's share, 0 to 1, of what all dispatchers may send to it while it is cold; `None` if shares are
    /// not negotiated for it.
    pub cold_share: Option<f64>,
    /// Whether its site is lost, or is returning and does not use this runner again yet.
    pub unreachable: bool,
    /// Until when it gets no work because a connection to it failed.
    pub backoff_until_s: f64,
    /// How many seconds an attempt last waited there for its start, and when that became known.
    pub start_wait: (f64, f64),
    /// When it last reported the start, progress or end of a job.
    pub heard_at_s: f64,
    /// When it last accepted an attempt.
    pub accepted_at_s: f64,
    /// The log odds that it is unhealthy.
    pub evidence: f64,
    /// Until when it is ejected. It stays `Some` after that until a trial succeeds; `None` if it is not ejected.
    pub ejected_until_s: Option<f64>,
    /// The log odds that it is unhealthy for each category, and until when it is ejected for that category.
    pub category_evidence: Vec<(f64, f64)>,
    /// The length of its next ejection in seconds.
    pub ejection_s: f64,
    /// Until when the result of its trial is awaited; `None` if no trial is in flight.
    pub trial_until_s: Option<f64>,
}

impl Runner {
    pub(crate) fn new() -> Self {
        Runner {
            listing: ListedRunner {
                id: 0,
                kind: 0,
                started_at_s: f64::NEG_INFINITY,
                cell: 0,
                zone: 0,
                ready: false,
            },
            started_at_s: f64::NEG_INFINITY,
            disabled_at_s: None,
            enabled_at_s: f64::NEG_INFINITY,
            own_slots: 0.0,
            last_pass: 0,
            room: 0.0,
            cold_budget: 0.0,
            dispatchers_ahead: 0,
            own_memory: 0.0,
            free_slots: 0.0,
            free_memory: f64::INFINITY,
            load: 0.0,
            reported_at_s: f64::NEG_INFINITY,
            full_at_s: f64::NEG_INFINITY,
            probe_sent_at_s: None,
            most_free_slots: 0.0,
            rank: 0,
            warm_capacity: INITIAL_SLOT_CAP,
            slot_cap: INITIAL_SLOT_CAP,
            own_running: 0.0,
            most_own_running: 0.0,
            slot_cap_limit: (f64::INFINITY, f64::NEG_INFINITY),
            served_keys: Ring::default(),
            slowdowns: Ring::default(),
            slowdown: 1.0,
            cold_sends: VecDeque::new(),
            cold_share: None,
            unreachable: false,
            backoff_until_s: f64::NEG_INFINITY,
            start_wait: (0.0, f64::NEG_INFINITY),
            heard_at_s: f64::NEG_INFINITY,
            accepted_at_s: f64::NEG_INFINITY,
            evidence: 0.0,
            ejected_until_s: None,
            category_evidence: Vec::new(),
            ejection_s: FIRST_EJECTION_S,
            trial_until_s: None,
        }
    }

    /// Drops what was learned about the former process of the runner.
    pub(crate) fn reset_for_new_process(&mut self) {
        let old = std::mem::replace(self, Runner::new());
        (self.own_slots, self.own_memory) = (old.own_slots, old.own_memory);
        (self.rank, self.probe_sent_at_s) = (old.rank, old.probe_sent_at_s);
        (self.cold_sends, self.own_running, self.disabled_at_s) =
            (old.cold_sends, old.own_running, old.disabled_at_s);
        (self.cold_share, self.unreachable) = (old.cold_share, old.unreachable);
    }

    /// Applies that the list reports the runner as gone or leaves it out. If such runners may still serve, the list
    /// proves nothing; its report then counts as an ejection, and a trial shows whether the runner serves.
    pub(crate) fn mark_unlisted(&mut self, now: f64, unlisted_may_serve: bool) {
        self.listing.ready &= unlisted_may_serve;
        if self.listing.ready && self.ejected_until_s.is_none() {
            self.ejected_until_s = Some(now);
        }
    }

    /// Whether the list reports it as ready, no operator has disabled it, and its site is reachable.
    pub(crate) fn is_ready(&self) -> bool {
        self.listing.ready && self.disabled_at_s.is_none() && !self.unreachable
    }

    /// The instant from which its warm-up counts: its start or the end of its last disablement.
    pub(crate) fn cold_since_s(&self) -> f64 {
        self.started_at_s.max(self.enabled_at_s)
    }

    /// Enables the runner again, which an operator had disabled at `disabled_at_s`. Nothing that was learned before
    /// still holds. It counts as cold from now on unless the list has reported a start since it was disabled, because
    /// its process may have been replaced without a report from the list.
    pub(crate) fn enable(&mut self, disabled_at_s: f64, now: f64) {
        let (listing, started_at_s) = (self.listing, self.started_at_s);
        self.reset_for_new_process();
        (self.listing, self.started_at_s, self.disabled_at_s) = (listing, started_at_s, None);
        if listing.started_at_s < disabled_at_s {
            self.enabled_at_s = now;
        }
    }
}

/// One of the dispatchers: its configuration, its state and its decisions.
pub struct Dispatcher {
    pub(crate) config: PolicyConfig,
    /// The source of all random draws.
    pub(crate) pcg: Pcg,
    /// Whether room or work has come since the last pass.
    pub(crate) needs_pass: bool,
    /// When the last pass was.
    pub(crate) last_pass_at_s: f64,
    /// How many passes there have been.
    pub(crate) pass_count: u64,
    /// A cache of the runners that come first in the rendezvous order of a key, for each recent key and, if a
    /// category is bound to some runners, for that category.
    pub(crate) candidate_cache: BTreeMap<(u32, Option<usize>), Ring<usize, CANDIDATES>>,
    /// The state of each work item by its handle.
    pub(crate) work_items: Vec<WorkItemState>,
    /// The handles that are not in use.
    pub(crate) free_handles: Vec<u32>,
    /// The handles of the work items without an attempt in flight, in the order of their arrival.
    pub(crate) held: Vec<u32>,
    /// The runners by the index that the host assigned.
    pub(crate) runners: Vec<Runner>,
    /// The runners with room in the present pass; empty between passes and kept for its allocation.
    pub(crate) open_runners: Vec<usize>,
    /// The runners that this dispatcher sends to, in ascending order.
    pub(crate) subset: Vec<usize>,
    /// How many runners of each group the subset should have.
    pub(crate) subset_size: f64,
    /// The last run times of each category in seconds.
    pub(crate) run_times: Vec<Ring<f64, 32>>,
    /// The mean of those; the due time until there are any.
    pub(crate) mean_run_times: Vec<f64>,
    /// The hints of the runs in `run_times` that had one.
    pub(crate) hints: Vec<Ring<f64, 32>>,
    /// The ratio of the mean run time to the mean hint of each category.
    pub(crate) hint_scales: Vec<f64>,
    /// The longest time that a client of each category was willing to wait, in seconds; empty if the expiry does not
    /// tell which requests are retries.
    pub(crate) longest_expiries: Vec<f64>,
    /// The ratios of the last run times of all runners to the expected ones.
    pub(crate) slowdowns: Ring<f64, 64>,
    /// By how many seconds runs that had to fetch their key exceeded the expected time.
    pub(crate) fetch_times: Ring<f64, 32>,
    /// The run times at warm runners that held the key.
    pub(crate) runs_with_key: Ring<f64, RUN_SAMPLES>,
    /// The run times at warm runners that did not hold the key.
    pub(crate) runs_without_key: Ring<f64, RUN_SAMPLES>,
    /// The keys of the last arrivals.
    pub(crate) recent_keys: Ring<u32, KEY_SAMPLES>,
    /// How many jobs of this dispatcher were running at each of the last periodic checks.
    pub(crate) running_counts: Ring<f64, 256>,
    /// The seconds that a fetch adds to the expected run time.
    pub(crate) fetch_s: f64,
    /// The cost in seconds of going to a runner without the key, beside the wait there.
    pub(crate) fetch_cost_s: f64,
    /// The mean run time over all categories in seconds.
    pub(crate) mean_run_s: f64,
    /// The median of `slowdowns`, at least 1.
    pub(crate) fleet_slowdown: f64,
    /// When the dispatcher was last congested: a held work item had used up half of its time until due.
    pub(crate) congested_at_s: f64,
    /// When the next periodic check is due.
    pub(crate) next_check_at_s: f64,
    /// How many seconds the last load probes took.
    pub(crate) probe_times: Ring<f64, 16>,
    /// How many seconds a load report stays valid.
    pub(crate) report_lifetime_s: f64,
    /// When the next load probe may be due.
    pub(crate) next_probe_at_s: f64,
    /// How many seconds attempts waited for their start, and when the start was reported.
    pub(crate) start_waits: Ring<(f64, f64), START_WAIT_SAMPLES>,
    /// The runner of each of the last ended attempts, whether the attempt failed, and its key.
    pub(crate) recent_results: Ring<(usize, bool, u32), RESULT_SAMPLES>,
    /// The median of the start waits reported in the last 5 s.
    pub(crate) median_wait_s: f64,
    /// The longest of all the waits in `start_waits`.
    pub(crate) longest_wait_s: f64,
    /// Until when another process of this dispatcher uses its share of the cold runners.
    pub(crate) cold_yielded_until_s: f64,
    /// When this process began without knowing what a process before it sent; negative infinity if none may have.
    pub(crate) began_at_s: f64,
    /// How many work items of each category may still be sent under a cap that the dispatchers share; empty if there
    /// are no such caps.
    pub(crate) remaining_caps: Vec<f64>,
    /// Whether the dispatchers have begun to negotiate shares of the cold runners.
    pub(crate) shares_cold_runners: bool,
    /// The fraction of each category that is admitted; 1 for the categories that are missing.
    pub(crate) admitted_fractions: Vec<f64>,
    /// The last run times of each category at warm runners.
    pub(crate) warm_run_times: Vec<Ring<f64, 32>>,
    /// The ratio of the mean warm run time to the mean run time of each category.
    pub(crate) warm_ratios: Vec<f64>,
    /// How many retries may still be sent under a budget that the dispatchers share; infinite if there is none.
    pub(crate) remaining_retries: f64,
    /// The most jobs that all dispatchers together have running on one runner; 0 if it is not known.
    pub(crate) fleet_max_running: f64,
    /// When the runner list is requested next; infinite while it is held or pushed.
    pub(crate) next_list_request_at_s: f64,
    /// The span over which the next list request after a failure is spread.
    pub(crate) list_retry_spread_s: f64,
    /// The instant of the last wake that was requested from the host.
    pub(crate) wake_at_s: f64,
}

impl Dispatcher {
    /// Makes a dispatcher without runners and without work.
    pub fn new(config: PolicyConfig, seed: u64, now: f64) -> Self {
        let mut pcg = Pcg::new(seed);
        // Spread, since all dispatchers may start together and the list service answers few calls a second.
        let next_list_request_at_s = if config.requests_list {
            now + config.list_request_spread_s() * pcg.uniform()
        } else {
            f64::INFINITY
        };
        let list_retry_spread_s = config.list_request_spread_s();
        Dispatcher {
            run_times: vec![Ring::default(); config.categories.len()],
            mean_run_times: config.categories.iter().map(|c| c.due_s).collect(),
            hints: vec![Ring::default(); config.categories.len()],
            hint_scales: vec![1.0; config.categories.len()],
            longest_expiries: vec![
                0.0;
                if config.expiry_error_s > 0.0 {
                    0
                } else {
                    config.categories.len()
                }
            ],
            warm_run_times: vec![Ring::default(); config.categories.len()],
            warm_ratios: vec![1.0; config.categories.len()],
            config,
            pcg,
            needs_pass: true,
            last_pass_at_s: now,
            pass_count: 0,
            candidate_cache: BTreeMap::new(),
            work_items: Vec::new(),
            free_handles: Vec::new(),
            held: Vec::new(),
            runners: Vec::new(),
            open_runners: Vec::new(),
            subset: Vec::new(),
            subset_size: MIN_SUBSET_SIZE,
            slowdowns: Ring::default(),
            runs_with_key: Ring::default(),
            runs_without_key: Ring::default(),
            fetch_times: Ring::default(),
            recent_keys: Ring::default(),
            running_counts: Ring::default(),
            fetch_s: 0.0,
            fetch_cost_s: 0.0,
            mean_run_s: 0.0,
            fleet_slowdown: 1.0,
            congested_at_s: f64::NEG_INFINITY,
            next_check_at_s: now,
            probe_times: Ring::default(),
            report_lifetime_s: 0.0,
            next_probe_at_s: f64::INFINITY,
            start_waits: Ring::default(),
            recent_results: Ring::default(),
            median_wait_s: 0.0,
            longest_wait_s: 0.0,
            cold_yielded_until_s: f64::NEG_INFINITY,
            began_at_s: f64::NEG_INFINITY,
            remaining_caps: Vec::new(),
            shares_cold_runners: false,
            admitted_fractions: Vec::new(),
            remaining_retries: f64::INFINITY,
            fleet_max_running: 0.0,
            next_list_request_at_s,
            list_retry_spread_s,
            wake_at_s: f64::INFINITY,
        }
    }
}

impl Runner {
    /// Counts an attempt that is sent (`sign` 1) or has ended (`sign` -1).
    pub(crate) fn count_attempt(&mut self, job: &Job, sign: f64) {
        self.own_slots += sign * job.slots;
        self.room -= sign * job.slots;
        self.own_memory += sign * job.memory;
        if sign > 0.0 {
            self.free_slots -= job.slots;
            self.free_memory -= job.memory;
        }
    }

    /// Counts the end of an attempt and of its job, if that had started.
    pub(crate) fn count_ended(&mut self, job: &Job, attempt: &Attempt) {
        self.count_attempt(job, -1.0);
        self.own_running -= if attempt.started_at_s.is_some() {
            1.0
        } else {
            0.0
        };
    }

    /// Whether it is not ejected, or its ejection has ended and no trial is in flight.
    pub(crate) fn may_be_tried(&self, now: f64) -> bool {
        self.ejected_until_s
            .is_none_or(|until| now >= until.max(self.trial_until_s.unwrap_or(until)))
    }

    /// The evidence against it in a category, and until when it is ejected for that category.
    pub(crate) fn category_evidence_mut(&mut self, category: usize) -> &mut (f64, f64) {
        let count = self.category_evidence.len().max(category + 1);
        self.category_evidence
            .resize(count, (0.0, f64::NEG_INFINITY));
        &mut self.category_evidence[category]
    }

    /// Whether it is ejected for a category.
    pub(crate) fn is_ejected_for(&self, category: usize, now: f64) -> bool {
        self.category_evidence
            .get(category)
            .is_some_and(|(_, until)| now < *until)
    }

    /// Whether it served the key within the lifetime of an entry in the key table.
    pub(crate) fn served_recently(&self, key: u32, now: f64) -> bool {
        key != 0
            && self
                .served_keys
                .samples()
                .iter()
                .any(|&(served, at)| served == key && now < at + KEY_LIFETIME_S)
    }

    /// Enters a key that it served into the key table.
    pub(crate) fn record_served_key(&mut self, key: u32, now: f64) {
        if key == 0 {
            return;
        }
        match self
            .served_keys
            .samples_mut()
            .iter_mut()
            .find(|(served, _)| *served == key)
        {
            Some(entry) => entry.1 = now,
            // The least recently used key is evicted first, as at the runner itself.
            None => self
                .served_keys
                .push_replacing_first((key, now), |a, b| a.1 < b.1),
        }
    }
}

impl Dispatcher {
    /// Whether a runner gets no work now, whatever its room: it is not ready, is ejected, could not be reached a
    /// moment ago, or is unknown.
    pub fn is_avoided(&self, runner: usize, now: f64) -> bool {
        let runner = self.runners.get(runner);
        runner.is_none_or(|runner| {
            !runner.is_ready() || runner.ejected_until_s.is_some() || now < runner.backoff_until_s
        })
    }
}

/// What a process that takes over must know of a runner: whether operators disabled or enabled it, what was sent to
/// it while it was cold, and whether it is healthy.
#[derive(Clone, Debug)]
pub struct RunnerHandover {
    /// When an operator disabled it; `None` if it is enabled.
    pub disabled_at_s: Option<f64>,
    /// When an operator enabled it again, if no start was listed since it was disabled; else `None`.
    pub enabled_at_s: Option<f64>,
    /// When, and how much, work was sent to it while it was cold, in seconds of a slot.
    pub cold_sends: Vec<(f64, f64)>,
    /// The log odds that it is unhealthy; 0 without evidence.
    pub evidence: f64,
    /// Until when it is ejected; `None` if it is not ejected.
    pub ejected_until_s: Option<f64>,
    /// The length of its next ejection in seconds.
    pub ejection_s: f64,
}

/// Upgrades, in which two processes count as one dispatcher for the rules on cold runners.
impl Dispatcher {
    /// Yields the cold runners to another process of this dispatcher, or takes them back. After they are taken back
    /// none is used for as long as the overload window, because what the other process sent just before it ended is
    /// not known here.
    pub fn yield_cold_runners(&mut self, now: f64, yields: bool) {
        self.cold_yielded_until_s = if yields {
            f64::INFINITY
        } else {
            now + self.config.overload_window_s
        };
    }

    /// Declares that a process before this one may have sent work until now that nobody here knows of. Runners that
    /// were already cold by then get nothing for as long as the overload window, so that their budget is not spent
    /// twice.
    pub fn begin_without_history(&mut self, now: f64) {
        self.began_at_s = now;
    }

    /// Whether a cold runner is not for this process to use now.
    pub(crate) fn is_cold_runner_yielded(&self, runner: usize, now: f64) -> bool {
        let cold_before = self.runners[runner].cold_since_s() < self.began_at_s;
        now < self.cold_yielded_until_s
            || cold_before && now < self.began_at_s + self.config.overload_window_s
    }

    /// What the next process must know of a runner.
    pub fn runner_handover(&self, runner: usize) -> RunnerHandover {
        let runner = &self.runners[runner];
        RunnerHandover {
            disabled_at_s: runner.disabled_at_s,
            enabled_at_s: Some(runner.enabled_at_s).filter(|at| at.is_finite()),
            cold_sends: runner.cold_sends.iter().copied().collect(),
            evidence: runner.evidence,
            ejected_until_s: runner.ejected_until_s,
            ejection_s: runner.ejection_s,
        }
    }

    /// Takes over the state of the process before, after that process's list has been applied. The list is requested
    /// within half a second, since a single upgrade does not start all dispatchers at once.
    pub fn inherit(&mut self, now: f64, runners: Vec<(usize, RunnerHandover)>) {
        for (index, handover) in runners {
            let runner = &mut self.runners[index];
            (runner.disabled_at_s, runner.enabled_at_s) = (
                handover.disabled_at_s,
                handover.enabled_at_s.unwrap_or(f64::NEG_INFINITY),
            );
            (runner.evidence, runner.ejected_until_s, runner.ejection_s) = (
                handover.evidence,
                handover.ejected_until_s,
                handover.ejection_s,
            );
            runner.cold_sends = handover.cold_sends.into();
            self.count_dispatchers_ahead(index);
        }
        self.next_list_request_at_s = self
            .next_list_request_at_s
            .min(now + 0.5 * self.pcg.uniform());
        self.refresh_subset(now);
    }
}

/// What dispatchers share with each other, as told by a host that connects them. Without these calls a dispatcher
/// decides alone.
impl Dispatcher {
    /// Sets this dispatcher's share, 0 to 1, of what all dispatchers may send to a cold runner; `None` if it has
    /// none. After the first share was set, a runner without a share gets nothing while it is cold. Shares expire, so
    /// they must be set before each `decide`.
    pub fn set_cold_share(&mut self, runner: usize, share: Option<f64>) {
        self.shares_cold_runners |= share.is_some();
        if let Some(runner) = self.runners.get_mut(runner) {
            runner.cold_share = share;
        }
    }

    /// Sets how many work items of each category may still be sent, and how many retries.
    pub fn set_remaining_budgets(&mut self, caps: &[f64], retries: f64) {
        let any_reopened = self
            .remaining_caps
            .iter()
            .zip(caps)
            .any(|(old, new)| *old < 1.0 && *new >= 1.0);
        self.needs_pass |= any_reopened;
        self.remaining_caps.clear();
        self.remaining_caps.extend_from_slice(caps);
        self.remaining_retries = retries;
    }

    /// Sets the runners, in ascending order, whose site is lost, or is returning and does not use them again yet. They
    /// get no work. Attempts in flight there are treated under the rule on effects (see `policy/rules.rs`).
    pub fn set_unreachable(&mut self, now: f64, unreachable: &[usize]) {
        let mut any_changed = false;
        for (index, runner) in self.runners.iter_mut().enumerate() {
            let is_unreachable = unreachable.binary_search(&index).is_ok();
            any_changed |=
                std::mem::replace(&mut runner.unreachable, is_unreachable) != is_unreachable;
        }
        if any_changed {
            self.refresh_subset(now);
        }
    }

    /// Sets the fraction of each category's work items that is admitted, drawn at random; 1 for missing categories.
    pub fn set_admission(&mut self, fractions: &[f64]) {
        self.admitted_fractions.clear();
        self.admitted_fractions.extend_from_slice(fractions);
    }

    /// The seconds of a slot that a work item of a category takes, and its payoff for each of these seconds.
    pub fn usual_run_and_worth(&self, category: usize) -> (f64, f64) {
        let usual_run_s = self.mean_run_times[category].max(1e-3);
        let payoff = self.config.categories[category].payoff;
        (
            usual_run_s,
            if self.config.payoff_per_work {
                payoff
            } else {
                payoff / usual_run_s
            },
        )
    }

    /// Sets the most jobs that all dispatchers together have running on one runner; 0 if it is not known.
    pub fn set_fleet_max_running(&mut self, count: f64) {
        self.fleet_max_running = count;
    }

    /// The cold runners in the subset: the index, the fraction of the runner's whole budget that this dispatcher has
    /// spent within the overload window, and whether it could use a share of the budget.
    pub fn cold_usage(&self, now: f64) -> Vec<(usize, f64, bool)> {
        let usage = |&runner: &usize| {
            let total = self.cold_budget_total(runner, now)?;
            let spent = self.cold_work_sent(runner, now);
            // Held work may be meant for other runners. It needs this one only if the runner is a candidate.
            let is_candidate = |handle: &u32| {
                self.work_items[*handle as usize]
                    .candidates
                    .samples()
                    .contains(&runner)
            };
            Some((
                runner,
                spent / total.max(1e-9),
                spent > 0.0 || self.held.iter().take(32).any(is_candidate),
            ))
        };
        self.subset.iter().filter_map(usage).collect()
    }

    /// The work that this dispatcher sent to a cold runner within the overload window, in seconds of a slot.
    pub(crate) fn cold_work_sent(&self, runner: usize, now: f64) -> f64 {
        let recent = self.runners[runner]
            .cold_sends
            .iter()
            .filter(|(at, _)| *at > now - self.config.overload_window_s);
        recent.map(|(_, work_s)| work_s).sum()
    }
}

/// What still holds after a planned restart.
impl Dispatcher {
    /// The mean run time of a category in seconds; `None` if no run was measured.
    pub fn usual_run_s(&self, category: usize) -> Option<f64> {
        self.run_times[category].mean()
    }

    /// When a runner started, the slots that it was seen to have, and the median ratio of its run times to the
    /// expected ones; `None` if no run was measured there.
    pub fn learned_runner(&self, runner: usize) -> Option<(f64, f64, f64)> {
        let runner = self
            .runners
            .get(runner)
            .filter(|runner| !runner.slowdowns.samples().is_empty())?;
        Some((
            runner.listing.started_at_s,
            runner.most_own_running.max(runner.most_free_slots),
            runner.slowdown,
        ))
    }

    /// Restores the mean run time of a category from `usual_run_s`.
    pub fn restore_usual_run(&mut self, category: usize, seconds: f64) {
        self.run_times[category].push(seconds);
        self.mean_run_times[category] = seconds;
    }

    /// Restores the slots and the ratio of a runner from `learned_runner`.
    pub fn restore_runner(&mut self, runner: usize, slots: f64, slowdown: f64) {
        let runner = &mut self.runners[runner];
        (runner.most_own_running, runner.slowdown) = (slots, slowdown);
        runner.slowdowns.push(slowdown);
    }
}

/// The most entries of the candidate cache: several times as many keys as arrive between two updates of the list.
const CANDIDATE_CACHE_SIZE: usize = 4096;

impl Dispatcher {
    /// Stores the state of a new work item and returns its handle.
    pub(crate) fn store(&mut self, work_item: WorkItemState) -> u32 {
        let handle = self
            .free_handles
            .pop()
            .unwrap_or(self.work_items.len() as u32);
        if handle as usize == self.work_items.len() {
            self.work_items.push(work_item);
        } else {
            self.work_items[handle as usize] = work_item;
        }
        handle
    }

    /// Adds the run time of a finished job to the samples of its runner, its category and the fleet.
    pub(crate) fn record_run(
        &mut self,
        job: &Job,
        attempt: &Attempt,
        run_s: f64,
        expected_run_s: f64,
    ) {
        let runner = &mut self.runners[attempt.runner];
        runner.slowdowns.push(run_s / expected_run_s);
        runner.slowdown = runner.slowdowns.quantile(0.5).unwrap_or(1.0).max(0.1);
        let evidence = &mut runner.category_evidence_mut(job.category).0;
        *evidence = (*evidence - 0.5).max(0.0);
        self.run_times[job.category].push(run_s);
        self.mean_run_times[job.category] = self.run_times[job.category].mean().unwrap_or(run_s);
        let is_warm = attempt.sent_at_s
            >= self.runners[attempt.runner].cold_since_s() + self.config.warm_up_s;
        if is_warm {
            self.warm_run_times[job.category].push(run_s);
        }
        let warm_mean = self.warm_run_times[job.category].mean();
        self.warm_ratios[job.category] = warm_mean.map_or(1.0, |warm| {
            warm / self.mean_run_times[job.category].max(1e-3)
        });
        if job.hint_s > 0.0 {
            self.hints[job.category].push(job.hint_s);
            self.hint_scales[job.category] = self.mean_run_times[job.category]
                / self.hints[job.category].mean().unwrap_or(run_s);
        }
        self.slowdowns.push(run_s / expected_run_s);
        match attempt.needs_fetch {
            _ if job.key == 0 => {}
            Some(true) => {
                self.fetch_times.push(run_s - expected_run_s);
                if is_warm {
                    self.runs_without_key.push(run_s);
                }
            }
            Some(false) if is_warm => self.runs_with_key.push(run_s),
            _ => {}
        }
    }

    /// Counts the dispatchers that come before this one in the rendezvous order of a runner.
    pub(crate) fn count_dispatchers_ahead(&mut self, runner: usize) {
        let (own_index, count, runner) = (
            self.config.dispatcher_index,
            self.config.dispatcher_count,
            &mut self.runners[runner],
        );
        let is_ahead = |peer: &usize| {
            *peer != own_index && pair_hash(*peer as u64, runner.listing.id) > runner.rank
        };
        runner.dispatchers_ahead = (0..count).filter(is_ahead).count();
    }

    /// The ratio of a run time to the expected one from which the run counts as slow: twice the ratio that four in
    /// five runs stay under, which is an outlier for any distribution of sizes. Infinite until eight runs were
    /// measured.
    pub(crate) fn slow_ratio(&self) -> f64 {
        let is_known = self.slowdowns.samples().len() >= 8;
        self.slowdowns
            .quantile(0.8)
            .filter(|_| is_known)
            .map_or(f64::INFINITY, |ratio| 2.0 * ratio)
    }

    /// How many seconds a job should run: its hint, scaled by the recent ratio of run times to hints, or without a
    /// hint the mean of its category.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        let expected_s = if job.hint_s > 0.0 {
            job.hint_s * self.hint_scales[job.category]
        } else {
            self.mean_run_times[job.category]
        };
        expected_s.max(1e-3)
    }

    /// Takes the end of a load probe, with the load report if it was answered. Otherwise the report is empty, and the
    /// runner counts as full for the lifetime of a report. A runner that could not be reached gets no work for 1 s,
    /// as after a failed attempt; this guards against network partitions.
    pub fn probe_ended(&mut self, now: f64, runner: usize, outcome: Outcome, report: &[f32]) {
        let Some(runner) = self.runners.get_mut(runner) else {
            return;
        };
        self.probe_times.push(
            runner
                .probe_sent_at_s
                .take()
                .map_or(0.0, |sent_at_s| now - sent_at_s),
        );
        let figure = |index: Option<usize>| {
            index
                .and_then(|index| report.get(index))
                .map(|&value| value as f64)
        };
        let free_slots =
            figure(self.config.free_slots_index).filter(|f| f.is_finite() && *f >= 0.0);
        let free_memory =
            figure(self.config.free_memory_index).filter(|f| f.is_finite() && *f >= 0.0);
        runner.free_slots = free_slots.unwrap_or(0.0).round();
        runner.free_memory = free_memory.unwrap_or(f64::INFINITY);
        runner.most_free_slots = runner.most_free_slots.max(runner.free_slots);
        runner.load = figure(self.config.load_index)
            .filter(|f| f.is_finite() && *f >= 0.0)
            .unwrap_or(0.0);
        runner.reported_at_s = now;
        if outcome != Outcome::Finished {
            runner.full_at_s = now;
        }
        if outcome == Outcome::NoConnection {
            runner.backoff_until_s = now + 1.0;
        }
        self.needs_pass = true;
    }

    /// Whether a runner counts as a holder of the work item's key.
    pub(crate) fn is_key_holder(&self, handle: u32, runner: usize) -> bool {
        let work_item = &self.work_items[handle as usize];
        // A holder where work waits longer than a fetch takes does not count.
        let is_listed = || work_item.key_holders.samples().contains(&runner);
        work_item.home == runner
            || is_listed()
                && (self.config.uses_load_probes
                    || self.expected_wait_s(runner, self.last_pass_at_s) <= self.fetch_cost_s)
    }

    /// The runners that come first in the rendezvous order of a work item's key, which all dispatchers share. The
    /// result is cached until the subset changes.
    pub(crate) fn first_in_key_order(&mut self, handle: u32) -> Ring<usize, CANDIDATES> {
        let Job { key, category, .. } = self.work_items[handle as usize].job;
        let bound_category = Some(category).filter(|_| self.category(handle).placement.binds());
        if let Some(order) = self.candidate_cache.get(&(key, bound_category)) {
            return order.clone();
        }
        let order = self.rank_by_key(
            key,
            self.subset
                .iter()
                .copied()
                .filter(|&runner| self.is_placement_allowed(handle, runner)),
        );
        if self.candidate_cache.len() >= CANDIDATE_CACHE_SIZE {
            self.candidate_cache.clear();
        }
        self.candidate_cache
            .insert((key, bound_category), order.clone());
        order
    }

    /// The candidates of a work item that hold its key according to the key table.
    pub(crate) fn find_key_holders(&self, handle: u32, now: f64) -> Ring<usize, 8> {
        let (work_item, mut holders) = (&self.work_items[handle as usize], Ring::default());
        let candidates = work_item.candidates.samples().iter();
        candidates
            .filter(|&&runner| self.runners[runner].served_recently(work_item.job.key, now))
            .for_each(|&runner| holders.push(runner));
        holders
    }

    /// Enters a key that a runner served into the key table, and into the held work items with this key, so that a
    /// pass need not search the tables.
    pub(crate) fn key_served(&mut self, now: f64, runner: usize, key: u32) {
        if key == 0 {
            return;
        }
        self.runners[runner].record_served_key(key, now);
        for &handle in &self.held {
            let work_item = &mut self.work_items[handle as usize];
            if work_item.job.key == key && !work_item.key_holders.samples().contains(&runner) {
                work_item.key_holders.push(runner);
            }
        }
    }

    /// Frees the handle of a work item that has ended and has no attempt in flight.
    pub(crate) fn release_if_done(&mut self, host: &mut impl Host, handle: u32) {
        let work_item = &mut self.work_items[handle as usize];
        if work_item.in_use && work_item.ended && work_item.in_flight.is_none() {
            work_item.in_use = false;
            self.free_handles.push(handle);
            host.release_handle(WorkItem(handle));
        }
    }

    /// The category of a work item.
    pub(crate) fn category(&self, handle: u32) -> &Category {
        &self.config.categories[self.work_items[handle as usize].job.category]
    }

    /// The instant before which the next attempt must begin, if the work item may have run and runners drop its
    /// repeats for a limited time; else infinity. It lies 50 ms before the end of that time, for the way to the
    /// runner and for a moment in which this process gets no core.
    pub(crate) fn repeat_begin_by_s(&self, handle: u32) -> f64 {
        let category = self.category(handle);
        match (
            self.work_items[handle as usize].may_have_run,
            category.repeat,
        ) {
            (Some((since_s, _)), Repeat::Keyed(_)) => since_s + category.window_s - 0.05,
            _ => f64::INFINITY,
        }
    }
}
