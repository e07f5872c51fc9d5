//! The backlog: for each service, the steps with tasks that wait for a runner, in the order in which they are placed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::demand_class::DemandClass;
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

/// The place of a step in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Position {
    /// The name of the service.
    service: String,
    /// The class of the step.
    class: DemandClass,
    /// The key within the class.
    key: PendingKey,
}

/// The pending steps of one service by their class. No set is empty.
type ServiceSteps = BTreeMap<DemandClass, BTreeSet<PendingKey>>;

/// The pending steps of all services. Invariant: both maps hold the same steps, and no inner map is empty.
#[derive(Default)]
pub(crate) struct PendingQueue {
    /// The pending steps of each service, by the service's name.
    services: BTreeMap<String, ServiceSteps>,
    /// The position of each pending step.
    positions: BTreeMap<StepId, Position>,
}

impl PendingQueue {
    /// Adds a step, or moves it to a new position if it is already pending. The class of a step never changes.
    pub(crate) fn insert(
        &mut self,
        service: &str,
        key: PendingKey,
        class: impl FnOnce() -> DemandClass,
    ) {
        let unchanged = |position: &Position| position.service == service && position.key == key;
        if self.positions.get(&key.step).is_some_and(unchanged) {
            return;
        }
        let class = self.take(key.step).map_or_else(class, |old| old.class);
        let service = service.to_owned();
        let classes = self.services.entry(service.clone()).or_default();
        classes.entry(class.clone()).or_default().insert(key);
        let position = Position {
            service,
            class,
            key,
        };
        self.positions.insert(key.step, position);
    }

    /// Removes a step if it is pending.
    pub(crate) fn remove(&mut self, step: StepId) {
        self.take(step);
    }

    /// Removes a step and returns where it was; `None` if it is not pending.
    fn take(&mut self, step: StepId) -> Option<Position> {
        let position = self.positions.remove(&step)?;
        if let Some(classes) = self.services.get_mut(&position.service) {
            if let Some(keys) = classes.get_mut(&position.class) {
                keys.remove(&position.key);
                if keys.is_empty() {
                    classes.remove(&position.class);
                }
            }
            if classes.is_empty() {
                self.services.remove(&position.service);
            }
        }
        Some(position)
    }

    /// Returns true if the step is pending.
    pub(crate) fn contains(&self, step: StepId) -> bool {
        self.positions.contains_key(&step)
    }

    /// Returns the names of the services that have pending steps, in alphabetical order.
    pub(crate) fn services(&self) -> Vec<String> {
        self.services.keys().cloned().collect()
    }

    /// Returns pending steps of a service in the order in which they are placed: the first `limit` steps of the classes
    /// that `accepts` allows, and at least the first `limit_per_class` steps of each of these classes. Steps of other
    /// classes cost nothing.
    pub(crate) fn window(
        &self,
        service: &str,
        limit: usize,
        limit_per_class: usize,
        accepts: impl Fn(&DemandClass) -> bool,
    ) -> Vec<PendingKey> {
        let classes = self.services.get(service).into_iter().flatten();
        let accepted = classes.filter(|(class, _)| accepts(class));
        let sets: Vec<&BTreeSet<PendingKey>> = accepted.map(|(_, keys)| keys).collect();
        let mut window = first_of_all(&sets, limit);
        let last = window.last().copied();
        for keys in sets {
            let first_of_class = keys.iter().take(limit_per_class);
            window.extend(first_of_class.filter(|key| last.is_none_or(|last| **key > last)));
        }
        window.sort_unstable();
        window
    }

    /// Returns the pending steps of a service that have this priority and whose class `accepts` allows, class by class.
    pub(crate) fn of_priority(
        &self,
        service: &str,
        priority: u32,
        accepts: impl Fn(&DemandClass) -> bool,
    ) -> Vec<PendingKey> {
        let classes = self.services.get(service).into_iter().flatten();
        let accepted = classes.filter(|(class, _)| accepts(class));
        accepted
            .flat_map(|(_, keys)| {
                keys.iter()
                    .skip_while(move |key| key.priority < priority)
                    .take_while(move |key| key.priority == priority)
            })
            .copied()
            .collect()
    }

    /// Returns the first pending step of a service, in the order in which they are placed.
    pub(crate) fn first(&self, service: &str) -> Option<PendingKey> {
        let classes = self.services.get(service)?;
        classes.values().filter_map(BTreeSet::first).min().copied()
    }

    /// Returns the number of pending steps of a service.
    pub(crate) fn len(&self, service: &str) -> usize {
        let classes = self.services.get(service).into_iter().flatten();
        classes.map(|(_, keys)| keys.len()).sum()
    }

    /// Returns all pending steps of a service, in the order in which they are placed.
    pub(crate) fn all(&self, service: &str) -> Vec<PendingKey> {
        self.window(service, usize::MAX, 0, |_| true)
    }

    /// Returns true if no step of any service is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

/// Returns the first `limit` keys of all sets together, in ascending order.
fn first_of_all(sets: &[&BTreeSet<PendingKey>], limit: usize) -> Vec<PendingKey> {
    let mut rest: Vec<_> = sets.iter().map(|keys| keys.iter()).collect();
    let mut heads: BinaryHeap<Reverse<(PendingKey, usize)>> = BinaryHeap::new();
    for (set, keys) in rest.iter_mut().enumerate() {
        heads.extend(keys.next().map(|key| Reverse((*key, set))));
    }
    let mut first = Vec::new();
    while let Some(Reverse((key, set))) = heads.pop().filter(|_| first.len() < limit) {
        first.push(key);
        heads.extend(rest[set].next().map(|key| Reverse((*key, set))));
    }
    first
}
