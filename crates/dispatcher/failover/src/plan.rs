//! The operators' plan for the loss of sites, and its forecast: where load moves for each site and each pair of sites
//! that is lost, which share of each category is rejected at which load, and how long the failback takes.

use crate::load_shedding::{admitted_fractions, CategoryDemand};

/// A site as the plan describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedSite {
    /// Name of the site, which is the name of its zone.
    pub name: String,
    /// Slots of all its runners.
    pub capacity: f64,
    /// Share of its capacity that is kept free, from 0 to below 1; `None` for the plan's headroom.
    pub headroom: Option<f64>,
    /// Names of the sites that take its load first if it is lost. If empty, its load goes to all other sites in
    /// proportion to their free capacity.
    pub failover_targets: Vec<String>,
}

/// Failover plan. An empty plan is valid.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverPlan {
    /// All sites, or none if the plan says nothing about them.
    pub sites: Vec<PlannedSite>,
    /// Share of the remaining capacity that is kept free, from 0 to below 1.
    pub headroom: f64,
    /// Share of each category that is admitted even during load shedding, from 0 to below 1.
    pub floor: f64,
    /// Categories that are rejected first, in this order. The others follow by their payoff for the capacity they use.
    pub shed_order: Vec<String>,
    /// Shortest time in seconds between two steps of a site's failback.
    pub failback_step_s: f64,
    /// Load in the busy hour, for the forecast of `what-if`: each category's name, the slots that it occupies, and its
    /// payoff.
    pub load: Vec<(String, f64, f64)>,
}

impl Default for FailoverPlan {
    /// The defaults have these reasons:
    ///
    /// - `headroom`: categories are thinned out by chance, so arrivals vary; without a tenth of spare capacity they
    ///   would queue up.
    /// - `floor`: a twentieth shows that a category is still served, and is little compared with what is rejected.
    /// - `step_s`: two seconds cover the first interval of a cold runner's slow start and one more.
    fn default() -> Self {
        FailoverPlan {
            sites: Vec::new(),
            headroom: 0.1,
            floor: 0.05,
            shed_order: Vec::new(),
            failback_step_s: 2.0,
            load: Vec::new(),
        }
    }
}

/// Result of a check of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanFinding {
    /// Whether the plan is invalid. If not, the finding is a warning.
    pub is_error: bool,
    /// Key of the setting that the finding is about.
    pub key: String,
    /// Message for the operator.
    pub message: String,
}

/// Forecast of the loss of some sites at one load.
#[derive(Clone, Debug, PartialEq)]
pub struct LossForecast {
    /// Names of the lost sites.
    pub lost: Vec<String>,
    /// Load as a multiple of the busy hour's load.
    pub load: f64,
    /// Demand divided by the remaining capacity after headroom; infinite if none remains.
    pub demand_ratio: f64,
    /// Additional load of each remaining site, in slots.
    pub moved_slots: Vec<(String, f64)>,
    /// Share of each category that is admitted, from 0 to 1.
    pub admitted_fractions: Vec<(String, f64)>,
    /// Time in seconds from the first success at a recovered site until all of it is in use again.
    pub failback_s: f64,
}

