//! Core machines that are taken away for good, and the empty ones that come in their places.

use super::{draw_clock_rate, ClusterEvent, SimulatedCluster};
use crate::disk::Disk;
use crate::engine::{Micros, SECOND};
use crate::process::{Process, ProcessState};
use sagetrail_protocol::{NodeId, NodeKind};

/// The operator's list, from which seeds are taken as well, lags by so much.
const LIST_LAG: Micros = 3 * SECOND;

impl SimulatedCluster {
    /// A core machine is gone for good, and its successor comes later.
    pub(crate) fn replace(
        &mut self,
        node: NodeId,
        successor: NodeId,
        successor_after: Micros,
    ) -> Micros {
        self.kill(node, ProcessState::PowerOff);
        self.remove(node);
        self.add_successor(node, successor);
        self.queue.schedule(
            self.queue.now() + successor_after,
            ClusterEvent::Start(successor),
        );
        self.list_later(node, successor);
        successor_after
    }

    /// A core machine's successor starts now; after `overlap` the machine itself is asked to end.
    pub(crate) fn replace_planned(
        &mut self,
        node: NodeId,
        successor: NodeId,
        overlap: Micros,
    ) -> Micros {
        self.add_successor(node, successor);
        self.start(successor);
        self.queue
            .schedule(self.queue.now() + overlap, ClusterEvent::Leave(node));
        self.list_later(node, successor);
        overlap + self.grace()
    }

    /// A machine is asked to end and never comes back.
    pub(crate) fn leave(&mut self, node: NodeId) {
        self.remove(node);
        self.terminate(node, 0);
    }

    /// The operator's list, and so the seeds of what starts from now on, name `came` in the place of `gone`.
    pub(crate) fn list(&mut self, gone: NodeId, came: NodeId) {
        let lists = self.context.cores.iter_mut().chain(&mut self.plan.seeds);
        lists
            .filter(|node| **node == gone)
            .for_each(|node| *node = came);
    }

    fn list_later(&mut self, gone: NodeId, came: NodeId) {
        self.queue.schedule(
            self.queue.now() + LIST_LAG,
            ClusterEvent::Listed { gone, came },
        );
    }

    fn remove(&mut self, node: NodeId) {
        if let Some(process) = self.processes.get_mut(&node) {
            process.removed = true;
        }
    }

    /// An empty machine in the zone of another.
    fn add_successor(&mut self, node: NodeId, successor: NodeId) {
        self.network.place_beside(node, successor);
        let clock_rate = draw_clock_rate(&mut self.chance, self.plan.clock_drift_ppm);
        let process = Process::added(NodeKind::Core, Some(Disk::new(self.plan.disks)), clock_rate);
        self.processes.insert(successor, process);
    }
}
