//! A drawn history: work arrives, runners serve, fail, fall silent, restart and drain, and the list tells of it late.
mod carried_out;
mod handover;
pub(crate) mod recorder;
mod told;
mod trouble;
mod work;

use crate::fake::{default_config, listed_runner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recorder::Recorder;
use sagetrail_policy::*;
use std::collections::BTreeMap;

/// Seconds of the clock; whole steps, so that every instant is the same number in each play.
const BEGIN_S: f64 = 100.0;
const STEP_S: f64 = 0.01;
const STEPS: u64 = 6_000;
/// The process is replaced by another one at this step, where it hands on what it knows.
const HANDOVER_STEP: u64 = 4_000;
const RUNNERS: usize = 10;
const SLOTS: usize = 3;
/// One in so many arrivals is left by its client within its time.
const LEAVERS: u32 = 25;

/// How a dispatcher works.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) enum Way {
    /// Nothing is told of load.
    Unreported,
    /// Load is told to probes.
    Probing,
    /// Payoff by work, dear fetches, bound categories, load and memory in no report.
    ByWork,
    /// Many dispatchers that share budgets and ask for the list; one hands over to a new process.
    Shared,
}

impl Way {
    pub(crate) const ALL: [Way; 4] = [Way::Unreported, Way::Probing, Way::ByWork, Way::Shared];

    /// Its name in the fixture.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Way::Unreported => "unreported",
            Way::Probing => "probing",
            Way::ByWork => "by-work",
            Way::Shared => "shared",
        }
    }

    fn terms(self) -> PolicyConfig {
        match self {
            Way::Unreported => default_config(),
            Way::Probing => PolicyConfig {
                uses_load_probes: true,
                free_slots_index: Some(0),
                free_memory_index: Some(1),
                load_index: Some(2),
                dispatcher_count: 5,
                ..default_config()
            },
            Way::ByWork => PolicyConfig {
                payoff_per_work: true,
                fetch_cost_dominates: true,
                unlisted_may_serve: true,
                dispatcher_count: 3,
                dispatcher_index: 1,
                categories: bound(default_config().categories),
                ..default_config()
            },
            Way::Shared => PolicyConfig {
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

/// The second category runs on one kind, the third in one zone.
fn bound(mut categories: Vec<Category>) -> Vec<Category> {
    categories[1].placement.kinds = vec![1];
    categories[2].placement.zones = vec![0];
    categories
}

/// News on its way to the dispatcher.
enum News {
    Accepted(Sent),
    Started(Sent),
    Progressed(Sent, f64),
    Came(Sent, Outcome),
    Left(Owed),
    Probed(usize, Outcome, [f32; 3]),
    Listed(usize, Option<ListedRunner>),
    WholeList,
    ListFailed,
}

/// A work item; its handle may be given out again, the number may not.
#[derive(Clone, Copy, PartialEq)]
struct Owed {
    work_item: WorkItem,
    number: u64,
}

/// One attempt.
#[derive(Clone, Copy)]
struct Sent {
    owed: Owed,
    no: u16,
}

struct Held {
    number: u64,
    made: u16,
    left: bool,
    /// The attempt that is out.
    out: Option<(u16, usize)>,
}

struct Machine {
    listed: Option<ListedRunner>,
    running: usize,
    /// Until then it answers nothing.
    silent_until: f64,
    pace: f64,
}

pub(crate) struct History {
    way: Way,
    dispatcher: Dispatcher,
    pub(crate) host: Recorder,
    random: Pcg64Mcg,
    machines: Vec<Machine>,
    held: BTreeMap<u32, Held>,
    /// By step, then by the order of asking.
    coming: BTreeMap<(u64, u64), News>,
    step: u64,
    asked: u64,
}

impl History {
    pub(crate) fn new(way: Way, seed: u64) -> History {
        let machines: Vec<Machine> = (0..RUNNERS).map(machine).collect();
        let mut history = History {
            way,
            dispatcher: Dispatcher::new(way.terms(), seed, BEGIN_S),
            host: Recorder {
                now: BEGIN_S,
                ..Recorder::default()
            },
            random: Pcg64Mcg::seed_from_u64(seed),
            machines,
            held: BTreeMap::new(),
            coming: BTreeMap::new(),
            step: 0,
            asked: 0,
        };
        history.tell_whole_list(sagetrail_policy::ListUpdate::Cached);
        history
    }

    /// Plays it to its end.
    pub(crate) fn play(&mut self) {
        while self.step < STEPS {
            self.step += 1;
            self.host.now = BEGIN_S + self.step as f64 * STEP_S;
            self.trouble();
            self.share();
            let arrived = self.arrive();
            let told = self.tell();
            if arrived || told || self.is_woken() {
                self.dispatcher.decide(&mut self.host);
            }
            self.carry_out();
            if self.step == HANDOVER_STEP && self.way == Way::Shared {
                self.hand_over();
            }
        }
        self.note_figures();
    }

    fn is_woken(&mut self) -> bool {
        self.host
            .wake_at
            .take_if(|at| *at <= self.host.now + 1e-9)
            .is_some()
    }

    fn chance(&mut self, share: f64) -> bool {
        self.random.random::<f64>() < share
    }

    /// A span in steps, drawn evenly.
    fn span(&mut self, from_s: f64, to_s: f64) -> u64 {
        let seconds = from_s + (to_s - from_s) * self.random.random::<f64>();
        (seconds / STEP_S).round().max(1.0) as u64
    }

    fn expect(&mut self, in_steps: u64, news: News) {
        self.asked += 1;
        self.coming.insert((self.step + in_steps, self.asked), news);
    }
}

fn machine(index: usize) -> Machine {
    let listed = ListedRunner {
        kind: u8::from(index.is_multiple_of(2)),
        cell: index as u16 / 2,
        zone: u16::from(index >= RUNNERS / 2),
        ..listed_runner(index as u64)
    };
    Machine {
        listed: Some(listed),
        running: 0,
        silent_until: 0.0,
        pace: [0.5, 1.0, 2.0][index % 3],
    }
}
