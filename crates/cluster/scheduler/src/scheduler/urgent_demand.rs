//! Measures the resources that urgent runs use and urgent tasks wait for in each service. The capacity reserved for
//! urgent work is computed from this demand.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::capacity::{add, combine};
use crate::pending_queue::PendingKey;
use crate::reserved_capacity::{UrgentDemand, URGENT};
use crate::runner::Runner;

impl Scheduler {
    /// Recomputes the capacity reserved for urgent work, no more often than `ReservedCapacity` allows.
    pub(super) fn update_reserved_capacity(&mut self, now: Now) {
        if !self.reserved_capacity.start_update(now.steady) {
            return;
        }
        let mut demands: BTreeMap<String, UrgentDemand> = BTreeMap::new();
        for (_, runner) in self.runners.iter().filter(|(_, runner)| runner.has_runner) {
            let demand = demands.entry(runner.service.clone()).or_default();
            self.add_usage(now, demand, runner);
        }
        for (service, demand) in &mut demands {
            self.add_waiting(now, demand, service);
        }
        for (service, demand) in demands {
            self.reserved_capacity.update(now.steady, &service, demand);
        }
    }

    /// Adds a runner's capacity and the resources of its urgent runs to the demand.
    fn add_usage(&self, now: Now, demand: &mut UrgentDemand, runner: &Runner) {
        // A runner that takes no new work has no capacity to reserve.
        if runner.is_reachable(now.steady) {
            add(&mut demand.capacity, runner.capacity);
        }
        for (task, assignment) in &runner.assigned {
            let job = self.jobs.get(task.step.job);
            if job.is_some_and(|job| job.priority() == URGENT) {
                add(&mut demand.running, assignment.resources);
            }
        }
    }

    /// Adds the resources that the waiting tasks of urgent steps ask for, if these steps can run somewhere.
    fn add_waiting(&self, now: Now, demand: &mut UrgentDemand, service: &str) {
        let pending = self.pending.all(service);
        for key in pending.iter().take_while(|key| key.priority == URGENT) {
            if self.may_run_somewhere(now, service, key) {
                add(&mut demand.waiting, self.waiting_resources(key));
            }
        }
    }

    /// Returns true if some runner that takes new work meets the constraints of a step.
    fn may_run_somewhere(&self, now: Now, service: &str, key: &PendingKey) -> bool {
        let Some(stage) = self.jobs.stage(key.step) else {
            return false;
        };
        let is_suitable = |runner: &Runner| {
            runner.is_reachable(now.steady) && stage.constraints.all_in(&runner.labels)
        };
        self.runners
            .of_service(service)
            .any(|(_, runner)| is_suitable(runner))
    }

    /// Returns the resources that all waiting tasks of a step together ask for.
    fn waiting_resources(&self, key: &PendingKey) -> Resources {
        let (Some(stage), Some(step)) = (self.jobs.stage(key.step), self.jobs.step(key.step))
        else {
            return Resources::default();
        };
        let task_count = step.waiting.len() as u64;
        combine(stage.resources(), Resources::default(), |wanted, _| {
            wanted.saturating_mul(task_count)
        })
    }
}
