//! The injection and the end of faults of machines, processes and links in a simulated cluster.

use super::cluster::{id, Cluster};
use super::machine::{apply, Disk};
use super::network::FAULT_FREE;
use rand::Rng;
use sagetrail_protocol::node::{DiskWrite, Event};

/// The time between SIGTERM and SIGKILL, in milliseconds.
const GRACE_MS: u64 = 6_000;

impl Cluster {
    /// Kills a process. All of its writes reach the disk.
    pub(crate) fn kill(&mut self, index: usize) {
        while let Some(write) = self.machines[index].unsynced.pop_front() {
            apply(&mut self.machines[index].disk, write.operations);
        }
        self.power_off(index);
    }

    /// Cuts the power of a machine. A random number of the oldest unsynced writes reaches the disk.
    pub(crate) fn power_off(&mut self, index: usize) {
        let written = self
            .random
            .random_range(0..=self.machines[index].unsynced.len());
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.node = None;
        machine.deferred.clear();
        let rest: Vec<DiskWrite> = machine.unsynced.drain(..).collect();
        for write in rest.into_iter().take(written) {
            apply(&mut machine.disk, write.operations);
        }
    }

    /// Cuts the power of a machine and empties its disk.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.power_off(index);
        self.machines[index].disk = Disk::default();
    }

    /// Sends SIGTERM to a process and waits until it ends, or until the grace period is over. The machine is then
    /// removed together with its disk.
    pub(crate) fn remove(&mut self, index: usize) {
        self.terminate(index);
        let end = self.now + GRACE_MS * 1000;
        while !self.machines[index].finished && self.now < end {
            self.run(10);
        }
        self.wipe(index);
    }

    /// Sends SIGTERM to a process.
    pub(crate) fn terminate(&mut self, index: usize) {
        self.event(index, Event::Terminate);
    }

    /// Suspends a machine, as SIGSTOP does. Its events wait until it is resumed.
    pub(crate) fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    /// Resumes a frozen machine, as SIGCONT does.
    pub(crate) fn thaw(&mut self, index: usize) {
        self.machines[index].frozen = false;
        for event in std::mem::take(&mut self.machines[index].deferred) {
            self.event(index, event);
        }
        self.event(index, Event::Wake);
    }

    /// Resumes a machine whose steady clock has stood still since `since`, when it was frozen. A steady clock must not
    /// do that.
    pub(crate) fn thaw_with_stopped_clock(&mut self, index: usize, since: u64) {
        self.machines[index].started += self.now - since;
        self.thaw(index);
    }

    /// Cuts the links between a machine and all others.
    pub(crate) fn isolate(&mut self, index: usize) {
        for other in 0..self.machines.len() {
            self.partition.insert((id(index), id(other)));
            self.partition.insert((id(other), id(index)));
        }
    }

    /// Restores all links.
    pub(crate) fn heal_network(&mut self) {
        self.partition.clear();
    }

    /// Starts the machine's process if none runs, and resumes the machine if it is frozen.
    pub(crate) fn revive(&mut self, index: usize) {
        if self.machines[index].node.is_none() {
            self.start(index, false);
        } else if self.machines[index].frozen {
            self.thaw(index);
        }
    }

    /// Ends all faults of the network and of the given machines.
    pub(crate) fn end_faults(&mut self, machines: impl IntoIterator<Item = usize>) {
        self.heal_network();
        self.conditions = FAULT_FREE;
        for index in machines {
            self.revive(index);
        }
    }
}
