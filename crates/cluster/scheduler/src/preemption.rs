//! Room made for work of a higher priority: which runs are stopped, and for whom their room is kept.
//!
//! Priority 0 may stop any run of a lower priority that is no member of a gang; other priorities only runs that
//! save their progress at a stop. Nothing is stopped unless what then fits can start whole. The room is reserved
//! until the step has started, or the reservation's end.

use crate::ids::{StepId, TaskId};
use crate::pending_queue::PendingKey;
use crate::placement::{add, fit_count, fits};
use crate::records::Outcome;
use crate::runner::Runner;
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

/// So many held steps are looked at in a round.
const STEPS_PER_ROUND: usize = 8;
/// A step waits so long before others make room, in milliseconds; one of priority 0 does not wait.
const PATIENCE_MS: u64 = 150;
/// A run is not stopped in its first moments, in milliseconds: it would be put back and forth.
const MIN_RUN_MS: u64 = 500;
/// Beyond the longest stop, for heartbeats and the kept record, in milliseconds.
const RESERVATION_MARGIN_MS: u64 = 1_500;

/// Room kept for a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    pub step: StepId,
    pub priority: u32,
    pub until: Time,
    /// What runs there ends by itself; see `drain`.
    pub drain: bool,
}

/// A run that may be stopped.
#[derive(Clone, Copy)]
struct Victim {
    node: NodeId,
    task: TaskId,
    resources: Resources,
    /// Core-milliseconds of work that a stop would waste.
    loss: u64,
}

/// A runner, and what stopping runs there would free.
struct Offer {
    node: NodeId,
    rack: String,
    room: Resources,
    victims: Vec<Victim>,
    /// Tasks of the step that fit once all victims are stopped.
    slots: u32,
}

impl Scheduler {
    /// Makes room for the first held steps of a service that found none.
    pub(crate) fn preempt(&mut self, now: Now, service: &str) {
        let queue = &self.queue;
        self.reservations
            .retain(|_, held| now.steady < held.until && queue.contains(held.step));
        for key in self.queue.held(service, STEPS_PER_ROUND) {
            let reserved = self
                .reservations
                .values()
                .any(|reservation| reservation.step == key.step);
            if !reserved && (key.priority == 0 || self.has_waited_long_enough(now, key.step)) {
                self.preempt_for(now, service, key);
            }
        }
    }

    fn has_waited_long_enough(&self, now: Now, id: StepId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let since = job
            .step(id)
            .map_or(now.steady, |step| step.waiting_since.max(job.accepted_at));
        now.steady.millis_since(since) >= PATIENCE_MS
    }

