//! Preemption: stops runs to free capacity for a step of a higher priority, and reserves that capacity for it.
//!
//! Runs of a gang and long-running ones are never preempted. Priority 0 may preempt any other run of a lower priority,
//! the other priorities only those of them that save a checkpoint when they are stopped. Runs are stopped only if the
//! tasks that they make room for can then start, which for a gang means all its tasks. The capacity is reserved until
//! the step has started or the reservation expires.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;

use super::future_slots::anti_affinity_left;
use super::Scheduler;
use crate::capacity::{add, fits};
use crate::ids::{StepId, TaskId};
use crate::pending_queue::PendingKey;
use crate::reservation::{Reservation, ReservationKind};
use crate::reserved_capacity::URGENT;
use crate::runner::Runner;
use crate::spec::Stage;
use crate::step_run::{AssignedRun, StepRun};
use crate::victims::{offers_for_gang, PreemptionOffer, Victim};

/// The number of pending steps of a service that one round considers, from the front of its backlog. Steps of classes
/// that no runner can ever take are not counted.
const STEPS_PER_ROUND: usize = 8;
/// The time that a step waits before it preempts runs, in milliseconds. An urgent step does not wait.
const PREEMPTION_WAIT_MS: u64 = 150;
/// The minimum age of a run that is preempted, in milliseconds. Without it a run could be moved back and forth.
const MIN_RUN_MS: u64 = 500;
/// A reservation lasts this much longer than the longest stop, for heartbeats and the commit of the record, in
/// milliseconds.
const RESERVATION_MARGIN_MS: u64 = 1_500;

impl Scheduler {
    /// Frees capacity for the first pending steps of a service, which have found none.
    pub(super) fn preempt_for_pending_steps(&mut self, now: Now, service: &str) {
        let pending = &self.pending;
        self.reservations
            .expire(now.steady, |step| pending.contains(step));
        let runners = self.future_capacities(now, service);
        let window = self.pending.window(service, STEPS_PER_ROUND, 0, |class| {
            let mut runners = runners.iter();
            runners.any(|runner| class.may_fit(runner.capacity, &runner.labels))
        });
        for key in window {
            let is_entitled = key.priority == URGENT || self.has_waited(now, key.step);
            let is_held = self.holds_for_near_runner(now, service, key.step);
            if !self.reservations.has_step(key.step) && is_entitled && !is_held {
                self.preempt_for(now, service, key);
            }
        }
    }

    /// Returns true if a step waits for a runner near its data although other runners have free capacity. Such a step
    /// preempts no runs.
    fn holds_for_near_runner(&self, now: Now, service: &str, step_id: StepId) -> bool {
        let (Some(stage), Some(since)) =
            (self.jobs.stage(step_id), self.jobs.waiting_since(step_id))
        else {
            return false;
        };
        if stage.affinity.is_empty() || stage.gang {
            return false;
        }
        let (_, hold_limit) = self.racks_and_hold_limit(now, service);
        let pending_ms = now.steady.millis_since(since);
        let has_room = |(_, runner): (NodeId, &Runner)| {
            runner.is_usable(now.steady)
                && !runner.pace.is_straggler()
                && fits(stage.resources(), runner.free_capacity())
        };
        (pending_ms as f64) < hold_limit.max_hold_ms(stage.estimate_ms)
            && self.runners.of_service(service).any(has_room)
    }

    /// Returns true if a step has waited long enough to preempt runs.
    fn has_waited(&self, now: Now, step_id: StepId) -> bool {
        let waiting_since = self.jobs.waiting_since(step_id);
        waiting_since.is_some_and(|since| now.steady.millis_since(since) >= PREEMPTION_WAIT_MS)
    }

