//! The first start of the whole cluster: the first seed fixes the members.

use crate::timing::{BOOTSTRAP_ALONE_MS, BOOTSTRAP_PATIENCE_MS, BOOTSTRAP_QUIET_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::{List, NodeId, Time};
use std::collections::BTreeSet;

/// With fewer candidates the bootstrapping process waits without a limit: they could not tolerate the loss of one.
const MIN_CANDIDATES: usize = 3;

/// Collects the core processes that are there.
#[derive(Debug)]
pub(crate) struct BootstrapCandidates {
    candidates: BTreeSet<NodeId>,
    /// How many members tolerate the losses that the settings name.
    expected: usize,
    started: Time,
    /// When the latest candidate was found.
    changed: Time,
}

impl BootstrapCandidates {
    /// At the start of the bootstrapping process.
    pub(crate) fn new(node: NodeId, tolerated_machines: u32, now: Time) -> BootstrapCandidates {
        BootstrapCandidates {
            candidates: BTreeSet::from([node]),
            expected: 2 * tolerated_machines as usize + 1,
            started: now,
            changed: now,
        }
    }

    /// A core process said hello.
    pub(crate) fn on_hello(&mut self, now: Time, node: NodeId) {
        if self.candidates.insert(node) {
            self.changed = now;
        }
    }

    /// The cluster's first value, once it is due.
    pub(crate) fn due(&self, now: Time) -> Option<RegisterValue> {
        (now >= self.due_at()).then(|| self.value())
    }

    /// When it is due with the candidates found so far.
    pub(crate) fn due_at(&self) -> Time {
        let found = self.candidates.len();
        if found >= self.expected {
            return self.changed.plus_millis(BOOTSTRAP_QUIET_MS);
        }
        if found >= MIN_CANDIDATES {
            return self.started.plus_millis(BOOTSTRAP_PATIENCE_MS);
        }
        if found == 1 {
            return self.started.plus_millis(BOOTSTRAP_ALONE_MS);
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
