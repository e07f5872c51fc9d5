//! Delay scheduling: how many waiting tasks of a step stay back for a runner near their data.
//!
//! Away from its data a task takes `far_x` times as long, which delays its job and takes capacity from all others. Where
//! the rack of its data is full for a moment, waiting is cheaper (Zaharia et al., "Delay Scheduling", EuroSys 2010). A
//! task waits at most as long as the way to another rack would cost it, the bound of the ski-rental problem (Karlin et
//! al., "Competitive Snoopy Caching", Algorithmica 3, 1988): it loses at most as much again. What the rack cannot take
//! within that time, behind the work that waits for the same rack before it, does not wait.

use sagetrail_protocol::agent::Resources;
use std::collections::BTreeMap;

use crate::capacity::{add, fit_count};

/// The longest wait while many runners are idle, in milliseconds: a job must not stand still beside them for seconds.
const MAX_HOLD_IDLE_MS: f64 = 2_000.0;
/// The longest wait in a busy service, in milliseconds.
const MAX_HOLD_BUSY_MS: f64 = 6_000.0;
/// A service is busy where more than this part of its processors is in use, in hundredths.
const BUSY_PERCENT: u64 = 60;

/// The bound on waits for a near runner in a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HoldLimit {
    longest_ms: f64,
    /// How many times as long work takes away from its data.
    far_x: f64,
}

impl HoldLimit {
    /// The bound in a service with so much capacity, used or free, of which so much is free.
    pub(crate) fn new(far_x: f64, capacity: Resources, free: Resources) -> HoldLimit {
        let used = capacity.cpu.saturating_sub(free.cpu);
        let is_busy = used * 100 > capacity.cpu * BUSY_PERCENT;
        HoldLimit {
            longest_ms: if is_busy {
                MAX_HOLD_BUSY_MS
            } else {
                MAX_HOLD_IDLE_MS
            },
            far_x,
        }
    }

    /// True where many of the service's runners are idle.
    pub(crate) fn is_idle(self) -> bool {
        self.longest_ms <= MAX_HOLD_IDLE_MS
    }

    /// The longest wait of a task that takes so long near its data, in milliseconds.
    pub(crate) fn of(self, estimate_ms: f64) -> f64 {
        (estimate_ms * (self.far_x - 1.0)).clamp(0.0, self.longest_ms)
    }
}

/// Waiting tasks with data on a rack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RackDemand<'a> {
    /// The rack of their data.
    pub rack: &'a str,
    /// What one task asks for.
    pub resources: Resources,
    /// How long a task takes there, in milliseconds.
    pub estimate_ms: f64,
    /// How many tasks wait.
    pub waiting: u32,
    /// How long they have waited, in milliseconds.
    pub pending_ms: u64,
    /// The longest that they wait, in milliseconds.
    pub max_hold_ms: f64,
}

/// One rack in a pass.
#[derive(Clone, Debug, Default)]
struct Rack {
    capacity: Resources,
    /// The capacity of each of its runners.
    runners: Vec<Resources>,
    /// How long the rack takes for the tasks that wait for it, in milliseconds.
    backlog_ms: f64,
}

impl Rack {
    /// How many tasks fit into its runners when they are empty, counted up to `limit`.
    fn slots(&self, resources: Resources, limit: u32) -> u32 {
        let fitting = |runner: &Resources| fit_count(resources, *runner, limit);
        self.runners.iter().map(fitting).sum()
    }
}

/// The racks of a service, with the work that waits for each.
#[derive(Debug, Default)]
pub(crate) struct Racks<'a>(BTreeMap<&'a str, Rack>);

impl<'a> Racks<'a> {
    /// Adds the capacity, used or free, of a runner that takes new work.
    pub(crate) fn add_runner(&mut self, rack: &'a str, capacity: Resources) {
        let rack = self.0.entry(rack).or_default();
        add(&mut rack.capacity, capacity);
        rack.runners.push(capacity);
    }

    /// True where one rack could hold all of so many tasks if it were empty.
    pub(crate) fn can_hold(&self, resources: Resources, tasks: u32) -> bool {
        self.0
            .values()
            .any(|rack| rack.slots(resources, tasks) >= tasks)
    }

    /// How many of the tasks wait for their rack. To be called for one step after the other in the order in which they
    /// are placed.
    pub(crate) fn hold(&mut self, demand: RackDemand) -> u32 {
        let Some(rack) = self.0.get_mut(demand.rack) else {
            return 0;
        };
        let task_ms = demand.estimate_ms * share_of(demand.resources, rack.capacity);
        let left_ms = demand.max_hold_ms - demand.pending_ms as f64;
        let held = if task_ms > 0.0 && left_ms > 0.0 {
            let fitting = (demand.max_hold_ms - rack.backlog_ms) / task_ms;
            fitting.clamp(0.0, f64::from(demand.waiting)) as u32
        } else {
            0
        };
        rack.backlog_ms += f64::from(demand.waiting) * task_ms;
        held
    }
}

/// The part of a capacity that is asked for, by the kind that is scarcest.
fn share_of(wanted: Resources, capacity: Resources) -> f64 {
    let share = |wanted: u64, capacity: u64| match (wanted, capacity) {
        (0, _) => 0.0,
        (_, 0) => 1.0,
        (wanted, capacity) => wanted as f64 / capacity as f64,
    };
    share(wanted.cpu, capacity.cpu)
        .max(share(wanted.mem_mb, capacity.mem_mb))
        .max(share(wanted.gpu, capacity.gpu))
}
