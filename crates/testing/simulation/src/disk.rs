//! The disk of a core process: transactions reach it in order, several in one sync, each whole or not at all.
//! What was asked for and not synced is, at a kill or a loss of power, kept up to some transaction or lost.

use crate::engine::{Chance, Micros, MILLISECOND};
use sagetrail_protocol::node::{DiskImage, DiskOperation, DiskWrite, Table};
use std::collections::{BTreeMap, VecDeque};

/// How long a sync takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiskSpeed {
    /// How long a sync takes.
    pub sync: Micros,
    /// At most so much is added by chance.
    pub jitter: Micros,
}

impl Default for DiskSpeed {
    fn default() -> Self {
        DiskSpeed {
            sync: 6 * MILLISECOND,
            jitter: 3 * MILLISECOND,
        }
    }
}

#[derive(Default)]
struct Tables {
    control: BTreeMap<Vec<u8>, Vec<u8>>,
    records: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl Tables {
    fn table(&mut self, table: Table) -> &mut BTreeMap<Vec<u8>, Vec<u8>> {
        match table {
            Table::Control => &mut self.control,
            Table::Records => &mut self.records,
        }
    }

    fn apply(&mut self, operation: DiskOperation) {
        match operation {
            DiskOperation::Put { table, key, value } => {
                self.table(table).insert(key, value);
            }
            DiskOperation::Delete { table, key } => {
                self.table(table).remove(&key);
            }
            DiskOperation::Clear { table } => self.table(table).clear(),
        }
    }

    fn image(&self) -> DiskImage {
        DiskImage {
            control: entries(&self.control),
            records: entries(&self.records),
        }
    }
}

fn entries(table: &BTreeMap<Vec<u8>, Vec<u8>>) -> Vec<(Vec<u8>, Vec<u8>)> {
    table
        .iter()
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

/// One disk.
pub struct Disk {
    synced: Tables,
    pending: VecDeque<DiskWrite>,
    /// How many of `pending` the running sync covers; 0: none runs.
    syncing: usize,
    speed: DiskSpeed,
    usual: DiskSpeed,
    stalled_until: Micros,
}

impl Disk {
    /// An empty disk.
    pub fn new(speed: DiskSpeed) -> Disk {
        Disk {
            synced: Tables::default(),
            pending: VecDeque::new(),
            syncing: 0,
            speed,
            usual: speed,
            stalled_until: 0,
        }
    }

    /// What is on it.
    pub fn image(&self) -> DiskImage {
        self.synced.image()
    }

    /// Takes a transaction.
    pub fn write(&mut self, write: DiskWrite) {
        self.pending.push_back(write);
    }

    /// Starts a sync of all that waits; gives its end, or `None` where one runs or nothing waits.
    pub fn start_sync(&mut self, now: Micros, chance: &mut Chance) -> Option<Micros> {
        if self.syncing > 0 || self.pending.is_empty() {
            return None;
        }
        self.syncing = self.pending.len();
        let start = now.max(self.stalled_until);
        Some(start + self.speed.sync + chance.between(0, self.speed.jitter))
    }

    /// Ends the running sync; gives what was waiting for it.
    pub fn end_sync(&mut self) -> Vec<DiskWrite> {
        let count = std::mem::take(&mut self.syncing);
        let mut writes: Vec<DiskWrite> = self.pending.drain(..count).collect();
        for write in &mut writes {
            for operation in std::mem::take(&mut write.operations) {
                self.synced.apply(operation);
            }
        }
        writes
    }

    /// The process or the machine is gone: some of the unsynced transactions are kept, from the first on.
    pub fn crash(&mut self, chance: &mut Chance) {
        let kept = chance.between(0, self.pending.len() as u64 + 1) as usize;
        for write in self.pending.drain(..).take(kept) {
            for operation in write.operations {
                self.synced.apply(operation);
            }
        }
        self.syncing = 0;
    }

    /// The machine lost power and all later writes are gone.
    pub fn lose_unsynced(&mut self) {
        self.pending.clear();
        self.syncing = 0;
    }

    /// Empties it.
    pub fn wipe(&mut self) {
        self.lose_unsynced();
        self.synced = Tables::default();
    }

    /// A sync takes so long from now on; `None`: as usual.
    pub fn set_sync(&mut self, sync: Option<Micros>) {
        self.speed = match sync {
            Some(sync) => DiskSpeed {
                sync,
                jitter: self.usual.jitter,
            },
            None => self.usual,
        };
    }

    /// No sync started from now on ends before this.
    pub fn stall(&mut self, until: Micros) {
        self.stalled_until = until;
    }
}
