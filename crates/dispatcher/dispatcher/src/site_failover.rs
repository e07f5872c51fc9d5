//! Failover between sites: passes observations of runners to the failure detector, and its results to the policy. In a
//! fleet with a plan it also limits the admission of work items.

use crate::fleet::Fleet;
use crate::trial::Broken;
use sagetrail_dispatch::{name_hash, Load, Observation};
use sagetrail_failover::{
    admitted_fractions, CategoryDemand, FailbackStage, FailoverPlan, SiteFailureDetector,
    SiteHealth,
};
use sagetrail_policy::Dispatcher;
use std::rc::Rc;

/// Interval in seconds at which the sites are evaluated: several times within the time-out of an attempt.
const EVALUATION_INTERVAL_S: f64 = 0.1;
/// Window in seconds over which the arrival rate is measured.
const RATE_WINDOW_S: f64 = 2.0;

/// State of the failover. Times are in seconds on the process clock.
pub(crate) struct SiteFailover {
    detector: SiteFailureDetector,
    plan: FailoverPlan,
    /// Names of the sites, by their number.
    zones: Vec<String>,
    categories: Vec<String>,
    fleet: Option<Rc<Fleet>>,
    /// Hash of the name of each runner, by its index.
    runner_ids: Vec<u64>,
    /// When the sites are evaluated next.
    next_evaluation_s: f64,
    /// Runners that the policy does not use now.
    excluded: Vec<usize>,
    /// Site of this dispatcher.
    own_site: u16,
    /// Another strategy after a loss, for comparison in tests.
    alternative: Option<Broken>,
    /// When arrivals were last counted, their numbers by category over all members, and their rates per second since
    /// the count before.
    arrivals: (f64, Vec<u64>, Vec<f64>),
}

impl SiteFailover {
    /// Creates the state without runners. `own_id` is the hash of the name of this dispatcher.
    pub(crate) fn new(
        (own_id, own_site): (u64, u16),
        plan: FailoverPlan,
        zones: Vec<String>,
        categories: Vec<String>,
        fleet: Option<Rc<Fleet>>,
        alternative: Option<Broken>,
    ) -> SiteFailover {
        let counts = vec![0; categories.len()];
        let rates = vec![0.0; categories.len()];
        SiteFailover {
            detector: SiteFailureDetector::new(own_id, plan.failback_step_s),
            plan,
            zones,
            categories,
            fleet,
            runner_ids: Vec::new(),
            next_evaluation_s: 0.0,
            excluded: Vec::new(),
            own_site,
            alternative,
            arrivals: (0.0, counts, rates),
        }
    }

    /// Sets the plan that is in force.
    pub(crate) fn set_plan(&mut self, plan: FailoverPlan) {
        self.plan = plan;
    }

    /// Records an observation of the runner with index `runner`.
    pub(crate) fn record_observation(&mut self, now: f64, runner: usize, observation: Observation) {
        self.detector
            .record_result(now, runner, observation != Observation::NoResponse);
        // After a missing response the sites are evaluated at once: further attempts would be lost to the same cause.
        if observation == Observation::NoResponse {
            self.next_evaluation_s = self.next_evaluation_s.min(now);
        }
    }

    fn site_name(&self, site: u16) -> &str {
        self.zones
            .get(usize::from(site))
            .map_or("a site without a name", String::as_str)
    }

    /// Evaluates the sites, if it is time, and passes the result to the policy.
    pub(crate) fn apply_shared_state(
        &mut self,
        now: f64,
        dispatcher: &mut Dispatcher,
        load: &Load,
    ) {
        if now < self.next_evaluation_s {
            return;
        }
        self.next_evaluation_s = now + EVALUATION_INTERVAL_S;
        let new_ids = load
            .endpoints
            .iter()
            .skip(self.runner_ids.len())
            .map(|endpoint| name_hash(&endpoint.name));
        self.runner_ids.extend(new_ids);
        for (index, (endpoint, id)) in load.endpoints.iter().zip(&self.runner_ids).enumerate() {
            self.detector
                .set_runner(index, *id, endpoint.zone.get(), endpoint.is_listed.get());
        }
        if let Some(fleet) = &self.fleet {
            fleet.for_each_peer_result(now, |at_s, index, succeeded| {
                self.detector.record_peer_result(at_s, index, succeeded)
            });
        }
        for (site, cause, stage) in self.detector.update(now) {
            let name = self.site_name(site);
            match (stage, cause) {
                (FailbackStage::Lost, SiteHealth::UnreachableFromHere) => {
                    tracing::warn!(
                        "site not reachable from here, other dispatchers reach it: site={name}"
                    );
                }
                (FailbackStage::Lost, _) => {
                    tracing::warn!("site lost, its work items go to other sites: site={name}")
                }
                (FailbackStage::Returning(percent), _) => {
                    tracing::info!("site is returning: site={name} runners={percent}%")
                }
                (FailbackStage::Complete, _) => {
                    tracing::info!("site is back in full use: site={name}")
                }
            }
        }
        let mut excluded = self.detector.excluded_runners();
        if self.alternative.is_some() {
            self.apply_alternative(load, &mut excluded);
        }
        if excluded != self.excluded {
            dispatcher.set_unreachable(now, &excluded);
            self.excluded = excluded;
        }
        self.limit_admission(now, dispatcher);
    }

