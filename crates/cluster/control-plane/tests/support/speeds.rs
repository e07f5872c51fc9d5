//! How fast links and disks are: a link carries one message after the other, a disk syncs one group of writes after
//! the other.

use sagetrail_protocol::node::{DiskOperation, DiskWrite};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// A site's figures. Bytes per microsecond are megabytes a second.
#[derive(Clone, Copy)]
pub(crate) struct Speeds {
    pub link_bytes_per_us: u64,
    pub disk_bytes_per_us: u64,
    pub sync_us: u64,
}

/// 1,000 Mbit/s; 120 MB/s and 9 ms for a sync.
pub(crate) const SMALL_SITE: Speeds = Speeds {
    link_bytes_per_us: 125,
    disk_bytes_per_us: 120,
    sync_us: 9_000,
};

/// The ends of the group of writes that is being synced and of the one behind it.
#[derive(Default)]
struct Syncs {
    running: u64,
    next: u64,
}

/// What the links and disks of all machines are busy with.
#[derive(Default)]
pub(crate) struct Busy {
    links: BTreeMap<NodeId, u64>,
    disks: BTreeMap<usize, Syncs>,
    /// Machines whose figures differ from the site's.
    pub others: BTreeMap<usize, Speeds>,
    pub bytes_sent: BTreeMap<NodeId, u64>,
}

impl Busy {
    /// When a message of so many bytes has left a machine.
    pub(crate) fn sent(&mut self, now: u64, from: NodeId, bytes: u64, site: Speeds) -> u64 {
        let speeds = self
            .others
            .get(&((from.ip - 1) as usize))
            .copied()
            .unwrap_or(site);
        *self.bytes_sent.entry(from).or_default() += bytes;
        let free = self.links.entry(from).or_default();
        *free = now.max(*free) + bytes / speeds.link_bytes_per_us;
        *free
    }

    /// When a write is synced, if nothing else is written before that.
    pub(crate) fn synced(
        &mut self,
        now: u64,
        machine: usize,
        write: &DiskWrite,
        site: Speeds,
    ) -> u64 {
        let speeds = self.others.get(&machine).copied().unwrap_or(site);
        let syncs = self.disks.entry(machine).or_default();
        if now >= syncs.next {
            syncs.running = now + speeds.sync_us;
            syncs.next = syncs.running;
        } else if now >= syncs.running {
            syncs.running = syncs.next;
            syncs.next = syncs.running + speeds.sync_us;
        } else if syncs.next == syncs.running {
            syncs.next = syncs.running + speeds.sync_us;
        }
        syncs.next += bytes(write) / speeds.disk_bytes_per_us;
        syncs.next
    }
}

fn bytes(write: &DiskWrite) -> u64 {
    let of = |operation: &DiskOperation| match operation {
        DiskOperation::Put { key, value, .. } => key.len() + value.len(),
        DiskOperation::Delete { key, .. } => key.len(),
        DiskOperation::Clear { .. } => 0,
    };
    write.operations.iter().map(of).sum::<usize>() as u64
}
