//! The backlog: for each service, the steps with tasks that wait for a runner, in the order in which they are placed.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::StepId;
use crate::objective::Expectation;

/// A pending step with the values that determine its position in the queue. Keys sort in the order in which steps are
/// placed; the order of the fields is the order of comparison.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct PendingKey {
    /// The priority of the step's job; 0 comes first.
    pub priority: u32,
    /// Whether the job can still meet its objective. Within a priority, jobs that can come first, and jobs that can no
    /// longer have any value come last.
    pub expectation: Expectation,
    /// The time at which the job is due to end, in milliseconds since 1970.
    pub due_ms: i64,
    /// The job's position in the order of acceptance.
    pub order: u64,
    /// The ID of the step.
    pub step: StepId,
}

/// The service and the key under which a step is in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Position {
    /// The name of the service.
    service: String,
    /// The key within the service.
    key: PendingKey,
}

/// The pending steps of all services. Invariant: both maps hold the same steps, and no set is empty.
#[derive(Default)]
pub(crate) struct PendingQueue {
    /// The pending steps of each service, by the service's name.
    services: BTreeMap<String, BTreeSet<PendingKey>>,
    /// The position of each pending step.
    positions: BTreeMap<StepId, Position>,
}

impl PendingQueue {
    /// Adds a step, or moves it to a new position if it is already pending.
    pub(crate) fn insert(&mut self, service: &str, key: PendingKey) {
        let unchanged = |position: &Position| position.service == service && position.key == key;
        if self.positions.get(&key.step).is_some_and(unchanged) {
            return;
        }
        self.remove(key.step);
        let service = service.to_owned();
        let keys = self.services.entry(service.clone()).or_default();
        keys.insert(key);
        self.positions.insert(key.step, Position { service, key });
    }

    /// Removes a step if it is pending.
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

    /// Returns true if the step is pending.
    pub(crate) fn contains(&self, step: StepId) -> bool {
        self.positions.contains_key(&step)
    }

    /// Returns the names of the services that have pending steps, in alphabetical order.
    pub(crate) fn services(&self) -> Vec<String> {
        self.services.keys().cloned().collect()
    }

    /// Returns the first `limit` pending steps of a service, in the order in which they are placed.
    pub(crate) fn first(&self, service: &str, limit: usize) -> Vec<PendingKey> {
        let keys = self.services.get(service);
        keys.map(|keys| keys.iter().take(limit).copied().collect())
            .unwrap_or_default()
    }

    /// Returns the number of pending steps of a service.
    pub(crate) fn len(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, BTreeSet::len)
    }

    /// Returns all pending steps of a service, in the order in which they are placed.
    pub(crate) fn all(&self, service: &str) -> Vec<PendingKey> {
        self.first(service, usize::MAX)
    }

    /// Returns true if no step of any service is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}
