//! Steps with tasks whose turn has come, by priority and age, and times that are not due yet.

use crate::ids::{JobId, StepId};
use crate::objective::Expectation;
use std::collections::{BTreeMap, BTreeSet};

/// Where a held step stands in its service's queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct PendingKey {
    /// 0 comes first.
    pub priority: u32,
    /// Within a priority, what can still be in time goes first, what can earn nothing last.
    pub expectation: Expectation,
    /// When the job is to have ended, in milliseconds since 1970.
    pub due_ms: i64,
    pub order: u64,
    pub step: StepId,
}

/// The held steps of all services.
#[derive(Default)]
pub(crate) struct PendingQueue {
    services: BTreeMap<String, BTreeSet<PendingKey>>,
    places: BTreeMap<StepId, (String, PendingKey)>,
}

impl PendingQueue {
    /// Holds a step, or moves it.
    pub(crate) fn hold(&mut self, service: &str, key: PendingKey) {
        if self
            .places
            .get(&key.step)
            .is_some_and(|(held, at)| held == service && *at == key)
        {
            return;
        }
        self.release(key.step);
        self.services
            .entry(service.to_owned())
            .or_default()
            .insert(key);
        self.places.insert(key.step, (service.to_owned(), key));
    }

    /// Holds a step no longer.
    pub(crate) fn release(&mut self, step: StepId) {
        let Some((service, key)) = self.places.remove(&step) else {
            return;
        };
        let Some(held) = self.services.get_mut(&service) else {
            return;
        };
        held.remove(&key);
        if held.is_empty() {
            self.services.remove(&service);
        }
    }

    /// True where the step is held.
    pub(crate) fn contains(&self, step: StepId) -> bool {
        self.places.contains_key(&step)
    }

    /// Services with held steps.
    pub(crate) fn services(&self) -> Vec<String> {
        self.services.keys().cloned().collect()
    }

    /// The first `most` held steps of a service, in order.
    pub(crate) fn held(&self, service: &str, most: usize) -> Vec<PendingKey> {
        self.services
            .get(service)
            .map(|held| held.iter().take(most).copied().collect())
            .unwrap_or_default()
    }

    /// True where nothing is held.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }
}

/// A time of a job that is not due yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct DueTime {
    /// In milliseconds since 1970.
    pub at_ms: i64,
    pub job: JobId,
    pub time: u32,
}

/// The times that are not due yet.
#[derive(Default)]
pub(crate) struct DueTimes(BTreeSet<DueTime>);

impl DueTimes {
    /// Waits for a time.
    pub(crate) fn add(&mut self, due: DueTime) {
        self.0.insert(due);
    }

    /// The first one, where it has come.
    pub(crate) fn take_due(&mut self, wall_ms: i64) -> Option<DueTime> {
        let first = self.0.first().filter(|due| due.at_ms <= wall_ms).copied()?;
        self.0.remove(&first);
        Some(first)
    }

    /// When the first one comes.
    pub(crate) fn next_ms(&self) -> Option<i64> {
        self.0.first().map(|due| due.at_ms)
    }
}
