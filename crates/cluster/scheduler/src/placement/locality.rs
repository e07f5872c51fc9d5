//! Delay scheduling: decides how many waiting tasks of a step are held back for a runner near their data.
//!
//! A runner is near a task's data if it is in the rack of the data. Elsewhere the task takes `far_factor` times as
//! long, which delays its job and takes capacity from all others. If the rack is only briefly full, waiting is cheaper
//! (Zaharia et al., "Delay Scheduling", EuroSys 2010). A task is held at most for the extra time that it would take in
//! another rack. This is the bound of the ski-rental problem (Karlin et al., "Competitive Snoopy Caching", Algorithmica
//! 3, 1988): a task that waits in vain loses at most twice the extra time. Tasks that the rack cannot start within the
//! bound, behind the earlier backlog for the same rack, are not held.

use sagetrail_protocol::agent::Resources;
use std::collections::BTreeMap;

use crate::capacity::{add, fit_count};

/// The longest hold of a task while many runners are idle, in milliseconds. It is short because a job must not wait
/// for seconds beside idle runners.
const MAX_HOLD_IDLE_MS: f64 = 2_000.0;
/// The longest hold of a task in a busy service, in milliseconds.
const MAX_HOLD_BUSY_MS: f64 = 6_000.0;
/// A service is busy if more than this percentage of its CPU capacity is in use.
const BUSY_PERCENT: u64 = 60;

/// The limit on how long tasks of one service are held for a runner near their data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HoldLimit {
    /// The longest hold of any task, in milliseconds.
    longest_ms: f64,
    /// How many times as long a task takes away from its data as near it.
    far_factor: f64,
}

impl HoldLimit {
    /// Returns the limit for a service with this total `capacity`, of which `free` is not in use.
    pub(crate) fn new(far_factor: f64, capacity: Resources, free: Resources) -> HoldLimit {
        let used = capacity.cpu.saturating_sub(free.cpu);
        let is_busy = used * 100 > capacity.cpu * BUSY_PERCENT;
        HoldLimit {
            longest_ms: if is_busy {
                MAX_HOLD_BUSY_MS
            } else {
                MAX_HOLD_IDLE_MS
            },
            far_factor,
        }
    }

    /// Returns true if the service is not busy, so many of its runners are idle.
    pub(crate) fn is_idle(self) -> bool {
        self.longest_ms <= MAX_HOLD_IDLE_MS
    }

    /// Returns the longest hold, in milliseconds, of a task that takes `estimate_ms` near its data.
    pub(crate) fn max_hold_ms(self, estimate_ms: f64) -> f64 {
        (estimate_ms * (self.far_factor - 1.0)).clamp(0.0, self.longest_ms)
    }
}

/// The waiting tasks of one step and the rack that holds their data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RackDemand<'a> {
    /// The rack that holds the tasks' data; empty if they need no particular rack.
    pub rack: &'a str,
    /// The resources that one task needs.
    pub resources: Resources,
    /// The estimated time that one task takes in that rack, in milliseconds.
    pub estimate_ms: f64,
    /// The number of tasks that wait.
    pub waiting: u32,
    /// The time that the tasks have waited so far, in milliseconds.
    pub pending_ms: u64,
    /// The longest time that the tasks are held for the rack, in milliseconds.
    pub max_hold_ms: f64,
}

/// The runners of one rack and the backlog for them, within one pass.
#[derive(Clone, Debug, Default)]
struct Rack {
    /// The capacity of all runners in the rack together, in use or free.
    capacity: Resources,
    /// The capacity of each runner in the rack, in use or free.
    runners: Vec<Resources>,
    /// The time that the rack needs for the tasks that wait for it, in milliseconds.
    backlog_ms: f64,
}

impl Rack {
    /// Returns how many tasks would fit into the rack's runners if they were empty, counting at most `limit` for each
    /// runner.
    fn slots(&self, resources: Resources, limit: u32) -> u32 {
        let fitting = |runner: &Resources| fit_count(resources, *runner, limit);
        self.runners.iter().map(fitting).sum()
    }
}

/// The racks of a service by name, each with the backlog of tasks that wait for it.
#[derive(Debug, Default)]
pub(crate) struct Racks<'a>(BTreeMap<&'a str, Rack>);

impl<'a> Racks<'a> {
    /// Adds a runner that takes new work; `capacity` is its total capacity, in use or free.
    pub(crate) fn add_runner(&mut self, rack: &'a str, capacity: Resources) {
        let rack = self.0.entry(rack).or_default();
        add(&mut rack.capacity, capacity);
        rack.runners.push(capacity);
    }

    /// Returns true if some rack could run all `tasks` at the same time if it were empty.
    pub(crate) fn can_hold(&self, resources: Resources, tasks: u32) -> bool {
        self.0
            .values()
            .any(|rack| rack.slots(resources, tasks) >= tasks)
    }

    /// Returns how many of a step's tasks are held for their rack, and adds all its waiting tasks to the rack's
    /// backlog. Must be called once for each step, in the order in which steps are placed.
    pub(crate) fn hold_tasks(&mut self, demand: RackDemand) -> u32 {
        let Some(rack) = self.0.get_mut(demand.rack) else {
            return 0;
        };
        let task_ms = demand.estimate_ms * dominant_share(demand.resources, rack.capacity);
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

/// Returns the dominant share of `wanted` in `capacity`: the largest of the shares of CPU, memory and GPUs.
fn dominant_share(wanted: Resources, capacity: Resources) -> f64 {
    let share = |wanted: u64, capacity: u64| match (wanted, capacity) {
        (0, _) => 0.0,
        (_, 0) => 1.0,
        (wanted, capacity) => wanted as f64 / capacity as f64,
    };
    share(wanted.cpu, capacity.cpu)
        .max(share(wanted.mem_mb, capacity.mem_mb))
        .max(share(wanted.gpu, capacity.gpu))
}