    /// Preempts runs for a step and reserves their runners. Drains runners instead if preemption cannot free enough.
    fn preempt_for(&mut self, now: Now, service: &str, key: PendingKey) {
        let (Some(stage), Some(step)) =
            (self.jobs.stage(key.step).cloned(), self.jobs.step(key.step))
        else {
            return;
        };
        let task_count = step.waiting.len() as u32;
        let mut offers = self.find_preemption_offers(now, service, key, &stage, step);
        if stage.gang {
            offers = offers_for_gang(offers, stage.rack_local, task_count);
        }
        if offers.is_empty() {
            return self.drain_runners_for_step(now, service, key);
        }
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            expires_at: now
                .steady
                .plus_millis(self.settings.bounds.stop_ms + RESERVATION_MARGIN_MS),
            kind: ReservationKind::Preemption,
        };
        let mut remaining = task_count;
        for offer in offers {
            let slots = offer.slots.min(remaining);
            remaining -= slots;
            let victims = offer.victims_for(stage.resources(), slots);
            if stage.gang || !victims.is_empty() {
                self.reservations.insert(offer.node, reservation);
            }
            for victim in victims {
                self.runners.stop(victim.run);
            }
            if remaining == 0 {
                break;
            }
        }
    }

    /// Returns the runners on which tasks of the step would fit after runs there are stopped, smallest loss first.
    fn find_preemption_offers(
        &self,
        now: Now,
        service: &str,
        key: PendingKey,
        stage: &Stage,
        step: &StepRun,
    ) -> Vec<PreemptionOffer> {
        let is_suitable = |node: NodeId, runner: &Runner| {
            self.reservations.allows(node, key.priority)
                && stage.constraints.all_in(&runner.labels)
                && anti_affinity_left(stage, step, node) > 0
                && runner.is_usable(now.steady)
                && fits(stage.resources(), runner.capacity)
        };
        let mut offers: Vec<PreemptionOffer> = self
            .runners
            .of_service(service)
            .filter(|&(node, runner)| is_suitable(node, runner))
            .filter_map(|(node, runner)| {
                self.preemption_offer(now, node, runner, key.priority, stage, step)
            })
            .collect();
        offers.sort_by_key(PreemptionOffer::loss_core_ms);
        offers
    }

    /// Returns the capacity that preemption on a runner can free for tasks of the step; `None` if not one task would
    /// fit.
    fn preemption_offer(
        &self,
        now: Now,
        node: NodeId,
        runner: &Runner,
        priority: u32,
        stage: &Stage,
        step: &StepRun,
    ) -> Option<PreemptionOffer> {
        let mut victims = Vec::new();
        let mut free = runner.free_capacity();
        for (&task, assignment) in &runner.assigned {
            if assignment.unwanted {
                add(&mut free, assignment.resources);
                continue;
            }
            let age_ms = now.steady.millis_since(assignment.assigned_at);
            if age_ms < MIN_RUN_MS || !assignment.active {
                continue;
            }
            if let Some(loss) = self.preemption_loss(now, task, priority) {
                victims.push(Victim {
                    run: AssignedRun { task, node },
                    resources: assignment.resources,
                    loss_core_ms: loss,
                });
            }
        }
        let wanted = stage.resources();
        let limit = stage.count.min(anti_affinity_left(stage, step, node));
        PreemptionOffer::new(node, runner.rack(), free, victims, wanted, limit)
    }

    /// Returns the work that stopping a run would waste, in core-milliseconds; `None` if the run may not be preempted
    /// for this priority.
    fn preemption_loss(&self, now: Now, task_id: TaskId, priority: u32) -> Option<u64> {
        let job = self.jobs.get_active(task_id.step.job)?;
        let stage = job.stage(task_id.step)?;
        if job.priority() <= priority || stage.gang || stage.long_running {
            return None;
        }
        if stage.checkpoints {
            return Some(0);
        }
        let node = job
            .step(task_id.step)?
            .tasks
            .get(task_id.index as usize)?
            .runner?;
        let run = AssignedRun {
            task: task_id,
            node,
        };
        let since = self.runners.assignment(run)?.assigned_at;
        (priority == URGENT).then(|| now.steady.millis_since(since) * stage.cpu / 1000)
    }
}
