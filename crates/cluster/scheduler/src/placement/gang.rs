//! Gang placement: finds slots for all tasks of a gang at once, on as few runners as possible and in a single rack
//! where one rack has enough slots.
//!
//! A slot is free capacity for one task of the gang.

use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A number of slots for a gang's tasks at one runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct GangSlots {
    /// The runner's index in the pass.
    pub runner: usize,
    /// The number of tasks that fit there or are to start there.
    pub tasks: u32,
}

/// The slots for a gang at one runner, together with the runner's rack.
#[derive(Clone, Copy, Debug)]
pub(super) struct RackSlots<'a> {
    /// The runner's rack; empty if the runner has none.
    pub rack: &'a str,
    /// The slots at the runner; zero tasks if none fits.
    pub slots: GangSlots,
}

/// States whether a gang may start on runners of several racks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RackSpread {
    /// The gang may use several racks if no single rack has enough slots.
    Allowed,
    /// The gang must start within one rack; it is still waiting for a rack with enough slots.
    Forbidden,
}

/// Chooses slots for all `tasks` of a gang: in the rack where they occupy the fewest runners or, if no rack has enough
/// slots and `spread` allows it, over all racks. Returns `None` if there are too few slots.
pub(super) fn choose_slots(
    available: &[RackSlots],
    tasks: u32,
    spread: RackSpread,
) -> Option<Vec<GangSlots>> {
    let mut racks: BTreeMap<&str, Vec<GangSlots>> = BTreeMap::new();
    for runner in available {
        racks.entry(runner.rack).or_default().push(runner.slots);
    }
    let within_rack = racks
        .into_values()
        .filter_map(|slots| fewest_runners(slots, tasks))
        .min_by_key(Vec::len);
    if spread == RackSpread::Forbidden {
        return within_rack;
    }
    let all_slots = || available.iter().map(|runner| runner.slots).collect();
    within_rack.or_else(|| fewest_runners(all_slots(), tasks))
}

/// Takes slots for all `tasks` from the runners with the most slots. Returns `None` if there are too few slots.
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
