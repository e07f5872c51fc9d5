//! One placement round: a pass for each service with pending steps, and the assignments it decides on.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::stragglers::expected_run_ms;
use super::{Scheduler, PENDING_STEPS_PER_PASS};
use crate::capacity::fits;
use crate::ids::{StepId, TaskId};
use crate::placement::{AvailableRunner, Pass, PendingStep, Placement};
use crate::runner::{Assignment, Runner};
use crate::runner_pace::RunProgress;
use crate::spec::Stage;
use crate::step_run::{AssignedRun, StepRun};

/// Outlier ejection is off while more than one in this number of reachable runners of a service is suspect.
const MAX_EJECTED_DIVISOR: usize = 3;

impl Scheduler {
    /// Decides and records assignments in all services.
    pub(super) fn place(&mut self, now: Now) {
        self.placement_due = false;
        let services = self.pending.services();
        let considered = |service: &String| self.pending.len(service).min(PENDING_STEPS_PER_PASS);
        let steps = services.iter().map(considered).sum();
        self.pass_pacing
            .start_pass(now.steady, self.runners.len(), steps);
        self.update_reserved_capacity(now);
        for service in services {
            self.place_in_service(now, &service);
        }
    }

    fn place_in_service(&mut self, now: Now, service: &str) {
        let runners = self.available_runners(now, service);
        if runners.is_empty() {
            return;
        }
        let (mut racks, limit) = self.racks(now, service);
        let steps: Vec<PendingStep> = self
            .pending
            .first(service, PENDING_STEPS_PER_PASS)
            .into_iter()
            .filter_map(|key| self.pending_step(now, key, &mut racks, limit))
            .filter(|step| may_start_somewhere(step, &runners))
            .collect();
        let reserved = self.reserved_capacity.of_service(service);
        let placements = Pass::new(runners, steps, reserved, &mut self.random).run();
        self.assign_all(now, &placements);
    }

    /// The runners of a service at which work may start, by address.
    fn available_runners(&self, now: Now, service: &str) -> Vec<AvailableRunner> {
        let reachable: Vec<(NodeId, &Runner)> = self
            .runners
            .of_service(service)
            .filter(|(_, runner)| runner.is_reachable(now.steady))
            .collect();
        let suspects = reachable
            .iter()
            .filter(|(_, runner)| !runner.health.is_healthy())
            .count();
        // Where many fail at once the cause lies elsewhere: ejecting them would leave too few.
        let ejection_off = suspects * MAX_EJECTED_DIVISOR > reachable.len();
        reachable
            .into_iter()
            .filter(|(_, runner)| ejection_off || runner.health.may_start(now.steady))
            .map(|(node, runner)| AvailableRunner {
                node,
                free: runner.free_capacity(),
                labels: runner.labels.clone(),
                reservation: self
                    .reservations
                    .get(node)
                    .filter(|reservation| self.pending.contains(reservation.step)),
                max_starts: if ejection_off || runner.health.is_healthy() {
                    runner.pace.max_starts(runner.assigned.len())
                } else {
                    1
                },
                is_straggler: runner.pace.is_straggler(),
            })
            .filter(|available| available.free.cpu > 0)
            .collect()
    }

    /// Assigns what a pass decided. All members of a gang get one attempt number.
    fn assign_all(&mut self, now: Now, placements: &[Placement]) {
        let mut gang_attempts: BTreeMap<StepId, u64> = BTreeMap::new();
        for placement in placements {
            let Some(job) = self.jobs.get(placement.step.job) else {
                continue;
            };
            let Some(step) = job.step(placement.step) else {
                continue;
            };
            if job.stage(placement.step).is_some_and(|stage| stage.gang) {
                gang_attempts
                    .entry(placement.step)
                    .or_insert_with(|| step.next_gang_attempt());
            }
            let Some(index) = task_to_start(step, placement.runner) else {
                continue;
            };
            let task = TaskId {
                step: placement.step,
                index,
            };
            let run = AssignedRun {
                task,
                node: placement.runner,
            };
            self.assign(now, run, gang_attempts.get(&placement.step).copied());
        }
    }

    /// Assigns a task to a runner; its start is commanded once the record is committed. Tasks that are no members of
    /// a gang take their own next attempt number.
    fn assign(&mut self, now: Now, run: AssignedRun, gang_attempt: Option<u64>) {
        let AssignedRun { task: id, node } = run;
        let Some(job) = self.jobs.get_mut(id.step.job) else {
            return;
        };
        let Some(resources) = job.stage(id.step).map(Stage::resources) else {
            return;
        };
        job.has_started = true;
        let Some(step) = job.step_mut(id.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(id.index as usize) else {
            return;
        };
        task.attempt = gang_attempt.unwrap_or(task.attempt + 1);
        task.runner = Some(node);
        let attempt = task.attempt;
        step.waiting.remove(&id.index);
        let far_x = self.settings.bounds.far_x;
        let Some(stage) = job.stage(id.step) else {
            return;
        };
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        runner.health.record_start();
        let mut assignment = Assignment::new(attempt, resources, now.steady);
        assignment.progress = RunProgress::new(expected_run_ms(stage, runner, far_x));
        runner.assigned.insert(id, assignment);
        let batch = self.write_task(id);
        if let Some(assignment) = self.runners.assignment_mut(run) {
            assignment.batch = batch;
        }
        self.runners.wait_for_commit(batch, node);
        self.refresh_step(id.step);
    }
}

/// True where any runner has free capacity for a task of the step, near its data if all its tasks wait for that.
fn may_start_somewhere(step: &PendingStep, runners: &[AvailableRunner]) -> bool {
    let is_open = |runner: &AvailableRunner| {
        fits(step.resources, runner.free)
            && (step.takes_stragglers || !runner.is_straggler)
            && (step.max_far_tasks > 0 || runner.labels.contains(&step.affinity))
    };
    runners.iter().any(is_open)
}

/// The waiting task to start at a runner: the first that has not failed there, else the first.
fn task_to_start(step: &StepRun, node: NodeId) -> Option<u32> {
    let avoids = |index: &u32| step.tasks[*index as usize].failed_at.contains(&node);
    let mut waiting = step.waiting.iter().copied();
    waiting
        .find(|index| !avoids(index))
        .or(step.waiting.first().copied())
}
