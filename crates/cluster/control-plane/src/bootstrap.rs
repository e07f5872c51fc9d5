//! The first start of the whole cluster, at which the first seed determines the members.

use std::collections::BTreeSet;

use sagetrail_protocol::{List, NodeId, Time};

use crate::timing::{BOOTSTRAP_QUIET_MS, BOOTSTRAP_SINGLE_NODE_WAIT_MS, BOOTSTRAP_WAIT_MS};
use crate::value::RegisterValue;

/// With two or more candidates but fewer than this, the bootstrapping process waits without a time limit, since so few
/// members could not tolerate the loss of one.
const MIN_CANDIDATES: usize = 3;

/// The core processes that are candidates for the first member list.
#[derive(Debug)]
pub(crate) struct BootstrapCandidates {
    /// The bootstrapping process and the core processes whose hello it has received.
    candidates: BTreeSet<NodeId>,
    /// The number of members that tolerates the loss of machines stated in the settings.
    expected: usize,
    /// When the bootstrapping process started.
    started: Time,
    /// When the latest candidate was found.
    last_found_at: Time,
}

impl BootstrapCandidates {
    /// Creates the set of candidates with the bootstrapping process itself.
    pub(crate) fn new(node: NodeId, tolerated_machines: u32, now: Time) -> BootstrapCandidates {
        BootstrapCandidates {
            candidates: BTreeSet::from([node]),
            expected: 2 * tolerated_machines as usize + 1,
            started: now,
            last_found_at: now,
        }
    }

    /// Handles the hello of a core process, which becomes a candidate.
    pub(crate) fn on_hello(&mut self, now: Time, node: NodeId) {
        if self.candidates.insert(node) {
            self.last_found_at = now;
        }
    }

    /// The cluster's first value, with the candidates found so far as members; `None` before it is due.
    pub(crate) fn value_if_due(&self, now: Time) -> Option<RegisterValue> {
        (now >= self.due_at()).then(|| self.value())
    }

    /// When the first value is due, given the candidates found so far.
    pub(crate) fn due_at(&self) -> Time {
        let found = self.candidates.len();
        if found >= self.expected {
            return self.last_found_at.plus_millis(BOOTSTRAP_QUIET_MS);
        }
        if found >= MIN_CANDIDATES {
            return self.started.plus_millis(BOOTSTRAP_WAIT_MS);
        }
        if found == 1 {
            return self.started.plus_millis(BOOTSTRAP_SINGLE_NODE_WAIT_MS);
        }
        Time(u64::MAX)
    }

    fn value(&self) -> RegisterValue {
        RegisterValue {
            members_version: 1,
            members: List(self.candidates.iter().copied().collect()),
            bootstrap_size: self.candidates.len() as u32,
            ..RegisterValue::default()
        }
    }
}
