//! Which runs to stop so that tasks of a higher priority fit: plain values in, choices out.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::capacity::{add, fit_count};
use crate::step_run::AssignedRun;

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    /// The run.
    pub run: AssignedRun,
    /// What its stop frees.
    pub resources: Resources,
    /// Work that its stop wastes, in core-milliseconds.
    pub loss: u64,
}

/// A runner, and what preempting runs there would free.
#[derive(Clone, Debug)]
pub(crate) struct PreemptionOffer {
    /// The address of the runner's agent.
    pub node: NodeId,
    /// The runner's rack; empty for none.
    pub rack: String,
    /// Capacity that is free, or becomes so without a further stop.
    pub free: Resources,
    /// The runs that may be stopped, those with the smallest loss first.
    pub victims: Vec<Victim>,
    /// How many tasks of the step fit once all victims are stopped; above 0.
    pub slots: u32,
}

impl PreemptionOffer {
    /// An offer for tasks that ask for `wanted` each, of which at most `limit` are of use. `None` where not one fits.
    pub(crate) fn new(
        node: NodeId,
        rack: &str,
        free: Resources,
        mut victims: Vec<Victim>,
        wanted: Resources,
        limit: u32,
    ) -> Option<PreemptionOffer> {
        victims.sort_by_key(|victim| (victim.loss, Reverse(victim.resources.gpu)));
        let mut freed = free;
        victims
            .iter()
            .for_each(|victim| add(&mut freed, victim.resources));
        let slots = fit_count(wanted, freed, limit);
        (slots > 0).then(|| PreemptionOffer {
            node,
            rack: rack.to_owned(),
            free,
            victims,
            slots,
        })
    }

    /// The work that stopping all victims wastes, in core-milliseconds.
    pub(crate) fn loss(&self) -> u64 {
        self.victims.iter().map(|victim| victim.loss).sum()
    }

    /// The fewest victims to stop so that `slots` tasks fit that ask for `wanted` each.
    pub(crate) fn victims_for(&self, wanted: Resources, slots: u32) -> Vec<Victim> {
        let mut free = self.free;
        let mut needed = Vec::new();
        for victim in &self.victims {
            if fit_count(wanted, free, slots) >= slots {
                break;
            }
            add(&mut free, victim.resources);
            needed.push(*victim);
        }
        needed
    }
}

/// The offers for all `tasks` of a gang, of the one rack with the smallest loss if it is rack-local; none where they
/// do not suffice.
pub(crate) fn offers_for_gang(
    offers: Vec<PreemptionOffer>,
    rack_local: bool,
    tasks: u32,
) -> Vec<PreemptionOffer> {
    let mut racks: BTreeMap<String, Vec<PreemptionOffer>> = BTreeMap::new();
    for offer in offers {
        let rack = if rack_local {
            offer.rack.clone()
        } else {
            String::new()
        };
        racks.entry(rack).or_default().push(offer);
    }
    let slots = |offers: &Vec<PreemptionOffer>| offers.iter().map(|offer| offer.slots).sum::<u32>();
    let loss =
        |offers: &Vec<PreemptionOffer>| offers.iter().map(PreemptionOffer::loss).sum::<u64>();
    racks
        .into_values()
        .filter(|offers| slots(offers) >= tasks)
        .min_by_key(loss)
        .unwrap_or_default()
}
