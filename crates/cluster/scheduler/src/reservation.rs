//! Reservations: runners whose free capacity is reserved for one pending step.

use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

use crate::ids::StepId;

/// The way in which the capacity of a reserved runner becomes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationKind {
    /// Runs at the runner are preempted.
    Preemption,
    /// Runs at the runner end by themselves, and no others start there.
    Draining,
}

/// The reservation of a runner's free capacity for a step. Steps of a higher priority may still start there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The step that the runner is reserved for.
    pub step: StepId,
    /// The step's priority; 0 is the most urgent.
    pub priority: u32,
    /// The time at which the reservation ends if the step has not started by then.
    pub expires_at: Time,
    /// The way in which the capacity becomes free.
    pub kind: ReservationKind,
}

/// All reservations by the address of the runner's agent, at most one for each runner.
#[derive(Default)]
pub(crate) struct Reservations(BTreeMap<NodeId, Reservation>);

impl Reservations {
    /// Reserves a runner; an earlier reservation of it is replaced.
    pub(crate) fn insert(&mut self, node: NodeId, reservation: Reservation) {
        self.0.insert(node, reservation);
    }

    /// Returns the reservation of a runner.
    pub(crate) fn get(&self, node: NodeId) -> Option<Reservation> {
        self.0.get(&node).copied()
    }

    /// Removes the reservations that have expired or whose step is no longer pending.
    pub(crate) fn expire(&mut self, now: Time, is_pending: impl Fn(StepId) -> bool) {
        self.0
            .retain(|_, reservation| now < reservation.expires_at && is_pending(reservation.step));
    }

    /// Returns true if any runner is reserved for the step.
    pub(crate) fn has_step(&self, step: StepId) -> bool {
        self.0.values().any(|reservation| reservation.step == step)
    }

    /// Returns true if the runner may be reserved for a step of this priority: it is not reserved yet, or only for a
    /// step of a lower priority.
    pub(crate) fn allows(&self, node: NodeId, priority: u32) -> bool {
        self.0
            .get(&node)
            .is_none_or(|reservation| reservation.priority > priority)
    }

    /// Returns the runners that are being drained for any step.
    pub(crate) fn draining(&self) -> impl Iterator<Item = NodeId> + '_ {
        let draining = |entry: &(&NodeId, &Reservation)| entry.1.kind == ReservationKind::Draining;
        self.0.iter().filter(draining).map(|(&node, _)| node)
    }
}
