//! The first start of the whole system: the first seed fixes the members.

use crate::timing::{BOOTSTRAP_ALONE_MS, BOOTSTRAP_PATIENCE_MS, BOOTSTRAP_QUIET_MS};
use crate::value::RegisterValue;
use sagetrail_protocol::{List, NodeId, Time};
use std::collections::BTreeSet;

const FEWEST_FOR_PATIENCE: usize = 3;

/// Collects the core processes that are there.
#[derive(Debug)]
pub(crate) struct BootstrapCandidates {
    heard: BTreeSet<NodeId>,
    wanted: usize,
    started: Time,
    /// When a process was heard for the first time.
    changed: Time,
}

impl BootstrapCandidates {
    /// At the start of the bootstrapping process.
    pub(crate) fn new(node: NodeId, tolerated_machines: u32, now: Time) -> BootstrapCandidates {
        let wanted = 2 * tolerated_machines as usize + 1;
        BootstrapCandidates {
            heard: BTreeSet::from([node]),
            wanted,
            started: now,
            changed: now,
        }
    }

    /// A core process said hello.
    pub(crate) fn hear(&mut self, now: Time, node: NodeId) {
        if self.heard.insert(node) {
            self.changed = now;
        }
    }

    /// The cluster's first value, once it is time.
    pub(crate) fn due(&self, now: Time) -> Option<RegisterValue> {
        (now >= self.due_at()).then(|| self.value())
    }

    /// When it is time, as things stand.
    pub(crate) fn due_at(&self) -> Time {
        if self.heard.len() >= self.wanted {
            return self.changed.plus_millis(BOOTSTRAP_QUIET_MS);
        }
        if self.heard.len() >= FEWEST_FOR_PATIENCE {
            return self.started.plus_millis(BOOTSTRAP_PATIENCE_MS);
        }
        if self.heard.len() == 1 {
            return self.started.plus_millis(BOOTSTRAP_ALONE_MS);
        }
        Time(u64::MAX)
    }

    fn value(&self) -> RegisterValue {
        RegisterValue {
            members_version: 1,
            members: List(self.heard.iter().copied().collect()),
            bootstrap_size: self.heard.len() as u32,
            ..RegisterValue::default()
        }
    }
}
