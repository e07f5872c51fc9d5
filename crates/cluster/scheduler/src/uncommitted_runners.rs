//! Runners with something in batches that are not kept yet, so that a kept batch concerns these alone.

use sagetrail_protocol::NodeId;
use std::collections::{BTreeMap, BTreeSet};

/// By the number of the batch.
#[derive(Debug, Default)]
pub(crate) struct UncommittedRunners(BTreeMap<u64, BTreeSet<NodeId>>);

impl UncommittedRunners {
    /// The runner has an assignment or an end in this batch.
    pub(crate) fn wait_for(&mut self, batch: u64, node: NodeId) {
        self.0.entry(batch).or_default().insert(node);
    }

    /// All batches up to this number are kept: whom that concerns.
    pub(crate) fn take_committed(&mut self, number: u64) -> BTreeSet<NodeId> {
        let later = self.0.split_off(&(number + 1));
        let kept = std::mem::replace(&mut self.0, later);
        kept.into_values().flatten().collect()
    }
}