impl FailoverPlan {
    /// Checks the plan against the zones and the categories of the settings. Returns errors and warnings.
    pub fn check(&self, zones: &[String], categories: &[String]) -> Vec<PlanFinding> {
        let mut findings = Vec::new();
        let mut add_finding = |is_error: bool, key: String, message: String| {
            findings.push(PlanFinding {
                is_error,
                key,
                message,
            })
        };
        let is_planned = |name: &String| self.sites.iter().any(|site| site.name == *name);
        for (n, site) in self.sites.iter().enumerate() {
            let key_of = |leaf: &str| format!("plan.sites.{n}.{leaf}");
            if !zones.contains(&site.name) {
                add_finding(
                    true,
                    key_of("name"),
                    format!("'{}' is not in zones", site.name),
                );
            }
            if self.sites[..n].iter().any(|other| other.name == site.name) {
                add_finding(
                    true,
                    key_of("name"),
                    format!("'{}' stands twice", site.name),
                );
            }
            if site.capacity <= 0.0 {
                add_finding(
                    true,
                    key_of("capacity"),
                    format!("{} slots are no capacity", site.capacity),
                );
            }
            for target in &site.failover_targets {
                if !is_planned(target) {
                    add_finding(
                        true,
                        key_of("refuge"),
                        format!("'{target}' is not a site of the plan"),
                    );
                } else if *target == site.name {
                    add_finding(true, key_of("refuge"), "it is its own refuge".to_string());
                }
            }
            if site.failover_targets.len() == 1 && self.sites.len() > 2 {
                let message = format!(
                    "all of its load goes to '{}', which may follow it",
                    site.failover_targets[0]
                );
                add_finding(false, key_of("refuge"), message);
            }
        }
        if !self.sites.is_empty() {
            for zone in zones
                .iter()
                .filter(|zone| !self.sites.iter().any(|site| site.name == **zone))
            {
                add_finding(
                    true,
                    "plan.sites".to_string(),
                    format!("'{zone}' is in zones and not in the plan"),
                );
            }
        }
        if let Some(cycle) = self.cycle() {
            add_finding(
                true,
                "plan.sites".to_string(),
                format!("refuges go round: {}", cycle.join(" to ")),
            );
        }
        for (key, share) in [("plan.headroom", self.headroom), ("plan.floor", self.floor)] {
            if !(0.0..1.0).contains(&share) {
                add_finding(true, key.to_string(), format!("{share} is not from 0 to 1"));
            }
        }
        for (n, name) in self.shed_order.iter().enumerate() {
            if !categories.contains(name) {
                add_finding(
                    true,
                    "plan.order".to_string(),
                    format!("'{name}' is not a category"),
                );
            }
            if self.shed_order[..n].contains(name) {
                add_finding(
                    true,
                    "plan.order".to_string(),
                    format!("'{name}' stands twice"),
                );
            }
        }
        for (name, slots, _) in &self.load {
            if !categories.contains(name) {
                add_finding(
                    true,
                    "plan.load".to_string(),
                    format!("'{name}' is not a category"),
                );
            }
            if *slots < 0.0 {
                add_finding(
                    true,
                    "plan.load".to_string(),
                    format!("'{name}' has a load below nothing"),
                );
            }
        }
        let (load, capacity) = (self.total_load(), self.capacity(&[]));
        if capacity > 0.0 && load > (1.0 - self.headroom) * capacity {
            let message = format!("{load:.0} slots of load are over what is left of {capacity:.0} after headroom, with no site lost");
            add_finding(false, "plan.load".to_string(), message);
        }
        findings
    }

    /// The names of sites that form a cycle, each with the next as its only failover target; `None` if there is no
    /// cycle.
    fn cycle(&self) -> Option<Vec<String>> {
        for start in &self.sites {
            let (mut path, mut current) = (vec![start.name.clone()], start);
            while let [next] = &current.failover_targets[..] {
                path.push(next.clone());
                if *next == start.name && path.len() > 2 {
                    return Some(path);
                }
                match self.sites.iter().find(|site| site.name == *next) {
                    Some(site) if path.len() <= self.sites.len() + 1 => current = site,
                    _ => break,
                }
            }
        }
        None
    }

    /// Slots that all categories together occupy in the busy hour.
    fn total_load(&self) -> f64 {
        self.load.iter().map(|(_, slots, _)| slots).sum()
    }

    /// Slots of all sites except those in `lost`.
    pub fn capacity(&self, lost: &[&str]) -> f64 {
        let remaining = self
            .sites
            .iter()
            .filter(|site| !lost.contains(&site.name.as_str()));
        remaining.map(|site| site.capacity).sum()
    }

    /// Slots of a site that may be in use, without its headroom.
    fn usable_slots(&self, site: &PlannedSite) -> f64 {
        site.capacity * (1.0 - site.headroom.unwrap_or(self.headroom))
    }

