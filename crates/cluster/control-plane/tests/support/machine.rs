//! A simulated machine: its clocks, its disk and the process on it.

use sagetrail_control_plane::CoreNode;
use sagetrail_protocol::node::{DiskOperation, DiskWrite, Event, Now, Table};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The rate of a steady clock that keeps true time, in millionths.
pub(crate) const TRUE_RATE_PPM: u64 = 1_000_000;

/// A table on disk.
pub(crate) type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

/// The synced rows of both tables.
#[derive(Default, Clone)]
pub(crate) struct Disk {
    pub control: Rows,
    pub records: Rows,
}

/// What a disk does with writes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum DiskMode {
    /// It takes them.
    Sound,
    /// It refuses them, or hangs: they are held.
    Refusing,
    /// It refuses them, and the process counts them as kept.
    Lying,
}

/// A machine and the process on it.
pub(crate) struct Machine {
    pub id: NodeId,
    /// `None` while no process runs.
    pub node: Option<CoreNode>,
    pub disk: Disk,
    pub disk_mode: DiskMode,
    /// Writes in order that are not synced yet.
    pub unsynced: VecDeque<DiskWrite>,
    /// Stopped, as by SIGSTOP.
    pub frozen: bool,
    /// The process has said that it may end.
    pub finished: bool,
    /// The true time of the next wake.
    pub wake: Option<u64>,
    /// How fast the steady clock runs, in millionths of true time.
    pub rate_ppm: u64,
    /// The time of day at the machine.
    pub wall_ms: i64,
    /// The true time at which the steady clock began, at its present rate.
    pub(super) started: u64,
    /// How many processes have run here: what was planned for an earlier one is dropped.
    pub(super) incarnation: u64,
    /// Events that wait until the machine is thawed.
    pub(super) deferred: Vec<Event>,
}

impl Machine {
    /// A machine without a process, with an empty disk.
    pub(super) fn new(id: NodeId) -> Machine {
        Machine {
            id,
            node: None,
            disk: Disk::default(),
            disk_mode: DiskMode::Sound,
            unsynced: VecDeque::new(),
            frozen: false,
            finished: false,
            wake: None,
            rate_ppm: TRUE_RATE_PPM,
            wall_ms: 0,
            started: 0,
            incarnation: 0,
            deferred: Vec::new(),
        }
    }

    /// The clocks of the machine at a true time.
    pub(super) fn clock(&self, now: u64) -> Now {
        let local = (now - self.started) * self.rate_ppm / TRUE_RATE_PPM;
        Now {
            steady: Time(local.max(1)),
            wall_ms: self.wall_ms,
        }
    }

    /// From now on the steady clock runs at another rate.
    pub(crate) fn set_rate(&mut self, now: u64, rate_ppm: u64) {
        let local = self.clock(now).steady.0;
        self.rate_ppm = rate_ppm;
        self.started = now - local * TRUE_RATE_PPM / rate_ppm;
    }

    /// The true time at which the steady clock shows `local`.
    pub(super) fn true_time(&self, local: Time) -> u64 {
        let span = u128::from(local.0) * u128::from(TRUE_RATE_PPM);
        let span = span.div_ceil(u128::from(self.rate_ppm));
        u64::try_from(span)
            .unwrap_or(u64::MAX)
            .saturating_add(self.started)
    }
}

/// Brings a disk up to date with a write that is synced.
pub(super) fn apply(disk: &mut Disk, operations: Vec<DiskOperation>) {
    for operation in operations {
        match operation {
            DiskOperation::Put { table, key, value } => {
                rows(disk, table).insert(key, value);
            }
            DiskOperation::Delete { table, key } => {
                rows(disk, table).remove(&key);
            }
            DiskOperation::Clear { table } => rows(disk, table).clear(),
        }
    }
}

fn rows(disk: &mut Disk, table: Table) -> &mut Rows {
    match table {
        Table::Control => &mut disk.control,
        Table::Records => &mut disk.records,
    }
}
