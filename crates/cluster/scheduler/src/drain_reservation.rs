//! Runners emptied for a step that finds no room because many runs that may not be stopped hold a part of each.
//!
//! Without it tasks that need a whole runner, and gangs that need several, would wait as long as smaller work keeps
//! coming. One step of a service at a time has runners kept for it until they are empty enough; what runs there
//! ends by itself.

use crate::pending_queue::PendingKey;
use crate::placement::fit_count;
use crate::preemption::Reservation;
use crate::runner::Runner;
use crate::scheduler::Scheduler;
use crate::spec::Stage;
use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

/// A step waits so long before runners are emptied for it, in milliseconds.
const PATIENCE_MS: u64 = 1_000;
/// Runners are kept for so long, in milliseconds; then it is looked again which are nearest to having room.
const DRAIN_RESERVATION_MS: u64 = 4_000;

/// Only for tasks of which at most so many fit into an empty runner: smaller ones find room piece by piece.
const MAX_TASKS_PER_RUNNER: u32 = 2;

/// A runner that could carry tasks of the step if it were empty.
struct Candidate {
    node: NodeId,
    slots: u32,
    /// Thousandths of a core that are taken there.
    load: u64,
}

impl Scheduler {
    /// Keeps the least loaded suitable runners for a step that has waited for long.
    pub(crate) fn reserve_by_draining(&mut self, now: Now, service: &str, key: PendingKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let (Some(stage), Some(step)) = (job.stage(key.step).cloned(), job.step(key.step)) else {
            return;
        };
        let waited_ms = now
            .steady
            .millis_since(step.waiting_since.max(job.accepted_at));
        let wanted = if stage.gang {
            step.waiting.len() as u32
        } else {
            1
        };
        if waited_ms < PATIENCE_MS || self.is_draining_service(service) {
            return;
        }
        let until = now.steady.plus_millis(DRAIN_RESERVATION_MS);
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            until,
            drain: true,
        };
        let mut left = wanted;
        for candidate in self.drain_candidates(now, service, key, &stage, wanted) {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(candidate.slots);
            self.reservations.insert(candidate.node, reservation);
        }
    }

    /// True where runners of the service are being emptied already.
    fn is_draining_service(&self, service: &str) -> bool {
        let of_service = |node: &NodeId| {
            self.runners
                .get(node)
                .is_some_and(|runner| runner.service == service)
        };
        self.reservations
            .iter()
            .any(|(node, held)| held.drain && of_service(node))
    }

    /// The runners to empty, least loaded first; none where they would not suffice.
    fn drain_candidates(
        &self,
        now: Now,
        service: &str,
        key: PendingKey,
        stage: &Stage,
        wanted: u32,
    ) -> Vec<Candidate> {
        let mut racks: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for (&node, runner) in &self.runners {
            let free = self
                .reservations
                .get(&node)
                .is_none_or(|held| held.priority > key.priority);
            let suits = runner.service == service && stage.constraints.all_in(&runner.labels);
            let slots = fit_count(stage.resources(), runner.capacity, u32::MAX);
            let large = slots > 0 && slots <= MAX_TASKS_PER_RUNNER;
            if free && suits && large && runner.usable(now.steady) {
                let rack = if stage.gang && stage.rack_local {
                    runner.rack()
                } else {
                    ""
                };
                let load = load_of(runner);
                racks
                    .entry(rack)
                    .or_default()
                    .push(Candidate { node, slots, load });
            }
        }
        let enough = |candidates: &Vec<Candidate>| {
            candidates.iter().map(|of| of.slots).sum::<u32>() >= wanted
        };
        let mut groups: Vec<Vec<Candidate>> = racks.into_values().filter(enough).collect();
        groups
            .iter_mut()
            .for_each(|group| group.sort_by_key(|candidate| candidate.load));
        let needed_load = |group: &Vec<Candidate>| {
            let needed =
                wanted.div_ceil(group.iter().map(|of| of.slots).max().unwrap_or(1)) as usize;
            group
                .iter()
                .take(needed)
                .map(|candidate| candidate.load)
                .sum::<u64>()
        };
        groups
            .into_iter()
            .min_by_key(needed_load)
            .unwrap_or_default()
    }
}

fn load_of(runner: &Runner) -> u64 {
    runner
        .assigned
        .values()
        .map(|assignment| assignment.resources.cpu)
        .sum()
}
