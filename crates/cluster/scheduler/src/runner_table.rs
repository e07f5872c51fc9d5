//! The table of all runners, including which of them may need new commands and which wait for a commit.

use sagetrail_protocol::{NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::ids::TaskId;
use crate::runner::{Assignment, Runner};
use crate::step_run::AssignedRun;

/// All runners by the address of their agent.
#[derive(Debug, Default)]
pub(crate) struct RunnerTable {
    /// The state of each runner.
    runners: BTreeMap<NodeId, Runner>,
    /// The runners that may need new commands.
    changed: BTreeSet<NodeId>,
    /// The runners with assignments or ends of runs in a batch that is not committed, by the batch's number. A commit
    /// affects these runners only.
    uncommitted: BTreeMap<u64, BTreeSet<NodeId>>,
}

impl RunnerTable {
    /// Returns a runner.
    pub(crate) fn get(&self, node: NodeId) -> Option<&Runner> {
        self.runners.get(&node)
    }

    /// Returns a runner for modification.
    pub(crate) fn get_mut(&mut self, node: NodeId) -> Option<&mut Runner> {
        self.runners.get_mut(&node)
    }

    /// Returns a runner for modification. If it is new, it is added with the latest time at which a lease may have been
    /// granted to its agent.
    pub(crate) fn get_or_add(&mut self, node: NodeId, lease_granted_at: Time) -> &mut Runner {
        self.runners
            .entry(node)
            .or_insert_with(|| Runner::new(lease_granted_at))
    }

    /// Iterates over all runners in the order of their agents' addresses.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeId, &Runner)> {
        self.runners.iter().map(|(&node, runner)| (node, runner))
    }

    /// Iterates over the runners of a service in the order of their agents' addresses.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (NodeId, &'a Runner)> {
        self.iter()
            .filter(move |(_, runner)| runner.service == service)
    }

    /// Returns the number of runners.
    pub(crate) fn len(&self) -> usize {
        self.runners.len()
    }

    /// Returns the assignment of a run to its runner.
    pub(crate) fn assignment(&self, run: AssignedRun) -> Option<&Assignment> {
        self.get(run.node)?.assigned.get(&run.task)
    }

    /// Returns the assignment of a run to its runner for modification.
    pub(crate) fn assignment_mut(&mut self, run: AssignedRun) -> Option<&mut Assignment> {
        self.get_mut(run.node)?.assigned.get_mut(&run.task)
    }

    /// Returns the tasks that are assigned to a runner.
    pub(crate) fn assigned_tasks(&self, node: NodeId) -> Vec<TaskId> {
        let assigned = self.get(node).map(|runner| &runner.assigned);
        assigned
            .into_iter()
            .flat_map(BTreeMap::keys)
            .copied()
            .collect()
    }

    /// Marks a run as no longer wanted, so that it is stopped or its start withdrawn.
    pub(crate) fn stop(&mut self, run: AssignedRun) {
        if let Some(assignment) = self.assignment_mut(run) {
            assignment.unwanted = true;
            self.set_changed(run.node);
        }
    }

    /// Notes that a runner may need new commands.
    pub(crate) fn set_changed(&mut self, node: NodeId) {
        self.changed.insert(node);
    }

    /// Notes that a runner needs no new commands, because it is being sent them.
    pub(crate) fn clear_changed(&mut self, node: NodeId) {
        self.changed.remove(&node);
    }

    /// Takes all runners that may need new commands.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<NodeId> {
        std::mem::take(&mut self.changed)
    }

    /// Notes that a runner has an assignment or an end of a run in the batch with this number.
    pub(crate) fn wait_for_commit(&mut self, batch: u64, node: NodeId) {
        self.uncommitted.entry(batch).or_default().insert(node);
    }

    /// Takes the runners that have assignments or ends of runs in batches up to this number, which are now committed.
    pub(crate) fn take_committed(&mut self, batch: u64) -> BTreeSet<NodeId> {
        let later = self.uncommitted.split_off(&(batch + 1));
        let committed = std::mem::replace(&mut self.uncommitted, later);
        committed.into_values().flatten().collect()
    }
}
