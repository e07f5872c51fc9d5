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
    Running,
    /// What comes waits.
    Frozen,
    /// Its machine is up: connections are refused.
    Down,
    /// Its machine is off: nothing answers.
    PowerOff,
}

/// What a process is given at its start.
pub struct Birth {
    pub node: NodeId,
    pub kind: NodeKind,
    pub incarnation: Incarnation,
    pub seeds: Vec<NodeId>,
    pub bootstrap: bool,
    pub bounds: Bounds,
    pub tolerated_machines: u32,
    pub heartbeat_ms: u64,
    pub image: DiskImage,
    pub seed: u64,
    pub now: Now,
}

/// Makes the logic of a process.
pub type Factory = Box<dyn FnMut(Birth, &mut Outbox) -> Box<dyn Node>>;

/// What waits for a frozen process.
pub enum Held {
    Event(Box<Event>),
    Synced(Vec<DiskWrite>),
}

/// Millionths in one.
const MILLION: i128 = 1_000_000;

/// The clocks of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
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
    pub kind: NodeKind,
    pub state: ProcessState,
    pub logic: Option<Box<dyn Node>>,
    /// Rises with each start and end; what belongs to an earlier one is dropped.
    pub generation: u64,
    pub clock: ProcessClock,
    pub disk: Option<Disk>,
    pub held: Vec<Held>,
    pub wake_at: Option<Micros>,
    /// Requests that it has read and not answered.
    pub requests: BTreeSet<HttpRequestId>,
    pub started_before: bool,
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
            held: Vec::new(),
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
        self.held.clear();
        self.wake_at = None;
        self.terminating = false;
        std::mem::take(&mut self.requests)
    }
}