    fn preempt_for(&mut self, now: Now, service: &str, key: PendingKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let (Some(stage), Some(step)) = (job.stage(key.step).cloned(), job.step(key.step)) else {
            return;
        };
        let wanted = step.waiting.len() as u32;
        let offers = self.offers(now, service, key, &stage);
        let chosen = if stage.gang {
            complete_gang(offers, &stage, wanted)
        } else {
            offers
        };
        let until = now
            .steady
            .plus_millis(self.settings.bounds.stop_ms + RESERVATION_MARGIN_MS);
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            until,
            drain: false,
        };
        if chosen.is_empty() {
            return self.reserve_by_draining(now, service, key);
        }
        let mut left = wanted;
        for offer in chosen {
            let slots = offer.slots.min(left);
            left -= slots;
            let victims = smallest_victim_set(&offer, stage.resources(), slots);
            if stage.gang || !victims.is_empty() {
                self.reservations.insert(offer.node, reservation);
            }
            victims
                .into_iter()
                .for_each(|victim| self.stop(victim.node, victim.task));
            if left == 0 {
                break;
            }
        }
    }

    /// Runners at which tasks of the step would fit once runs there are stopped, cheapest first.
    fn offers(&self, now: Now, service: &str, key: PendingKey, stage: &Stage) -> Vec<Offer> {
        let mut offers = Vec::new();
        for (&node, runner) in &self.runners {
            let free = self
                .reservations
                .get(&node)
                .is_none_or(|held| held.priority > key.priority);
            let suits = runner.service == service
                && stage.constraints.all_in(&runner.labels)
                && self.within_anti_affinity(node, key, stage);
            if free
                && suits
                && runner.usable(now.steady)
                && fits(stage.resources(), runner.capacity)
            {
                offers.extend(self.offer(now, node, runner, key.priority, stage));
            }
        }
        offers.sort_by_key(|offer| offer.victims.iter().map(|victim| victim.loss).sum::<u64>());
        offers
    }

    /// True where anti-affinity lets one more task of the step run at the runner.
    fn within_anti_affinity(&self, node: NodeId, key: PendingKey, stage: &Stage) -> bool {
        if stage.anti_affinity == 0 {
            return true;
        }
        let step = self
            .jobs
            .get(&key.step.job)
            .and_then(|job| job.step(key.step));
        let tasks = step.iter().flat_map(|step| &step.tasks);
        let running_at = tasks.filter(|task| task.runner == Some(node)).count();
        running_at < stage.anti_affinity as usize
    }

    fn offer(
        &self,
        now: Now,
        node: NodeId,
        runner: &Runner,
        priority: u32,
        stage: &Stage,
    ) -> Option<Offer> {
        let mut victims = Vec::new();
        let mut room = runner.free_capacity();
        for (&task, assignment) in &runner.assigned {
            if assignment.stop {
                add(&mut room, assignment.resources);
                continue;
            }
            let old = now.steady.millis_since(assignment.since) >= MIN_RUN_MS;
            if let Some(loss) = self
                .loss(now, task, priority)
                .filter(|_| old && assignment.active)
            {
                victims.push(Victim {
                    node,
                    task,
                    resources: assignment.resources,
                    loss,
                });
            }
        }
        victims.sort_by_key(|victim| (victim.loss, std::cmp::Reverse(victim.resources.gpu)));
        let mut freed = room;
        victims
            .iter()
            .for_each(|victim| add(&mut freed, victim.resources));
        let slots = fit_count(stage.resources(), freed, stage.count);
        let rack = runner.rack().to_owned();
        (slots > 0).then_some(Offer {
            node,
            rack,
            room,
            victims,
            slots,
        })
    }

    /// What stopping a run would waste; `None` where it may not be stopped for this priority.
    fn loss(&self, now: Now, id: TaskId, priority: u32) -> Option<u64> {
        let job = self
            .jobs
            .get(&id.step.job)
            .filter(|job| job.outcome == Outcome::Active)?;
        let stage = job.stage(id.step)?;
        if job.attributes.priority <= priority || stage.gang || stage.long_running {
            return None;
        }
        if stage.checkpoints {
            return Some(0);
        }
        let node = job.step(id.step)?.tasks.get(id.index as usize)?.runner?;
        let since = self.runners.get(&node)?.assigned.get(&id)?.since;
        (priority == 0).then(|| now.steady.millis_since(since) * stage.cpu / 1000)
    }
}

/// Runners for all tasks of a gang, of one rack where it asks for that; none where they do not suffice.
fn complete_gang(offers: Vec<Offer>, stage: &Stage, wanted: u32) -> Vec<Offer> {
    let mut racks: BTreeMap<String, Vec<Offer>> = BTreeMap::new();
    for offer in offers {
        let rack = if stage.rack_local {
            offer.rack.clone()
        } else {
            String::new()
        };
        racks.entry(rack).or_default().push(offer);
    }
    let slots = |offers: &Vec<Offer>| offers.iter().map(|offer| offer.slots).sum::<u32>();
    let loss = |offers: &Vec<Offer>| {
        offers
            .iter()
            .flat_map(|offer| &offer.victims)
            .map(|victim| victim.loss)
            .sum::<u64>()
    };
    let enough = racks.into_values().filter(|offers| slots(offers) >= wanted);
    enough.min_by_key(loss).unwrap_or_default()
}

/// The fewest runs to stop so that the seats fit.
fn smallest_victim_set(offer: &Offer, resources: Resources, slots: u32) -> Vec<Victim> {
    let mut room = offer.room;
    let mut needed = Vec::new();
    for victim in &offer.victims {
        if fit_count(resources, room, slots) >= slots {
            break;
        }
        add(&mut room, victim.resources);
        needed.push(*victim);
    }
    needed
}
