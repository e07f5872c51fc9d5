//! All runners, which of them may need new commands, and which wait for a commit.

use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::TaskId;
use crate::runner::{Assignment, Runner};
use crate::step_run::AssignedRun;

/// The runners by the address of their agent.
#[derive(Debug, Default)]
pub(crate) struct RunnerTable {
    runners: BTreeMap<NodeId, Runner>,
    /// Runners that may need new commands.
    changed: BTreeSet<NodeId>,
    /// Runners with assignments or ends in a batch that is not committed, by the batch: a commit concerns these alone.
    uncommitted: BTreeMap<u64, BTreeSet<NodeId>>,
}

impl RunnerTable {
    /// A runner.
    pub(crate) fn get(&self, node: NodeId) -> Option<&Runner> {
        self.runners.get(&node)
    }

    /// A runner, to change it.
    pub(crate) fn get_mut(&mut self, node: NodeId) -> Option<&mut Runner> {
        self.runners.get_mut(&node)
    }

    /// A runner, added if it is new with the time at which a lease may last have been granted to it.
    pub(crate) fn get_or_add(&mut self, node: NodeId, lease_granted_at: Time) -> &mut Runner {
        self.runners
            .entry(node)
            .or_insert_with(|| Runner::new(lease_granted_at))
    }

    /// All runners, by address.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &Runner)> {
        self.runners.iter().map(|(&node, runner)| (node, runner))
    }

    /// The runners of a service, by address.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (NodeId, &'a Runner)> {
        self.iter()
            .filter(move |(_, runner)| runner.service == service)
    }

    /// How many runners there are.
    pub(crate) fn len(&self) -> usize {
        self.runners.len()
    }

    /// An assignment at a runner.
    pub(crate) fn assignment(&self, run: AssignedRun) -> Option<&Assignment> {
        self.get(run.node)?.assigned.get(&run.task)
    }

    /// An assignment at a runner, to change it.
    pub(crate) fn assignment_mut(&mut self, run: AssignedRun) -> Option<&mut Assignment> {
        self.get_mut(run.node)?.assigned.get_mut(&run.task)
    }

    /// The tasks assigned to a runner.
    pub(crate) fn assigned_tasks(&self, node: NodeId) -> Vec<TaskId> {
        let assigned = self.get(node).map(|runner| &runner.assigned);
        assigned
            .into_iter()
            .flat_map(BTreeMap::keys)
            .copied()
            .collect()
    }

    /// A run is no longer wanted.
    pub(crate) fn stop(&mut self, run: AssignedRun) {
        if let Some(assignment) = self.assignment_mut(run) {
            assignment.unwanted = true;
            self.set_changed(run.node);
        }
    }

    /// The runner may need new commands.
    pub(crate) fn set_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// The runner is being sent its commands.
    pub(crate) fn clear_changed(&mut self, node: NodeId) {
        self.changed.remove(&node);
    }

    /// Takes the runners that may need new commands.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<NodeId> {
        std::mem::take(&mut self.changed)
    }

    /// The runner has an assignment or an end in this batch.
    pub(crate) fn wait_for_commit(&mut self, batch: u64, node: NodeId) {
        self.uncommitted.entry(batch).or_default().insert(node);
    }

    /// All batches up to this number are committed: takes the runners that this concerns.
    pub(crate) fn take_committed(&mut self, batch: u64) -> BTreeSet<NodeId> {
        let later = self.uncommitted.split_off(&(batch + 1));
        let committed = std::mem::replace(&mut self.uncommitted, later);
        committed.into_values().flatten().collect()
    }
}