    /// Forecast of the loss of these sites at one load, which is a multiple of the busy hour's load.
    pub fn forecast(&self, lost: &[&str], load: f64) -> LossForecast {
        let remaining: Vec<&PlannedSite> = self
            .sites
            .iter()
            .filter(|site| !lost.contains(&site.name.as_str()))
            .collect();
        let total_capacity = self.capacity(&[]);
        let asked_slots = load * self.total_load();
        let usable_slots: f64 = remaining.iter().map(|site| self.usable_slots(site)).sum();
        let demand = |(name, slots, payoff): &(String, f64, f64)| CategoryDemand {
            slots: slots * load,
            payoff_per_slot_s: *payoff,
            shed_position: self.shed_order.iter().position(|first| first == name),
        };
        let demands: Vec<CategoryDemand> = self.load.iter().map(demand).collect();
        let shares = admitted_fractions(&demands, usable_slots, self.floor);
        let admitted_slots: f64 = demands
            .iter()
            .zip(&shares)
            .map(|(demand, share)| demand.slots * share)
            .sum();
        // Before the loss each site has load in proportion to its capacity. The load that moves fills the free
        // capacity of the remaining sites in proportion, the failover targets first.
        let slots_before = |site: &PlannedSite| {
            if total_capacity > 0.0 {
                asked_slots * site.capacity / total_capacity
            } else {
                0.0
            }
        };
        let mut slots_to_move = (admitted_slots
            - remaining
                .iter()
                .map(|site| slots_before(site).min(self.usable_slots(site)))
                .sum::<f64>())
        .max(0.0);
        let is_target = |site: &&PlannedSite| {
            self.sites.iter().any(|lost_site| {
                lost.contains(&lost_site.name.as_str())
                    && lost_site.failover_targets.contains(&site.name)
            })
        };
        let has_target = remaining.iter().any(is_target);
        let mut moved_slots: Vec<(String, f64)> = remaining
            .iter()
            .map(|site| (site.name.clone(), 0.0))
            .collect();
        for targets_only in [true, false] {
            let takes_load = |site: &&PlannedSite| !has_target || is_target(site) == targets_only;
            let free_slots = |n: usize| {
                (self.usable_slots(remaining[n]) - slots_before(remaining[n]) - moved_slots[n].1)
                    .max(0.0)
            };
            let free: Vec<f64> = (0..remaining.len())
                .map(|n| {
                    if takes_load(&remaining[n]) {
                        free_slots(n)
                    } else {
                        0.0
                    }
                })
                .collect();
            let total_free: f64 = free.iter().sum();
            let share = if total_free > 0.0 {
                (slots_to_move / total_free).min(1.0)
            } else {
                0.0
            };
            moved_slots
                .iter_mut()
                .zip(&free)
                .for_each(|((_, slots), free)| *slots += share * free);
            slots_to_move -= share * total_free;
        }
        LossForecast {
            lost: lost.iter().map(ToString::to_string).collect(),
            load,
            demand_ratio: if usable_slots > 0.0 {
                asked_slots / usable_slots
            } else {
                f64::INFINITY
            },
            moved_slots,
            admitted_fractions: self
                .load
                .iter()
                .map(|(name, ..)| name.clone())
                .zip(shares)
                .collect(),
            // Three steps lead from an eighth over a quarter and a half to all.
            failback_s: 3.0 * self.failback_step_s,
        }
    }

    /// Forecasts of the loss of each site and of each pair of sites, each at 0.6, 1.0 and 1.5 times the busy hour's
    /// load. Losses that leave no site are omitted.
    pub fn forecast_all(&self) -> Vec<LossForecast> {
        let names: Vec<&str> = self.sites.iter().map(|site| site.name.as_str()).collect();
        let mut lost: Vec<Vec<&str>> = names.iter().map(|name| vec![*name]).collect();
        for (n, first) in names.iter().enumerate() {
            lost.extend(names[n + 1..].iter().map(|second| vec![*first, *second]));
        }
        lost.retain(|lost| lost.len() < names.len());
        let forecasts = |lost: &Vec<&str>| [0.6, 1.0, 1.5].map(|load| self.forecast(lost, load));
        lost.iter().flat_map(forecasts).collect()
    }
}
