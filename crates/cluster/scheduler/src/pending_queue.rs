//! The backlog: steps with tasks that wait for a runner, by service, in the order in which they are placed.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::StepId;
use crate::objective::Expectation;

/// A pending step with what decides its position; sorts by the order in which steps are placed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct PendingKey {
    /// 0 comes first.
    pub priority: u32,
    /// Within a priority, work that can be in time comes first, work without value last.
    pub expectation: Expectation,
    /// When the job is due to end, in milliseconds since 1970.
    pub due_ms: i64,
    /// The job's order of acceptance.
    pub order: u64,
    /// The step.
    pub step: StepId,
}

/// Where a step stands in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Position {
    service: String,
    key: PendingKey,
}

/// The pending steps of all services. Invariant: both maps hold the same steps, and no set is empty.
#[derive(Default)]
pub(crate) struct PendingQueue {
    services: BTreeMap<String, BTreeSet<PendingKey>>,
    positions: BTreeMap<StepId, Position>,
}

impl PendingQueue {
    /// Adds a step, or moves it to another position.
    pub(crate) fn insert(&mut self, service: &str, key: PendingKey) {
        let unchanged = |at: &Position| at.service == service && at.key == key;
        if self.positions.get(&key.step).is_some_and(unchanged) {
            return;
        }
        self.remove(key.step);
        let service = service.to_owned();
        let keys = self.services.entry(service.clone()).or_default();
        keys.insert(key);
        self.positions.insert(key.step, Position { service, key });
    }

    /// Removes a step, if it is there.
    pub(crate) fn remove(&mut self, step: StepId) {
        let Some(Position { service, key }) = self.positions.remove(&step) else {
            return;
        };
        let Some(keys) = self.services.get_mut(&service) else {
            return;
        };
        keys.remove(&key);
        if keys.is_empty() {
            self.services.remove(&service);
        }
    }

    /// True where the step is pending.
    pub(crate) fn contains(&self, step: StepId) -> bool {
        self.positions.contains_key(&step)
    }

    /// The services with pending steps, by name.
    pub(crate) fn services(&self) -> Vec<String> {
        self.services.keys().cloned().collect()
    }

    /// The first `limit` pending steps of a service, in order.
    pub(crate) fn first(&self, service: &str, limit: usize) -> Vec<PendingKey> {
        let keys = self.services.get(service);
        keys.map(|keys| keys.iter().take(limit).copied().collect())
            .unwrap_or_default()
    }

    /// How many steps of a service are pending.
    pub(crate) fn len(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, BTreeSet::len)
    }

    /// All pending steps of a service, in order.
    pub(crate) fn all(&self, service: &str) -> Vec<PendingKey> {
        self.first(service, usize::MAX)
    }

    /// True where nothing is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
