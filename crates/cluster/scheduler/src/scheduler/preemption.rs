//! Preemption: capacity freed for work of a higher priority, and reserved for it.
//!
//! Priority 0 may preempt any run of a lower priority that is neither a member of a gang nor long-running; other
//! priorities only runs that save a checkpoint when they are stopped. Nothing is stopped unless all that it makes
//! place for can start. The capacity is reserved until the step has started or the reservation expires.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;

use super::Scheduler;
use crate::capacity::{add, fits};
use crate::ids::{StepId, TaskId};
use crate::pending_queue::PendingKey;
use crate::reservation::{Reservation, ReservationKind};
use crate::reserved_capacity::URGENT;
use crate::runner::Runner;
use crate::spec::Stage;
use crate::step_run::AssignedRun;
use crate::victims::{offers_for_gang, PreemptionOffer, Victim};

/// The number of pending steps of a service that are considered in a round.
const STEPS_PER_ROUND: usize = 8;
/// A step waits so long before it preempts others, in milliseconds; an urgent one does not wait.
const PREEMPTION_WAIT_MS: u64 = 150;
/// A run is not preempted in its first moments, in milliseconds: it would be moved to and fro.
const MIN_RUN_MS: u64 = 500;
/// Beyond the longest stop, for heartbeats and the commit of the record, in milliseconds.
const RESERVATION_MARGIN_MS: u64 = 1_500;

impl Scheduler {
    /// Frees capacity for the first pending steps of a service that found none.
    pub(super) fn preempt(&mut self, now: Now, service: &str) {
        let pending = &self.pending;
        self.reservations
            .expire(now.steady, |step| pending.contains(step));
        for key in self.pending.first(service, STEPS_PER_ROUND) {
            let is_entitled = key.priority == URGENT || self.has_waited(now, key.step);
            let holds = self.holds_for_near_runner(now, service, key.step);
            if !self.reservations.has_step(key.step) && is_entitled && !holds {
                self.preempt_for(now, service, key);
            }
        }
    }

    /// True where a step waits for a runner near its data although others have room: it is no reason to stop anybody.
    fn holds_for_near_runner(&self, now: Now, service: &str, id: StepId) -> bool {
        let (Some(stage), Some(since)) = (self.jobs.stage(id), self.jobs.waiting_since(id)) else {
            return false;
        };
        if stage.affinity.is_empty() || stage.gang {
            return false;
        }
        let (_, limit) = self.racks(now, service);
        let pending_ms = now.steady.millis_since(since);
        let has_room = |(_, runner): (NodeId, &Runner)| {
            runner.is_usable(now.steady)
                && !runner.pace.is_straggler()
                && fits(stage.resources(), runner.free_capacity())
        };
        (pending_ms as f64) < limit.max_hold_ms(stage.estimate_ms)
            && self.runners.of_service(service).any(has_room)
    }

    fn has_waited(&self, now: Now, id: StepId) -> bool {
        let since = self.jobs.waiting_since(id);
        since.is_some_and(|since| now.steady.millis_since(since) >= PREEMPTION_WAIT_MS)
    }

    /// Preempts runs for a step and reserves their runners, or drains runners where preemption does not suffice.
    fn preempt_for(&mut self, now: Now, service: &str, key: PendingKey) {
        let (Some(stage), Some(step)) =
            (self.jobs.stage(key.step).cloned(), self.jobs.step(key.step))
        else {
            return;
        };
        let tasks = step.waiting.len() as u32;
        let mut offers = self.preemption_offers(now, service, key, &stage);
        if stage.gang {
            offers = offers_for_gang(offers, stage.rack_local, tasks);
        }
        if offers.is_empty() {
            return self.reserve_by_draining(now, service, key);
        }
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            expires_at: now
                .steady
                .plus_millis(self.settings.bounds.stop_ms + RESERVATION_MARGIN_MS),
            kind: ReservationKind::Preemption,
        };
        let mut remaining = tasks;
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

    /// The runners at which tasks of the step would fit once runs there are stopped, smallest loss first.
    fn preemption_offers(
        &self,
        now: Now,
        service: &str,
        key: PendingKey,
        stage: &Stage,
    ) -> Vec<PreemptionOffer> {
        let is_suitable = |node: NodeId, runner: &Runner| {
            self.reservations.allows(node, key.priority)
                && stage.constraints.all_in(&runner.labels)
                && self.within_anti_affinity(node, key, stage)
                && runner.is_usable(now.steady)
                && fits(stage.resources(), runner.capacity)
        };
        let mut offers: Vec<PreemptionOffer> = self
            .runners
            .of_service(service)
            .filter(|&(node, runner)| is_suitable(node, runner))
            .filter_map(|(node, runner)| self.offer(now, node, runner, key.priority, stage))
            .collect();
        offers.sort_by_key(PreemptionOffer::loss_core_ms);
        offers
    }

    /// True where anti-affinity lets one more task of the step run at the runner.
    fn within_anti_affinity(&self, node: NodeId, key: PendingKey, stage: &Stage) -> bool {
        if stage.anti_affinity == 0 {
            return true;
        }
        let tasks = self
            .jobs
            .step(key.step)
            .into_iter()
            .flat_map(|step| &step.tasks);
        let assigned = tasks.filter(|task| task.runner == Some(node)).count();
        assigned < stage.anti_affinity as usize
    }

    fn offer(
        &self,
        now: Now,
        node: NodeId,
        runner: &Runner,
        priority: u32,
        stage: &Stage,
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
        PreemptionOffer::new(node, runner.rack(), free, victims, wanted, stage.count)
    }

    /// The work that stopping a run would waste, in core-milliseconds; `None` where it may not be preempted for this
    /// priority.
    fn preemption_loss(&self, now: Now, id: TaskId, priority: u32) -> Option<u64> {
        let job = self.jobs.get_active(id.step.job)?;
        let stage = job.stage(id.step)?;
        if job.priority() <= priority || stage.gang || stage.long_running {
            return None;
        }
        if stage.checkpoints {
            return Some(0);
        }
        let node = job.step(id.step)?.tasks.get(id.index as usize)?.runner?;
        let run = AssignedRun { task: id, node };
        let since = self.runners.assignment(run)?.assigned_at;
        (priority == URGENT).then(|| now.steady.millis_since(since) * stage.cpu / 1000)
    }
}
