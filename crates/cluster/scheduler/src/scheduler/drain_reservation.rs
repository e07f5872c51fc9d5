//! Drains runners for a step that finds no free capacity because runs that may not be preempted occupy a part of each
//! runner.
//!
//! Without this, tasks that need a whole runner, and gangs that need several, would wait as long as smaller tasks keep
//! arriving. Runners are reserved until they are empty enough, for one step of a service at a time. The runs on them
//! are not stopped but end by themselves.

use sagetrail_protocol::node::Now;
use sagetrail_protocol::NodeId;
use std::collections::BTreeMap;

use super::Scheduler;
use crate::capacity::fit_count;
use crate::pending_queue::PendingKey;
use crate::reservation::{Reservation, ReservationKind};
use crate::spec::Stage;
use crate::step_run::StepRun;

/// The time that a step waits before runners are drained for it, in milliseconds.
const DRAIN_WAIT_MS: u64 = 1_000;
/// The time after which a drain reservation expires and runners are chosen again, in milliseconds.
const DRAIN_RESERVATION_MS: u64 = 4_000;
/// Runners are drained only for tasks of which at most this number fits into an empty runner. Smaller tasks find free
/// capacity as single runs end.
const MAX_TASKS_PER_RUNNER: u32 = 2;

/// A runner that could take tasks of the step if it were empty.
struct Candidate {
    node: NodeId,
    /// The number of tasks that fit once all runs have ended there that end by themselves; above 0.
    slots: u32,
    /// The processor capacity assigned on the runner, in thousandths of a core.
    load: u64,
}

impl Scheduler {
    /// Reserves the least loaded suitable runners for a step that has waited for `DRAIN_WAIT_MS`.
    pub(super) fn drain_runners_for_step(&mut self, now: Now, service: &str, key: PendingKey) {
        let (Some(stage), Some(step)) =
            (self.jobs.stage(key.step).cloned(), self.jobs.step(key.step))
        else {
            return;
        };
        let task_count = if stage.gang {
            step.waiting.len() as u32
        } else {
            1
        };
        let waiting_since = self.jobs.waiting_since(key.step);
        let has_waited =
            waiting_since.is_some_and(|since| now.steady.millis_since(since) >= DRAIN_WAIT_MS);
        if !has_waited || self.has_draining_runner(service) {
            return;
        }
        let reservation = Reservation {
            step: key.step,
            priority: key.priority,
            expires_at: now.steady.plus_millis(DRAIN_RESERVATION_MS),
            kind: ReservationKind::Draining,
        };
        let candidates = self.find_drain_candidates(now, service, key, &stage, step, task_count);
        let mut remaining = task_count;
        for candidate in candidates {
            if remaining == 0 {
                break;
            }
            remaining = remaining.saturating_sub(candidate.slots);
            self.reservations.insert(candidate.node, reservation);
        }
    }

    /// Returns true if a runner of the service is already reserved for draining.
    fn has_draining_runner(&self, service: &str) -> bool {
        self.reservations.draining().any(|node| {
            let runner = self.runners.get(node);
            runner.is_some_and(|runner| runner.service == service)
        })
    }

    /// Returns the runners to drain, least loaded first; empty if they are not enough for the tasks, which for
    /// a rack-local gang means that no single rack is enough.
    fn find_drain_candidates(
        &self,
        now: Now,
        service: &str,
        key: PendingKey,
        stage: &Stage,
        step: &StepRun,
        task_count: u32,
    ) -> Vec<Candidate> {
        let mut racks: BTreeMap<&str, Vec<Candidate>> = BTreeMap::new();
        for (node, runner) in self.runners.of_service(service) {
            let slots_if_empty = fit_count(stage.resources(), runner.capacity, u32::MAX);
            let is_suitable = self.reservations.allows(node, key.priority)
                && (1..=MAX_TASKS_PER_RUNNER).contains(&slots_if_empty)
                && runner.is_usable(now.steady);
            if !is_suitable {
                continue;
            }
            let slots = self.future_capacity(node, runner).slots(stage, step);
            if slots == 0 {
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
        least_loaded_rack(racks.into_values().collect(), task_count)
    }
}

/// Returns the candidates of the rack with the least load to drain, which is emptied soonest, least loaded runner
/// first. Returns none if no rack has enough slots.
fn least_loaded_rack(mut racks: Vec<Vec<Candidate>>, task_count: u32) -> Vec<Candidate> {
    racks.retain(|rack| rack.iter().map(|candidate| candidate.slots).sum::<u32>() >= task_count);
    for rack in &mut racks {
        rack.sort_by_key(|candidate| candidate.load);
    }
    let load_to_drain = |rack: &Vec<Candidate>| {
        let slots = rack.iter().map(|candidate| candidate.slots).max();
        let runners = task_count.div_ceil(slots.unwrap_or(1)) as usize;
        let drained = rack.iter().take(runners);
        drained.map(|candidate| candidate.load).sum::<u64>()
    };
    racks
        .into_iter()
        .min_by_key(load_to_drain)
        .unwrap_or_default()
}
