//! Chooses the runs to preempt (victims) so that tasks of a higher priority fit. It takes plain values and returns
//! plain values.

use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::capacity::{add, fit_count};
use crate::step_run::AssignedRun;

/// A run that may be preempted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Victim {
    /// The run that may be stopped.
    pub run: AssignedRun,
    /// The resources that stopping the run frees.
    pub resources: Resources,
    /// The work that stopping the run wastes, in core-milliseconds.
    pub loss_core_ms: u64,
}

/// A runner and the capacity that preempting runs there would free.
#[derive(Clone, Debug)]
pub(crate) struct PreemptionOffer {
    /// The address of the runner's agent.
    pub node: NodeId,
    /// The runner's rack; empty if it has none.
    pub rack: String,
    /// The capacity that is free, or becomes free without any further stop.
    pub free: Resources,
    /// The runs that may be stopped, in ascending order of loss.
    pub victims: Vec<Victim>,
    /// The number of the step's tasks that fit once all victims are stopped; above 0.
    pub slots: u32,
}

impl PreemptionOffer {
    /// Creates the offer of a runner for up to `limit` tasks that need `wanted` each. Returns `None` if not a single
    /// task would fit.
    pub(crate) fn new(
        node: NodeId,
        rack: &str,
        free: Resources,
        mut victims: Vec<Victim>,
        wanted: Resources,
        limit: u32,
    ) -> Option<PreemptionOffer> {
        victims.sort_by_key(|victim| (victim.loss_core_ms, Reverse(victim.resources.gpu)));
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

    /// Returns the work that stopping all victims wastes, in core-milliseconds.
    pub(crate) fn loss_core_ms(&self) -> u64 {
        self.victims.iter().map(|victim| victim.loss_core_ms).sum()
    }

    /// Returns the victims to stop so that `slots` tasks that need `wanted` each fit: as many of the first ones as are
    /// needed.
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

/// Returns the offers for all `tasks` of a gang. If the gang is rack-local, these are the offers of the one rack with
/// the smallest loss that has enough slots. Returns no offers if there are too few slots.
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
    let loss = |offers: &Vec<PreemptionOffer>| {
        offers
            .iter()
            .map(PreemptionOffer::loss_core_ms)
            .sum::<u64>()
    };
    racks
        .into_values()
        .filter(|offers| slots(offers) >= tasks)
        .min_by_key(loss)
        .unwrap_or_default()
}
