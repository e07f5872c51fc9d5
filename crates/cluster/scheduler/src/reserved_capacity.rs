//! Free capacity reserved for urgent work: as much as it has lately needed at once, less what it uses now.
//!
//! Without it a service filled with lesser work makes urgent tasks wait for a preemption, which is longer than they
//! have.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::Time;
use std::collections::BTreeMap;

use crate::capacity::{add, combine};

/// The priority of urgent work.
pub(crate) const URGENT: u32 = 0;
/// The remembered peak decays to a half in so long, in milliseconds.
const PEAK_HALF_LIFE_MS: f64 = 6_000.0;
/// It is computed at most this often, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 20;
/// The largest part of a service's capacity that is reserved, in hundredths.
const MAX_RESERVED_PERCENT: u64 = 40;

/// What urgent work of a service uses and waits for, and what the service has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UrgentDemand {
    /// In use by urgent runs.
    pub running: Resources,
    /// Asked for by urgent tasks that wait and can run somewhere.
    pub waiting: Resources,
    /// The capacity of all runners that take new work.
    pub capacity: Resources,
}

/// What urgent work of a service has lately needed at once.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    needed: Resources,
    at: Time,
}

impl Peak {
    /// Decays the peak and raises it to what is needed now.
    fn update(&mut self, now: Time, needed: Resources) {
        let decay = 0.5f64.powf(now.millis_since(self.at) as f64 / PEAK_HALF_LIFE_MS);
        self.needed = combine(self.needed, needed, |former, needed| {
            ((former as f64 * decay) as u64).max(needed)
        });
        self.at = now;
    }
}

/// The capacity reserved in each service, by its name.
#[derive(Default)]
pub(crate) struct ReservedCapacity {
    peaks: BTreeMap<String, Peak>,
    reserved: BTreeMap<String, Resources>,
    updated_at: Time,
}

impl ReservedCapacity {
    /// The capacity that lesser work leaves free.
    pub(crate) fn of_service(&self, service: &str) -> Resources {
        self.reserved.get(service).copied().unwrap_or_default()
    }

    /// True where the demand should be measured again; it is taken as done now.
    pub(crate) fn start_update(&mut self, now: Time) -> bool {
        let due = now.millis_since(self.updated_at) >= UPDATE_INTERVAL_MS;
        if due {
            self.updated_at = now;
        }
        due
    }

    /// Computes what is reserved in a service by its demand.
    pub(crate) fn update(&mut self, now: Time, service: &str, demand: UrgentDemand) {
        let mut needed = demand.running;
        add(&mut needed, demand.waiting);
        let peak = self.peaks.entry(service.to_owned()).or_default();
        peak.update(now, needed);
        let missing = combine(peak.needed, demand.running, u64::saturating_sub);
        let limit = combine(demand.capacity, Resources::default(), |capacity, _| {
            capacity * MAX_RESERVED_PERCENT / 100
        });
        let reserved = combine(missing, limit, u64::min);
        self.reserved.insert(service.to_owned(), reserved);
    }
}
