//! Reserves free capacity of each service for urgent work, which is work of priority `URGENT`.
//!
//! The reserved amount is the decayed peak of the resources that urgent work needed at once, less those that it uses
//! now. Without it, in a service that is filled with work of lower priority, urgent tasks would wait for a preemption,
//! and that takes longer than their deadlines allow.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::Time;
use std::collections::BTreeMap;

use crate::capacity::{add, combine};

/// The priority of urgent work.
pub(crate) const URGENT: u32 = 0;
/// The half-life of the remembered peak demand, in milliseconds.
const PEAK_HALF_LIFE_MS: f64 = 6_000.0;
/// The minimum interval between two updates of the reserved capacity, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 20;
/// The maximum share of a service's capacity that is reserved, in percent.
const MAX_RESERVED_PERCENT: u64 = 40;

/// The capacity that urgent work of a service uses and waits for, and the capacity of the service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentDemand {
    /// The resources that urgent runs use.
    pub running: Resources,
    /// The resources that waiting urgent tasks need, not counting tasks that no runner can take.
    pub waiting: Resources,
    /// The capacity, in use or free, of all runners that take new work.
    pub capacity: Resources,
}

/// The decayed peak of the resources that urgent work of a service needed at once.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// The decayed peak.
    needed: Resources,
    /// The time of the last decay.
    updated_at: Time,
}

impl Peak {
    /// Decays the peak and raises it to the resources that are needed now, but not above the service's capacity:
    /// however long the backlog, no more can ever be in use at once. While no runner is in reach, the capacity is
    /// unknown.
    fn update(&mut self, now: Time, needed: Resources, capacity: Resources) {
        let decay = 0.5f64.powf(now.millis_since(self.updated_at) as f64 / PEAK_HALF_LIFE_MS);
        let peak = combine(self.needed, needed, |former, needed| {
            ((former as f64 * decay) as u64).max(needed)
        });
        let has_runners = capacity.cpu > 0;
        self.needed = if has_runners {
            combine(peak, capacity, u64::min)
        } else {
            peak
        };
        self.updated_at = now;
    }
}

/// The capacity reserved for urgent work in each service, by the service's name.
#[derive(Default)]
pub(crate) struct ReservedCapacity {
    /// The peak demand of urgent work in each service.
    peaks: BTreeMap<String, Peak>,
    /// The reserved capacity of each service.
    reserved: BTreeMap<String, Resources>,
    /// The time of the last update.
    updated_at: Time,
}

impl ReservedCapacity {
    /// Returns the capacity of a service that work of lower priority must leave free.
    pub(crate) fn of_service(&self, service: &str) -> Resources {
        self.reserved.get(service).copied().unwrap_or_default()
    }

    /// Returns true if the demand must be measured again; `now` then counts as the time of the update.
    pub(crate) fn start_update(&mut self, now: Time) -> bool {
        let due = now.millis_since(self.updated_at) >= UPDATE_INTERVAL_MS;
        if due {
            self.updated_at = now;
        }
        due
    }

    /// Computes the capacity to reserve in a service from the service's demand.
    pub(crate) fn update(&mut self, now: Time, service: &str, demand: UrgentDemand) {
        let mut needed = demand.running;
        add(&mut needed, demand.waiting);
        let peak = self.peaks.entry(service.to_owned()).or_default();
        peak.update(now, needed, demand.capacity);
        let missing = combine(peak.needed, demand.running, u64::saturating_sub);
        let limit = combine(demand.capacity, Resources::default(), |capacity, _| {
            capacity * MAX_RESERVED_PERCENT / 100
        });
        let reserved = combine(missing, limit, u64::min);
        self.reserved.insert(service.to_owned(), reserved);
    }
}
