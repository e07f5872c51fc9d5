//! Faults of machines, processes and links in a simulated cluster, and their ends.

use super::cluster::{id, Cluster};
use super::machine::{apply, Disk};
use super::network::CALM;
use rand::Rng;
use sagetrail_protocol::node::{DiskWrite, Event};

/// From SIGTERM to SIGKILL.
const GRACE_MS: u64 = 6_000;

impl Cluster {
    /// A process is killed: what it wrote reaches the disk.
    pub(crate) fn kill(&mut self, index: usize) {
        while let Some(write) = self.machines[index].unsynced.pop_front() {
            apply(&mut self.machines[index].disk, write.operations);
        }
        self.power_off(index);
    }

    /// A machine loses power: of what was not synced a part from the front may be there.
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

    /// A machine loses power and its disk.
    pub(crate) fn wipe(&mut self, index: usize) {
        self.power_off(index);
        self.machines[index].disk = Disk::default();
    }

    /// The platform asks a process to end, and waits for it as long as its grace lasts. The machine then leaves with
    /// its disk.
    pub(crate) fn remove(&mut self, index: usize) {
        self.terminate(index);
        let end = self.now + GRACE_MS * 1000;
        while !self.machines[index].finished && self.now < end {
            self.run(10);
        }
        self.wipe(index);
    }

    /// The platform asks a process to end.
    pub(crate) fn terminate(&mut self, index: usize) {
        self.event(index, Event::Terminate);
    }

    /// A machine stops, as by SIGSTOP; what is sent to it waits.
    pub(crate) fn freeze(&mut self, index: usize) {
        self.machines[index].frozen = true;
    }

    /// A frozen machine goes on, as by SIGCONT.
    pub(crate) fn thaw(&mut self, index: usize) {
        self.machines[index].frozen = false;
        for event in std::mem::take(&mut self.machines[index].deferred) {
            self.event(index, event);
        }
        self.event(index, Event::Wake);
    }

    /// Thaws a machine whose steady clock stood still while it was frozen since `since`, as none may.
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

    /// Starts the machine's process where none runs, thaws it where it is frozen.
    pub(crate) fn revive(&mut self, index: usize) {
        if self.machines[index].node.is_none() {
            self.start(index, false);
        } else if self.machines[index].frozen {
            self.thaw(index);
        }
    }

    /// Ends all faults of the network and of these machines.
    pub(crate) fn end_faults(&mut self, machines: impl IntoIterator<Item = usize>) {
        self.heal_network();
        self.conditions = CALM;
        for index in machines {
            self.revive(index);
        }
    }
}
