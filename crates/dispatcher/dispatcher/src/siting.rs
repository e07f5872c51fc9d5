//! Between the exchange and the sites: what was seen of runners goes there, what is lost or on its way back to the
//! decisions, and in a fleet with a plan what is let in. No socket here.

use crate::fleet::Fleet;
use crate::trial::Broken;
use sagetrail_dispatch::{name_hash, Load, Observation};
use sagetrail_failover::{
    admitted_fractions, CategoryDemand, FailbackStage, FailoverPlan, SiteFailureDetector,
    SiteHealth,
};
use sagetrail_policy::Dispatcher;
use std::rc::Rc;

/// Sites are looked at this often: several times within an attempt's silence.
const LOOK_S: f64 = 0.1;
/// Arrivals are counted over this.
const RATE_S: f64 = 2.0;

pub(crate) struct Siting {
    sites: SiteFailureDetector,
    plan: FailoverPlan,
    zones: Vec<String>,
    categories: Vec<String>,
    fleet: Option<Rc<Fleet>>,
    /// A number for each runner's name, by its place.
    numbers: Vec<u64>,
    next: f64,
    away: Vec<usize>,
    /// This dispatcher's own site; and another way to go about a loss, to compare with.
    mine: u16,
    yardstick: Option<Broken>,
    /// Arrivals told by all by then, and the rate since the time before.
    counted: (f64, Vec<u64>, Vec<f64>),
}

impl Siting {
    pub(crate) fn new(
        (me, mine): (u64, u16),
        plan: FailoverPlan,
        zones: Vec<String>,
        categories: Vec<String>,
        fleet: Option<Rc<Fleet>>,
        yardstick: Option<Broken>,
    ) -> Siting {
        let none = vec![0; categories.len()];
        let rates = vec![0.0; categories.len()];
        Siting {
            sites: SiteFailureDetector::new(me, plan.failback_step_s),
            plan,
            zones,
            categories,
            fleet,
            numbers: Vec::new(),
            next: 0.0,
            away: Vec::new(),
            mine,
            yardstick,
            counted: (0.0, none, rates),
        }
    }

    /// Another plan is in force.
    pub(crate) fn set_plan(&mut self, plan: FailoverPlan) {
        self.plan = plan;
    }

    pub(crate) fn record_observation(&mut self, now: f64, runner: usize, what: Observation) {
        self.sites
            .record_result(now, runner, what != Observation::NoResponse);
        // A sign of silence is looked at soon: the next would be spent on the same loss.
        if what == Observation::NoResponse {
            self.next = self.next.min(now);
        }
    }

    fn name(&self, site: u16) -> &str {
        self.zones
            .get(usize::from(site))
            .map_or("a site without a name", String::as_str)
    }

    pub(crate) fn apply_shared_state(&mut self, now: f64, d: &mut Dispatcher, load: &Load) {
        if now < self.next {
            return;
        }
        self.next = now + LOOK_S;
        let fresh = load
            .endpoints
            .iter()
            .skip(self.numbers.len())
            .map(|endpoint| name_hash(&endpoint.name));
        self.numbers.extend(fresh);
        for (place, (endpoint, of)) in load.endpoints.iter().zip(&self.numbers).enumerate() {
            self.sites
                .set_runner(place, *of, endpoint.zone.get(), endpoint.is_listed.get());
        }
        if let Some(fleet) = &self.fleet {
            fleet.for_each_peer_result(now, |at, place, good| {
                self.sites.record_peer_result(at, place, good)
            });
        }
        for (site, cause, stage) in self.sites.update(now) {
            let name = self.name(site);
            match (stage, cause) {
                (FailbackStage::Lost, SiteHealth::UnreachableFromHere) => {
                    tracing::warn!("site {name} is cut off from here; others reach it");
                }
                (FailbackStage::Lost, _) => {
                    tracing::warn!("site {name} is lost: its work goes to the others")
                }
                (FailbackStage::Returning(part), _) => {
                    tracing::info!("site {name} comes back: {part}% of its runners")
                }
                (FailbackStage::Complete, _) => tracing::info!("site {name} is back"),
            }
        }
        let mut away = self.sites.excluded_runners();
        if self.yardstick.is_some() {
            self.go_otherwise(load, &mut away);
        }
        if away != self.away {
            d.set_unreachable(now, &away);
            self.away = away;
        }
        self.refuse(now, d);
    }

    /// Yardsticks, in trials only: a lost site's dispatchers send all to the next site; a returning site is in use
    /// at once.
    fn go_otherwise(&self, load: &Load, away: &mut Vec<usize>) {
        let troubled = self.sites.sites_in_failover();
        let lost = |site: u16| {
            troubled
                .iter()
                .any(|(s, _, stage, _)| *s == site && *stage == FailbackStage::Lost)
        };
        let zone = |place: &usize| load.endpoints[*place].zone.get();
        match self.yardstick {
            Some(Broken::AllToNearest) if lost(self.mine) => {
                let count = self.zones.len() as u16;
                let nearest = (1..count)
                    .map(|n| (self.mine + n) % count)
                    .find(|site| !lost(*site));
                let other =
                    |place: &usize| Some(zone(place)) != nearest && zone(place) != self.mine;
                away.extend((0..load.endpoints.len()).filter(other));
                away.sort_unstable();
                away.dedup();
            }
            Some(Broken::NoPacing) => away.retain(|place| lost(zone(place))),
            _ => {}
        }
    }

    /// While a site is lost or on its way back, what would not fit into the rest is turned away at the door; with a
    /// plan's capacities, and counts of all.
    fn refuse(&mut self, now: f64, d: &mut Dispatcher) {
        let Some(fleet) = self.fleet.as_ref().filter(|_| !self.plan.sites.is_empty()) else {
            return;
        };
        if now >= self.counted.0 + RATE_S {
            let all: Vec<u64> = (0..self.categories.len())
                .map(|n| fleet.arrivals(now, n))
                .collect();
            let since = (now - self.counted.0).max(1e-3);
            let rates = all
                .iter()
                .zip(&self.counted.1)
                .map(|(new, old)| new.saturating_sub(*old) as f64 / since);
            self.counted = (now, all.clone(), rates.collect());
        }
        let troubled = self.sites.sites_in_failover();
        if troubled.is_empty() {
            return d.set_admission(&[]);
        }
        // A returning site counts by its portion; what is cut off from here is none of ours for now.
        let part = |name: &String| {
            let state = troubled.iter().find(|(site, ..)| self.name(*site) == name);
            state.map_or(1.0, |(_, _, stage, _)| match stage {
                FailbackStage::Lost => 0.0,
                FailbackStage::Returning(part) => f64::from(*part) / 100.0,
                FailbackStage::Complete => 1.0,
            })
        };
        let bears = |site: &sagetrail_failover::PlannedSite| {
            part(&site.name) * site.capacity * (1.0 - site.headroom.unwrap_or(self.plan.headroom))
        };
        let capacity: f64 = self.plan.sites.iter().map(bears).sum();
        let demand = |(n, name): (usize, &String)| {
            let (usual_s, worth) = d.usual_run_and_worth(n);
            let order = self.plan.shed_order.iter().position(|first| first == name);
            CategoryDemand {
                slots: self.counted.2[n] * usual_s,
                payoff_per_slot_s: worth,
                shed_position: order,
            }
        };
        let demands: Vec<CategoryDemand> = self.categories.iter().enumerate().map(demand).collect();
        d.set_admission(&admitted_fractions(&demands, capacity, self.plan.floor));
    }
}
