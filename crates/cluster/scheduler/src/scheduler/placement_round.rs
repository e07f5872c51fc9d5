//! One placement round: runs a pass for each service with pending steps, and assigns the tasks that it placed.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::stragglers::expected_run_ms;
use super::{Scheduler, PENDING_STEPS_PER_CLASS, PENDING_STEPS_PER_PASS};
use crate::capacity::fits;
use crate::demand_class::DemandClass;
use crate::ids::{StepId, TaskId};
use crate::placement::{AvailableRunner, Pass, PendingStep, Placement};
use crate::runner::{Assignment, Runner};
use crate::runner_pace::RunProgress;
use crate::spec::Stage;
use crate::step_run::{AssignedRun, StepRun};

/// Outlier ejection is suspended while more than one in this number of a service's reachable runners is suspect.
const MAX_EJECTED_DIVISOR: usize = 3;

impl Scheduler {
    /// Runs a placement pass for each service with pending steps and assigns the tasks that it placed.
    pub(super) fn place_pending_steps(&mut self, now: Now) {
        self.placement_due = false;
        let services = self.pending.services();
        let considered_steps =
            |service: &String| self.pending.len(service).min(PENDING_STEPS_PER_PASS);
        let steps = services.iter().map(considered_steps).sum();
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
        let (mut racks, hold_limit) = self.racks_and_hold_limit(now, service);
        let may_start = |class: &DemandClass| {
            let mut available = runners.iter();
            available.any(|runner| class.may_fit(runner.free, &runner.labels))
        };
        let window = self.pending.window(
            service,
            PENDING_STEPS_PER_PASS,
            PENDING_STEPS_PER_CLASS,
            may_start,
        );
        let steps: Vec<PendingStep> = window
            .into_iter()
            .filter_map(|key| self.pending_step(now, key, &mut racks, hold_limit))
            .filter(|step| may_start_somewhere(step, &runners))
            .collect();
        let reserved = self.reserved_capacity.of_service(service);
        let placements = Pass::new(runners, steps, reserved, &mut self.random).run();
        self.assign_placements(now, &placements);
    }

    /// Returns the runners of a service on which work may start, sorted by address.
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
        // If many runners fail at once, the cause is not the single runner, and ejecting them would leave too few.
        let is_ejection_suspended = suspects * MAX_EJECTED_DIVISOR > reachable.len();
        reachable
            .into_iter()
            .filter(|(_, runner)| is_ejection_suspended || runner.health.may_start(now.steady))
            .map(|(node, runner)| AvailableRunner {
                node,
                free: runner.free_capacity(),
                labels: runner.labels.clone(),
                reservation: self
                    .reservations
                    .get(node)
                    .filter(|reservation| self.pending.contains(reservation.step)),
                max_starts: if is_ejection_suspended || runner.health.is_healthy() {
                    runner.pace.max_starts(runner.assigned.len())
                } else {
                    1
                },
                run_slots: runner.free_run_slots(),
                is_suspect: !runner.health.is_healthy(),
                is_straggler: runner.pace.is_straggler(),
            })
            .filter(|available| available.free.cpu > 0)
            .collect()
    }

    /// Assigns the tasks that a pass placed. All members of a gang get the same attempt number.
    fn assign_placements(&mut self, now: Now, placements: &[Placement]) {
        let mut gang_attempts: BTreeMap<StepId, u64> = BTreeMap::new();
        for placement in placements {
            // The members of a gang are assigned in one batch.
            if !gang_attempts.contains_key(&placement.step) {
                self.commits.close_full_batch();
            }
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
            let Some(index) = choose_waiting_task(step, placement.runner) else {
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

    /// Assigns a task to a runner. Its start is commanded after the record is committed. `gang_attempt` is the attempt
    /// number of the gang that the task belongs to; a task outside a gang gets its own next attempt number.
    fn assign(&mut self, now: Now, run: AssignedRun, gang_attempt: Option<u64>) {
        let AssignedRun {
            task: task_id,
            node,
        } = run;
        let Some(job) = self.jobs.get_mut(task_id.step.job) else {
            return;
        };
        let Some(resources) = job.stage(task_id.step).map(Stage::resources) else {
            return;
        };
        job.has_started = true;
        let Some(step) = job.step_mut(task_id.step) else {
            return;
        };
        let Some(task) = step.tasks.get_mut(task_id.index as usize) else {
            return;
        };
        task.attempt = gang_attempt.unwrap_or(task.attempt + 1);
        task.runner = Some(node);
        let attempt = task.attempt;
        step.waiting.remove(&task_id.index);
        let far_x = self.settings.bounds.far_x;
        let Some(stage) = job.stage(task_id.step) else {
            return;
        };
        let Some(runner) = self.runners.get_mut(node) else {
            return;
        };
        runner.health.record_start(now.steady);
        let mut assignment = Assignment::new(attempt, resources, now.steady);
        assignment.progress = RunProgress::new(expected_run_ms(stage, runner, far_x));
        runner.assigned.insert(task_id, assignment);
        let batch = self.write_task(task_id);
        if let Some(assignment) = self.runners.assignment_mut(run) {
            assignment.batch = batch;
        }
        self.runners.wait_for_commit(batch, node);
        self.refresh_step(task_id.step);
    }
}

/// Returns true if some runner that the step accepts has free capacity for one of its tasks. If all its tasks are held
/// back for a runner near their data, only such runners count.
fn may_start_somewhere(step: &PendingStep, runners: &[AvailableRunner]) -> bool {
    let can_take_task = |runner: &AvailableRunner| {
        fits(step.resources, runner.free)
            && (step.takes_stragglers || !runner.is_straggler)
            && (step.max_far_tasks > 0 || runner.labels.contains(&step.affinity))
    };
    runners.iter().any(can_take_task)
}

/// Returns the index of the waiting task to start on a runner: the first that has not failed there, or the first of all
/// if each has failed there.
fn choose_waiting_task(step: &StepRun, node: NodeId) -> Option<u32> {
    let has_failed_here = |index: &u32| step.tasks[*index as usize].failed_at.contains(&node);
    let mut waiting = step.waiting.iter().copied();
    waiting
        .find(|index| !has_failed_here(index))
        .or(step.waiting.first().copied())
}
