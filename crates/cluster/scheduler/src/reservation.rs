//! Runners whose free capacity is reserved for one pending step.

use sagetrail_protocol::{NodeId, Time};
use std::collections::BTreeMap;

use crate::ids::StepId;

/// How the reserved capacity becomes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationKind {
    /// Runs there are preempted.
    Preemption,
    /// Runs there end by themselves, and no others start.
    Draining,
}

/// A runner's capacity reserved for a step. Steps of a higher priority may still start there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The step that it is reserved for.
    pub step: StepId,
    /// The step's priority, 0 first.
    pub priority: u32,
    /// When the reservation ends, if the step has not started by then.
    pub expires_at: Time,
    /// How the capacity becomes free.
    pub kind: ReservationKind,
}

/// The reservations, at most one for each runner.
#[derive(Default)]
pub(crate) struct Reservations(BTreeMap<NodeId, Reservation>);

impl Reservations {
    /// Reserves a runner, in place of what it was reserved for before.
    pub(crate) fn insert(&mut self, node: NodeId, reservation: Reservation) {
        self.0.insert(node, reservation);
    }

    /// The reservation of a runner.
    pub(crate) fn get(&self, node: NodeId) -> Option<Reservation> {
        self.0.get(&node).copied()
    }

    /// Drops reservations that have expired or whose step is no longer pending.
    pub(crate) fn expire(&mut self, now: Time, is_pending: impl Fn(StepId) -> bool) {
        self.0
            .retain(|_, reservation| now < reservation.expires_at && is_pending(reservation.step));
    }

    /// True where any runner is reserved for the step.
    pub(crate) fn has_step(&self, step: StepId) -> bool {
        self.0.values().any(|reservation| reservation.step == step)
    }

    /// True where the runner may be reserved for a step of this priority.
    pub(crate) fn allows(&self, node: NodeId, priority: u32) -> bool {
        self.0
            .get(&node)
            .is_none_or(|reservation| reservation.priority > priority)
    }

    /// The runners that are being drained for a step.
    pub(crate) fn draining(&self) -> impl Iterator<Item = NodeId> + '_ {
        let draining = |entry: &(&NodeId, &Reservation)| entry.1.kind == ReservationKind::Draining;
        self.0.iter().filter(draining).map(|(&node, _)| node)
    }
}
