//! One process of the cluster: its logic, its clocks, its disk, and whether it runs.

use crate::disk::Disk;
use crate::engine::{Micros, MILLISECOND, WALL_START_MS};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, DiskWrite, Event, HttpRequestId, Node, Now, Outbox};
use sagetrail_protocol::{Incarnation, NodeId, NodeKind, Time};
use std::collections::BTreeSet;

/// Whether a process runs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProcessState {
    /// It runs.
    Running,
    /// What comes waits.
    Frozen,
    /// Its machine is up: connections are refused.
    Down,
    /// Its machine is off: nothing answers.
    PowerOff,
}

/// What a process is given at its start.
pub struct ProcessStart {
    /// The process.
    pub node: NodeId,
    /// Its kind.
    pub kind: NodeKind,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The addresses to start from.
    pub seeds: Vec<NodeId>,
    /// True at its first start ever.
    pub bootstrap: bool,
    /// The bounds that hold between clients, runners and the cluster.
    pub bounds: Bounds,
    /// How many core machines may be lost.
    pub tolerated_machines: u32,
    /// The interval of runners' heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// What is on its disk.
    pub image: DiskImage,
    /// The seed of all random choices.
    pub seed: u64,
    /// What its clocks show.
    pub now: Now,
}

/// Makes the logic of a process.
pub type Factory = Box<dyn FnMut(ProcessStart, &mut Outbox) -> Box<dyn Node>>;

/// What waits for a frozen process.
pub enum Deferred {
    /// An event.
    Event(Box<Event>),
    /// Writes that were synced.
    Synced(Vec<DiskWrite>),
}

/// Millionths in one.
const MILLION: i128 = 1_000_000;

/// The clocks of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// When the process started, in true time.
    pub started: Micros,
    /// How much its steady clock runs fast, in millionths.
    pub fast_ppm: i64,
    /// How far its time of day is ahead of true time.
    pub wall_ahead_ms: i64,
}

impl ProcessClock {
    /// What it shows at `now`.
    pub fn read(&self, now: Micros) -> Now {
        let elapsed = now - self.started;
        let wall = WALL_START_MS + (now / MILLISECOND) as i64 + self.wall_ahead_ms;
        Now {
            steady: Time(scaled(elapsed, self.fast_ppm)),
            wall_ms: wall,
        }
    }

    /// The first true time at which it shows `steady`.
    pub fn true_time(&self, steady: Time) -> Micros {
        self.started
            .saturating_add(true_span(steady.0, self.fast_ppm))
    }
}

/// What a clock that runs fast by `ppm` millionths shows after `span`.
fn scaled(span: Micros, ppm: i64) -> Micros {
    (i128::from(span) * (MILLION + i128::from(ppm)) / MILLION) as Micros
}

/// The shortest span after which such a clock shows `shown`.
fn true_span(shown: Micros, ppm: i64) -> Micros {
    let rate = MILLION + i128::from(ppm);
    ((i128::from(shown) * MILLION + rate - 1) / rate) as Micros
}

/// A process.
pub struct Process {
    /// Its kind.
    pub kind: NodeKind,
    /// Whether it runs.
    pub state: ProcessState,
    /// Its logic, while it is alive.
    pub logic: Option<Box<dyn Node>>,
    /// Rises with each start and end; what belongs to an earlier one is dropped.
    pub generation: u64,
    /// Its clocks.
    pub clock: ProcessClock,
    /// Its disk, if it has one.
    pub disk: Option<Disk>,
    /// What came while it was frozen.
    pub deferred: Vec<Deferred>,
    /// When it is woken next, in true time.
    pub wake_at: Option<Micros>,
    /// Requests that it has read and not answered.
    pub requests: BTreeSet<HttpRequestId>,
    /// True once it has started.
    pub started_before: bool,
    /// True once it was asked to end.
    pub terminating: bool,
    /// Its machine was taken away: it never starts again.
    pub removed: bool,
}

impl Process {
    /// A process that has never run.
    pub fn new(kind: NodeKind, disk: Option<Disk>, fast_ppm: i64) -> Process {
        Process {
            kind,
            state: ProcessState::Down,
            logic: None,
            generation: 0,
            clock: ProcessClock {
                started: 0,
                fast_ppm,
                wall_ahead_ms: 0,
            },
            disk,
            deferred: Vec::new(),
            wake_at: None,
            requests: BTreeSet::new(),
            started_before: false,
            terminating: false,
            removed: false,
        }
    }

    /// The process of a machine that comes while the others run.
    pub fn added(kind: NodeKind, disk: Option<Disk>, fast_ppm: i64) -> Process {
        Process {
            started_before: true,
            ..Process::new(kind, disk, fast_ppm)
        }
    }

    /// True where it does not run and may.
    pub fn may_start(&self) -> bool {
        !self.is_alive() && !self.removed
    }

    /// True while its logic exists.
    pub fn is_alive(&self) -> bool {
        self.logic.is_some()
    }

    /// Ends it; gives the requests that it leaves unanswered.
    pub fn end(&mut self, state: ProcessState) -> BTreeSet<HttpRequestId> {
        self.state = state;
        self.logic = None;
        self.generation += 1;
        self.deferred.clear();
        self.wake_at = None;
        self.terminating = false;
        std::mem::take(&mut self.requests)
    }
}
