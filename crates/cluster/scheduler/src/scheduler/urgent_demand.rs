//! Measures the resources that urgent runs use and urgent tasks wait for in each service. The capacity reserved for
//! urgent work is computed from this demand.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use std::collections::BTreeMap;

use super::future_slots::{can_ever_start, FutureCapacity};
use super::Scheduler;
use crate::capacity::{add, combine};
use crate::reserved_capacity::{UrgentDemand, URGENT};
use crate::runner::Runner;
use crate::spec::Stage;
use crate::step_run::StepRun;

/// The demand of urgent work in one service, and the service's runners that take new work.
#[derive(Default)]
struct ServiceDemand {
    demand: UrgentDemand,
    runners: Vec<FutureCapacity>,
}

impl Scheduler {
    /// Recomputes the capacity reserved for urgent work, no more often than `ReservedCapacity` allows.
    pub(super) fn update_reserved_capacity(&mut self, now: Now) {
        if !self.reserved_capacity.start_update(now.steady) {
            return;
        }
        let mut demands: BTreeMap<String, ServiceDemand> = BTreeMap::new();
        for (node, runner) in self.runners.iter().filter(|(_, runner)| runner.has_runner) {
            let service = demands.entry(runner.service.clone()).or_default();
            self.add_usage(&mut service.demand, runner);
            // A runner that takes no new work has no capacity to reserve.
            if runner.is_reachable(now.steady) {
                add(&mut service.demand.capacity, runner.capacity);
                service.runners.push(self.future_capacity(node, runner));
            }
        }
        for (name, service) in &mut demands {
            self.add_waiting(service, name);
        }
        for (name, service) in demands {
            self.reserved_capacity
                .update(now.steady, &name, service.demand);
        }
    }

    /// Adds the resources of a runner's urgent runs to the demand.
    fn add_usage(&self, demand: &mut UrgentDemand, runner: &Runner) {
        for (task, assignment) in &runner.assigned {
            let job = self.jobs.get(task.step.job);
            if job.is_some_and(|job| job.priority() == URGENT) {
                add(&mut demand.running, assignment.resources);
            }
        }
    }

    /// Adds the resources that the waiting tasks of urgent steps ask for, if these steps can start at some time.
    fn add_waiting(&self, service: &mut ServiceDemand, name: &str) {
        let runners = &service.runners;
        let pending = self.pending.of_priority(name, URGENT, |class| {
            let mut runners = runners.iter();
            runners.any(|runner| class.may_fit(runner.capacity, &runner.labels))
        });
        for key in pending {
            let (Some(stage), Some(step)) = (self.jobs.stage(key.step), self.jobs.step(key.step))
            else {
                continue;
            };
            if can_ever_start(stage, step, &service.runners) {
                add(&mut service.demand.waiting, waiting_resources(stage, step));
            }
        }
    }
}

/// Returns the resources that all waiting tasks of a step together ask for.
fn waiting_resources(stage: &Stage, step: &StepRun) -> Resources {
    let task_count = step.waiting.len() as u64;
    combine(stage.resources(), Resources::default(), |wanted, _| {
        wanted.saturating_mul(task_count)
    })
}