    /// Other strategies, for comparison in tests: the dispatchers of a lost site send everything to the next site, or a
    /// returning site is in full use at once.
    fn apply_alternative(&self, load: &Load, excluded: &mut Vec<usize>) {
        let in_failover = self.detector.sites_in_failover();
        let lost = |site: u16| {
            in_failover
                .iter()
                .any(|(other, _, stage, _)| *other == site && *stage == FailbackStage::Lost)
        };
        let zone = |index: &usize| load.endpoints[*index].zone.get();
        match self.alternative {
            Some(Broken::AllToNearest) if lost(self.own_site) => {
                let count = self.zones.len() as u16;
                let nearest = (1..count)
                    .map(|n| (self.own_site + n) % count)
                    .find(|site| !lost(*site));
                let other =
                    |index: &usize| Some(zone(index)) != nearest && zone(index) != self.own_site;
                excluded.extend((0..load.endpoints.len()).filter(other));
                excluded.sort_unstable();
                excluded.dedup();
            }
            Some(Broken::NoPacing) => excluded.retain(|index| lost(zone(index))),
            _ => {}
        }
    }

    /// While a site is lost or returning, rejects work items that the remaining capacity cannot serve. This needs a
    /// plan with capacities and the arrival counts of all members.
    fn limit_admission(&mut self, now: f64, dispatcher: &mut Dispatcher) {
        let Some(fleet) = self.fleet.as_ref().filter(|_| !self.plan.sites.is_empty()) else {
            return;
        };
        if now >= self.arrivals.0 + RATE_WINDOW_S {
            let all: Vec<u64> = (0..self.categories.len())
                .map(|n| fleet.arrivals(now, n))
                .collect();
            let since = (now - self.arrivals.0).max(1e-3);
            let rates = all
                .iter()
                .zip(&self.arrivals.1)
                .map(|(new, old)| new.saturating_sub(*old) as f64 / since);
            self.arrivals = (now, all.clone(), rates.collect());
        }
        let in_failover = self.detector.sites_in_failover();
        if in_failover.is_empty() {
            return dispatcher.set_admission(&[]);
        }
        // A returning site counts with its portion. A site that is not reachable from here counts as lost.
        let usable_part = |name: &String| {
            let state = in_failover
                .iter()
                .find(|(site, ..)| self.site_name(*site) == name);
            state.map_or(1.0, |(_, _, stage, _)| match stage {
                FailbackStage::Lost => 0.0,
                FailbackStage::Returning(percent) => f64::from(*percent) / 100.0,
                FailbackStage::Complete => 1.0,
            })
        };
        let usable_capacity = |site: &sagetrail_failover::PlannedSite| {
            usable_part(&site.name)
                * site.capacity
                * (1.0 - site.headroom.unwrap_or(self.plan.headroom))
        };
        let capacity: f64 = self.plan.sites.iter().map(usable_capacity).sum();
        let demand = |(n, name): (usize, &String)| {
            let (usual_run_s, payoff) = dispatcher.usual_run_and_worth(n);
            let order = self.plan.shed_order.iter().position(|first| first == name);
            CategoryDemand {
                slots: self.arrivals.2[n] * usual_run_s,
                payoff_per_slot_s: payoff,
                shed_position: order,
            }
        };
        let demands: Vec<CategoryDemand> = self.categories.iter().enumerate().map(demand).collect();
        dispatcher.set_admission(&admitted_fractions(&demands, capacity, self.plan.floor));
    }
}
