//! A random history: work arrives; runners serve, fail, hang, restart and drain, and the list reports it late.
mod actions;
mod arrivals;
mod events;
mod faults;
mod handover;
pub(crate) mod recorder;

use crate::fake::{default_config, listed_runner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recorder::Recorder;
use sagetrail_policy::*;
use std::collections::BTreeMap;

/// The instant in seconds at which a history begins. The clock advances in whole steps, so that every instant is the
/// same number in each run.
const BEGIN_S: f64 = 100.0;
/// The length of a step in seconds.
const STEP_S: f64 = 0.01;
/// The number of steps in a history.
const STEPS: u64 = 6_000;
/// At this step of a `Mode::Shared` history a new process replaces the dispatcher, which hands over its state.
const HANDOVER_STEP: u64 = 4_000;
const RUNNERS: usize = 10;
/// The slots of each runner.
const SLOTS: usize = 3;
/// One in this many work items has a client that leaves before the work item ends.
const ITEMS_PER_LEAVING_CLIENT: u32 = 25;

/// The configuration and surroundings of a dispatcher.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Mode {
    /// Runners do not report their load.
    Unreported,
    /// Runners report their load to load probes.
    Probing,
    /// The payoff counts for each second of work, fetches are expensive, two categories are bound, and runners report
    /// neither load nor memory.
    ByWork,
    /// Many dispatchers share budgets and request the list; this one hands over to a new process.
    Shared,
}

impl Mode {
    pub(crate) const ALL: [Mode; 4] = [Mode::Unreported, Mode::Probing, Mode::ByWork, Mode::Shared];

    /// The name of the mode in the fixture.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Mode::Unreported => "unreported",
            Mode::Probing => "probing",
            Mode::ByWork => "by-work",
            Mode::Shared => "shared",
        }
    }

    fn config(self) -> PolicyConfig {
        match self {
            Mode::Unreported => default_config(),
            Mode::Probing => PolicyConfig {
                uses_load_probes: true,
                free_slots_index: Some(0),
                free_memory_index: Some(1),
                load_index: Some(2),
                dispatcher_count: 5,
                ..default_config()
            },
            Mode::ByWork => PolicyConfig {
                payoff_per_work: true,
                fetch_cost_dominates: true,
                unlisted_may_serve: true,
                dispatcher_count: 3,
                dispatcher_index: 1,
                categories: bound(default_config().categories),
                ..default_config()
            },
            Mode::Shared => PolicyConfig {
                dispatcher_count: 30,
                dispatcher_index: 4,
                requests_list: true,
                reports_acceptance: true,
                start_time_error_s: 0.2,
                expiry_error_s: 0.1,
                ..default_config()
            },
        }
    }
}

/// Binds the second category to a kind and the third one to a zone.
fn bound(mut categories: Vec<Category>) -> Vec<Category> {
    categories[1].placement.kinds = vec![1];
    categories[2].placement.zones = vec![0];
    categories
}

/// An event that is on its way to the dispatcher.
enum Event {
    Accepted(AttemptRef),
    Started(AttemptRef),
    /// The attempt and its progress as a fraction of the run.
    Progressed(AttemptRef, f64),
    AttemptEnded(AttemptRef, Outcome),
    ClientLeft(ItemRef),
    /// The runner, the outcome and the load report: free slots, free memory, load.
    ProbeEnded(usize, Outcome, [f32; 3]),
    /// The runner and its new listing.
    ListChanged(usize, Option<ListedRunner>),
    FullList,
    ListFailed,
}

/// A work item. Its handle may be reused for a later one, its number is unique.
#[derive(Clone, Copy, PartialEq)]
struct ItemRef {
    work_item: WorkItem,
    number: u64,
}

/// An attempt, counted from 0 for each work item.
#[derive(Clone, Copy)]
struct AttemptRef {
    item: ItemRef,
    attempt: u16,
}

/// A work item that the dispatcher has not answered yet.
struct HeldItem {
    number: u64,
    /// The number of attempts so far.
    attempt_count: u16,
    client_has_left: bool,
    /// The attempt in flight and its runner.
    in_flight: Option<(u16, usize)>,
}

/// A simulated runner.
struct Machine {
    /// Its listing; `None` while it is gone.
    listing: Option<ListedRunner>,
    /// The number of its running jobs.
    running: usize,
    /// The instant in seconds until which it answers nothing.
    silent_until_s: f64,
    /// A factor on the longest run time of its jobs, which is 1.2 s.
    run_factor: f64,
}

pub(crate) struct History {
    mode: Mode,
    dispatcher: Dispatcher,
    pub(crate) host: Recorder,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    /// The held work items by handle.
    held: BTreeMap<u32, HeldItem>,
    /// The events by the step of their delivery, then by their number.
    pending_events: BTreeMap<(u64, u64), Event>,
    step: u64,
    /// The last number given to a work item or an event.
    last_number: u64,
}

impl History {
    pub(crate) fn new(mode: Mode, seed: u64) -> History {
        let machines: Vec<Machine> = (0..RUNNERS).map(machine).collect();
        let mut history = History {
            mode,
            dispatcher: Dispatcher::new(mode.config(), seed, BEGIN_S),
            host: Recorder {
                now: BEGIN_S,
                ..Recorder::default()
            },
            random: Pcg64Mcg::seed_from_u64(seed),
            machines,
            held: BTreeMap::new(),
            pending_events: BTreeMap::new(),
            step: 0,
            last_number: 0,
        };
        history.send_full_list(sagetrail_policy::ListUpdate::Cached);
        history
    }

    /// Runs all steps of the history.
    pub(crate) fn run(&mut self) {
        while self.step < STEPS {
            self.step += 1;
            self.host.now = BEGIN_S + self.step as f64 * STEP_S;
            self.inject_faults();
            self.share_fleet_state();
            let arrived = self.submit_work();
            let delivered = self.deliver_events();
            if arrived || delivered || self.is_woken() {
                self.dispatcher.decide(&mut self.host);
            }
            self.perform_actions();
            if self.step == HANDOVER_STEP && self.mode == Mode::Shared {
                self.hand_over();
            }
        }
        self.record_figures();
    }

    /// Whether the requested wake-up is due, which is then cleared. The tolerance of 1 ns covers rounding errors.
    fn is_woken(&mut self) -> bool {
        self.host
            .wake_at_s
            .take_if(|at| *at <= self.host.now + 1e-9)
            .is_some()
    }

    /// Draws whether an event of this probability occurs.
    fn chance(&mut self, probability: f64) -> bool {
        self.random.random::<f64>() < probability
    }

    /// Draws a number of steps, at least 1, from a uniform distribution of the duration.
    fn draw_steps(&mut self, from_s: f64, to_s: f64) -> u64 {
        let seconds = from_s + (to_s - from_s) * self.random.random::<f64>();
        (seconds / STEP_S).round().max(1.0) as u64
    }

    /// Schedules the delivery of an event.
    fn schedule(&mut self, in_steps: u64, event: Event) {
        self.last_number += 1;
        self.pending_events
            .insert((self.step + in_steps, self.last_number), event);
    }
}

/// The runner with this index as it is at the beginning of a history.
fn machine(index: usize) -> Machine {
    let listing = ListedRunner {
        kind: u8::from(index.is_multiple_of(2)),
        cell: index as u16 / 2,
        zone: u16::from(index >= RUNNERS / 2),
        ..listed_runner(index as u64)
    };
    Machine {
        listing: Some(listing),
        running: 0,
        silent_until_s: 0.0,
        run_factor: [0.5, 1.0, 2.0][index % 3],
    }
}
