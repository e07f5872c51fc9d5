//! Runners drained for a step that finds no free capacity, because many runs that may not be preempted use a part of
//! each.
//!
//! Without it tasks that need a whole runner, and gangs that need several, would wait as long as smaller work keeps
//! coming. For one step of a service at a time runners are reserved until they are empty enough; the runs there end by
//! themselves.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::capacity::fit_count;
use crate::pending_queue::PendingKey;
use crate::reservation::{Reservation, ReservationKind};
use crate::spec::Stage;

/// A step waits so long before runners are drained for it, in milliseconds.
const DRAIN_WAIT_MS: u64 = 1_000;
/// Runners are reserved for so long, in milliseconds; then they are chosen anew.
const DRAIN_RESERVATION_MS: u64 = 4_000;
/// Only for tasks of which at most this number fits into an empty runner: smaller ones find free capacity piece by
/// piece.
const MAX_TASKS_PER_RUNNER: u32 = 2;

/// A runner that could take tasks of the step if it were empty.
struct Candidate {
    node: NodeId,
    /// How many tasks; above 0.
    slots: u32,
    /// Thousandths of a core in use there.
    load: u64,
}

impl Scheduler {
    /// Reserves the least loaded suitable runners for a step that has waited for long.
    pub(super) fn reserve_by_draining(&mut self, now: Now, service: &str, key: PendingKey) {
        let (Some(stage), Some(step)) =
            (self.jobs.stage(key.step).cloned(), self.jobs.step(key.step))
        else {
            return;
        };
        let tasks = if stage.gang {
            step.waiting.len() as u32
        } else {
            1
        };
        let since = self.jobs.waiting_since(key.step);
        let has_waited = since.is_some_and(|since| now.steady.millis_since(since) >= DRAIN_WAIT_MS);
        if !has_waited || self.is_draining(service) {
            return;
        }
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            expires_at: now.steady.plus_millis(DRAIN_RESERVATION_MS),
            kind: ReservationKind::Draining,
        };
        let mut remaining = tasks;
        for candidate in self.drain_candidates(now, service, key, &stage, tasks) {
            if remaining == 0 {
                break;
            }
            remaining = remaining.saturating_sub(candidate.slots);
            self.reservations.insert(candidate.node, reservation);
        }
    }

    /// True where runners of the service are being drained already.
    fn is_draining(&self, service: &str) -> bool {
        self.reservations.draining().any(|node| {
            let runner = self.runners.get(node);
            runner.is_some_and(|runner| runner.service == service)
        })
    }

    /// The runners to drain, least loaded first; none where they would not suffice.
    fn drain_candidates(
        &self,
        now: Now,
        service: &str,
        key: PendingKey,
        stage: &Stage,
        tasks: u32,
    ) -> Vec<Candidate> {
        let mut racks: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for (node, runner) in self.runners.of_service(service) {
            let slots = fit_count(stage.resources(), runner.capacity, u32::MAX);
            let is_suitable = self.reservations.allows(node, key.priority)
                && stage.constraints.all_in(&runner.labels)
                && (1..=MAX_TASKS_PER_RUNNER).contains(&slots)
                && runner.is_usable(now.steady);
            if !is_suitable {
                continue;
            }
            let within_rack = stage.gang && stage.rack_local;
            let rack = if within_rack { runner.rack() } else { "" };
            let load = runner.assigned_cpu();
            racks
                .entry(rack)
                .or_default()
                .push(Candidate { node, slots, load });
        }
        least_loaded_rack(racks.into_values().collect(), tasks)
    }
}

/// The candidates of the rack whose runners are emptied soonest, least loaded first; none where no rack suffices.
fn least_loaded_rack(mut racks: Vec<Vec<Candidate>>, tasks: u32) -> Vec<Candidate> {
    racks.retain(|rack| rack.iter().map(|candidate| candidate.slots).sum::<u32>() >= tasks);
    for rack in &mut racks {
        rack.sort_by_key(|candidate| candidate.load);
    }
    let load_to_drain = |rack: &Vec<Candidate>| {
        let slots = rack.iter().map(|candidate| candidate.slots).max();
        let runners = tasks.div_ceil(slots.unwrap_or(1)) as usize;
        let drained = rack.iter().take(runners);
        drained.map(|candidate| candidate.load).sum::<u64>()
    };
    racks
        .into_iter()
        .min_by_key(load_to_drain)
        .unwrap_or_default()
}
