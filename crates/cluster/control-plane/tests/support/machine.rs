//! A simulated machine with its clocks, its disk and the process that runs on it.

use sagetrail_control_plane::CoreNode;
use sagetrail_protocol::node::{DiskOperation, DiskWrite, Event, Now, Table};
use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The rate of a steady clock that keeps true time, in parts per million of true time.
pub(crate) const TRUE_RATE_PPM: u64 = 1_000_000;

/// The rows of a table on disk, by key.
pub(crate) type Rows = BTreeMap<Vec<u8>, Vec<u8>>;

/// The synced rows of both tables.
#[derive(Default, Clone)]
pub(crate) struct Disk {
    pub control: Rows,
    pub records: Rows,
}

/// The behaviour of a disk towards writes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum DiskMode {
    /// The disk syncs writes.
    Healthy,
    /// The disk refuses writes or hangs. The writes are held back.
    Refusing,
    /// The disk discards writes but reports them as synced.
    Lying,
}

/// A machine and the process that runs on it.
pub(crate) struct Machine {
    /// The address of the process.
    pub id: NodeId,
    /// The process; `None` while none runs.
    pub node: Option<CoreNode>,
    /// The synced content of the disk.
    pub disk: Disk,
    /// The behaviour of the disk towards writes.
    pub disk_mode: DiskMode,
    /// The writes that are not synced yet, in order.
    pub unsynced: VecDeque<DiskWrite>,
    /// Whether the machine is suspended, as by SIGSTOP.
    pub frozen: bool,
    /// Whether the process has reported that it may end.
    pub finished: bool,
    /// The true time of the next wake, in microseconds.
    pub wake: Option<u64>,
    /// The rate of the steady clock, in parts per million of true time.
    pub rate_ppm: u64,
    /// The wall-clock time of the machine, in milliseconds.
    pub wall_ms: i64,
    /// The true time, in microseconds, at which the steady clock would have shown zero at its present rate.
    pub(super) started: u64,
    /// The number of processes that have been started on or removed from this machine. Actions that were scheduled for
    /// an earlier process are dropped.
    pub(super) incarnation: u64,
    /// The events that wait until the machine is resumed.
    pub(super) deferred: Vec<Event>,
}

impl Machine {
    /// Creates a machine without a process and with an empty disk.
    pub(super) fn new(id: NodeId) -> Machine {
        Machine {
            id,
            node: None,
            disk: Disk::default(),
            disk_mode: DiskMode::Healthy,
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

    /// Returns the clocks of the machine at the true time `now`, in microseconds.
    pub(super) fn clock(&self, now: u64) -> Now {
        let local = (now - self.started) * self.rate_ppm / TRUE_RATE_PPM;
        Now {
            steady: Time(local.max(1)),
            wall_ms: self.wall_ms,
        }
    }

    /// Changes the rate of the steady clock from `now` on.
    pub(crate) fn set_rate(&mut self, now: u64, rate_ppm: u64) {
        let local = self.clock(now).steady.0;
        self.rate_ppm = rate_ppm;
        self.started = now - local * TRUE_RATE_PPM / rate_ppm;
    }

    /// Returns the true time, in microseconds, at which the steady clock shows `local`.
    pub(super) fn true_time(&self, local: Time) -> u64 {
        let span = u128::from(local.0) * u128::from(TRUE_RATE_PPM);
        let span = span.div_ceil(u128::from(self.rate_ppm));
        u64::try_from(span)
            .unwrap_or(u64::MAX)
            .saturating_add(self.started)
    }
}

/// Applies the operations of a synced write to a disk.
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
