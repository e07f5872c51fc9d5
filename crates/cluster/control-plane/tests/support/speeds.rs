//! The speeds of simulated links and disks. A link sends one message at a time, and a disk syncs one group of writes at
//! a time.

use sagetrail_protocol::node::{DiskOperation, DiskWrite};
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// The speeds of the links and disks of a site. One byte per microsecond is one megabyte per second.
#[derive(Clone, Copy)]
pub(crate) struct Speeds {
    pub link_bytes_per_us: u64,
    pub disk_bytes_per_us: u64,
    pub sync_us: u64,
}

/// A small site: links of 1,000 Mbit/s, and disks that write 120 MB/s and take 9 ms for a sync.
pub(crate) const SMALL_SITE: Speeds = Speeds {
    link_bytes_per_us: 125,
    disk_bytes_per_us: 120,
    sync_us: 9_000,
};

/// The syncs of one disk, with the ends in microseconds of true time.
#[derive(Default)]
struct Syncs {
    /// The end of the sync of the current group of writes.
    running: u64,
    /// The end of the sync of the group that follows; equal to `running` if there is none.
    next: u64,
}

/// The queues of the links and disks of all machines.
#[derive(Default)]
pub(crate) struct DeviceQueues {
    /// When each link has sent all of its messages, in microseconds of true time.
    links: BTreeMap<NodeId, u64>,
    /// The syncs of each disk, by machine.
    disks: BTreeMap<usize, Syncs>,
    /// The speeds of the machines that differ from those of the site.
    pub speed_overrides: BTreeMap<usize, Speeds>,
    /// The bytes that each process has sent.
    pub bytes_sent: BTreeMap<NodeId, u64>,
}

impl DeviceQueues {
    /// Queues a message of `bytes` bytes and returns when it has left its machine, in microseconds of true time.
    pub(crate) fn departure_time(
        &mut self,
        now: u64,
        from: NodeId,
        bytes: u64,
        site: Speeds,
    ) -> u64 {
        let speeds = self
            .speed_overrides
            .get(&((from.ip - 1) as usize))
            .copied()
            .unwrap_or(site);
        *self.bytes_sent.entry(from).or_default() += bytes;
        let free = self.links.entry(from).or_default();
        *free = now.max(*free) + bytes / speeds.link_bytes_per_us;
        *free
    }

    /// Queues a write and returns when it is synced if no other write joins its group, in microseconds of true time.
    pub(crate) fn sync_time(
        &mut self,
        now: u64,
        machine: usize,
        write: &DiskWrite,
        site: Speeds,
    ) -> u64 {
        let speeds = self.speed_overrides.get(&machine).copied().unwrap_or(site);
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
        syncs.next += write_bytes(write) / speeds.disk_bytes_per_us;
        syncs.next
    }
}

fn write_bytes(write: &DiskWrite) -> u64 {
    let operation_bytes = |operation: &DiskOperation| match operation {
        DiskOperation::Put { key, value, .. } => key.len() + value.len(),
        DiskOperation::Delete { key, .. } => key.len(),
        DiskOperation::Clear { .. } => 0,
    };
    write.operations.iter().map(operation_bytes).sum::<usize>() as u64
}
