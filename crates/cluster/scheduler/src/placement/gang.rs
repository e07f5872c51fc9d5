//! Gang placement: slots for all tasks of a gang at once, in one rack where one suffices, on as few runners as can be.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// So many tasks of a gang at a runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct GangSlots {
    /// The runner's index in the pass.
    pub runner: usize,
    /// How many tasks.
    pub tasks: u32,
}

/// The slots for a gang at one runner, with the runner's rack.
pub(super) struct RackSlots<'a> {
    /// The rack; empty for none.
    pub rack: &'a str,
    /// How many tasks would fit there.
    pub slots: GangSlots,
}

/// Whether a gang may start on runners of several racks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Spread {
    /// Where no rack can hold it alone.
    Allowed,
    /// Not yet.
    Forbidden,
}

/// Chooses slots for all tasks of a gang: in the rack where they take the fewest runners, else over all racks. `None`
/// where they do not suffice.
pub(super) fn choose_slots(
    available: &[RackSlots],
    tasks: u32,
    spread: Spread,
) -> Option<Vec<GangSlots>> {
    let mut racks: BTreeMap<&str, Vec<GangSlots>> = BTreeMap::new();
    for at in available {
        racks.entry(at.rack).or_default().push(at.slots);
    }
    let within_rack = racks
        .into_values()
        .filter_map(|slots| fewest_runners(slots, tasks))
        .min_by_key(Vec::len);
    if spread == Spread::Forbidden {
        return within_rack;
    }
    let everywhere = || available.iter().map(|at| at.slots).collect();
    within_rack.or_else(|| fewest_runners(everywhere(), tasks))
}

/// Slots for all tasks, at the runners with the most of them.
fn fewest_runners(mut slots: Vec<GangSlots>, tasks: u32) -> Option<Vec<GangSlots>> {
    slots.retain(|slots| slots.tasks > 0);
    slots.sort_by_key(|slots| Reverse(slots.tasks));
    let mut remaining = tasks;
    for slots in &mut slots {
        slots.tasks = slots.tasks.min(remaining);
        remaining -= slots.tasks;
    }
    slots.retain(|slots| slots.tasks > 0);
    (remaining == 0).then_some(slots)
}
