//! What operators say before the day, and what it comes to: for each site lost, and each two, where load goes, what is
//! refused at which load, when all is back.

use crate::refuse::{admitted, Demand};

#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    pub name: String,
    /// Slots of its runners.
    pub capacity: f64,
    /// The part kept free, where it says one.
    pub headroom: Option<f64>,
    /// Where its load goes first; all others by what they have to spare where it names none.
    pub refuge: Vec<String>,
}

/// A plan; an empty one works.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub sites: Vec<Site>,
    /// The part of what remains that is kept free.
    pub headroom: f64,
    /// The part of each category that is let in, whatever is refused.
    pub floor: f64,
    /// Categories that are refused first, in this order; the others by payoff for the capacity they cost.
    pub order: Vec<String>,
    /// A returning site's portion grows no faster than this.
    pub step_s: f64,
    /// Load by category, in slots at a busy hour, for `what-if`.
    pub load: Vec<(String, f64, f64)>,
}

impl Default for Plan {
    /// A tenth free: what is refused by chance must not become a queue. A twentieth of each: enough to show that it
    /// is served, little beside what is refused. Two seconds: a cold runner's first span and one more.
    fn default() -> Self {
        Plan {
            sites: Vec::new(),
            headroom: 0.1,
            floor: 0.05,
            order: Vec::new(),
            step_s: 2.0,
            load: Vec::new(),
        }
    }
}

/// Something about a plan: wrong, or only unwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub wrong: bool,
    pub place: String,
    pub why: String,
}

/// What the loss of some sites comes to at one load.
#[derive(Clone, Debug, PartialEq)]
pub struct Loss {
    pub lost: Vec<String>,
    pub load: f64,
    /// What of the capacity that remains is asked for.
    pub of_rest: f64,
    /// Slots more, by site that remains.
    pub moved: Vec<(String, f64)>,
    /// The part of each category that is let in.
    pub admitted: Vec<(String, f64)>,
    /// So long after the first served there, all of it is in use again.
    pub back_s: f64,
}

impl Plan {
    /// All that is wrong or unwise, against the list's zones and the categories.
    pub fn check(&self, zones: &[String], categories: &[String]) -> Vec<Finding> {
        let mut found = Vec::new();
        let mut say =
            |wrong: bool, place: String, why: String| found.push(Finding { wrong, place, why });
        let known = |name: &String| self.sites.iter().any(|site| site.name == *name);
        for (n, site) in self.sites.iter().enumerate() {
            let at = |leaf: &str| format!("plan.sites.{n}.{leaf}");
            if !zones.contains(&site.name) {
                say(true, at("name"), format!("'{}' is not in zones", site.name));
            }
            if self.sites[..n].iter().any(|other| other.name == site.name) {
                say(true, at("name"), format!("'{}' stands twice", site.name));
            }
            if site.capacity <= 0.0 {
                say(
                    true,
                    at("capacity"),
                    format!("{} slots are no capacity", site.capacity),
                );
            }
            for refuge in &site.refuge {
                if !known(refuge) {
                    say(
                        true,
                        at("refuge"),
                        format!("'{refuge}' is not a site of the plan"),
                    );
                } else if *refuge == site.name {
                    say(true, at("refuge"), "it is its own refuge".to_string());
                }
            }
            if site.refuge.len() == 1 && self.sites.len() > 2 {
                let why = format!(
                    "all of its load goes to '{}', which may follow it",
                    site.refuge[0]
                );
                say(false, at("refuge"), why);
            }
        }
        if !self.sites.is_empty() {
            for zone in zones
                .iter()
                .filter(|zone| !self.sites.iter().any(|site| site.name == **zone))
            {
                say(
                    true,
                    "plan.sites".to_string(),
                    format!("'{zone}' is in zones and not in the plan"),
                );
            }
        }
        if let Some(cycle) = self.cycle() {
            say(
                true,
                "plan.sites".to_string(),
                format!("refuges go round: {}", cycle.join(" to ")),
            );
        }
        for (place, part) in [("plan.headroom", self.headroom), ("plan.floor", self.floor)] {
            if !(0.0..1.0).contains(&part) {
                say(
                    true,
                    place.to_string(),
                    format!("{part} is not from 0 to 1"),
                );
            }
        }
        for (n, name) in self.order.iter().enumerate() {
            if !categories.contains(name) {
                say(
                    true,
                    "plan.order".to_string(),
                    format!("'{name}' is not a category"),
                );
            }
            if self.order[..n].contains(name) {
                say(
                    true,
                    "plan.order".to_string(),
                    format!("'{name}' stands twice"),
                );
            }
        }
        for (name, slots, _) in &self.load {
            if !categories.contains(name) {
                say(
                    true,
                    "plan.load".to_string(),
                    format!("'{name}' is not a category"),
                );
            }
            if *slots < 0.0 {
                say(
                    true,
                    "plan.load".to_string(),
                    format!("'{name}' has a load below nothing"),
                );
            }
        }
        let (load, capacity) = (self.all_load(), self.capacity(&[]));
        if capacity > 0.0 && load > (1.0 - self.headroom) * capacity {
            let why = format!("{load:.0} slots of load are over what is left of {capacity:.0} after headroom, with no site lost");
            say(false, "plan.load".to_string(), why);
        }
        found
    }

    /// Sites that name each other as only refuge, round and round.
    fn cycle(&self) -> Option<Vec<String>> {
        for start in &self.sites {
            let (mut path, mut at) = (vec![start.name.clone()], start);
            while let [next] = &at.refuge[..] {
                path.push(next.clone());
                if *next == start.name && path.len() > 2 {
                    return Some(path);
                }
                match self.sites.iter().find(|site| site.name == *next) {
                    Some(site) if path.len() <= self.sites.len() + 1 => at = site,
                    _ => break,
                }
            }
        }
        None
    }

    fn all_load(&self) -> f64 {
        self.load.iter().map(|(_, slots, _)| slots).sum()
    }

    /// Slots of all sites but those lost.
    pub fn capacity(&self, lost: &[&str]) -> f64 {
        let left = self
            .sites
            .iter()
            .filter(|site| !lost.contains(&site.name.as_str()));
        left.map(|site| site.capacity).sum()
    }

    /// What the rest may be asked for.
    fn bears(&self, site: &Site) -> f64 {
        site.capacity * (1.0 - site.headroom.unwrap_or(self.headroom))
    }

    /// One loss at one load, as a part of what the busy hour has.
    pub fn loss(&self, lost: &[&str], load: f64) -> Loss {
        let rest: Vec<&Site> = self
            .sites
            .iter()
            .filter(|site| !lost.contains(&site.name.as_str()))
            .collect();
        let all = self.capacity(&[]);
        let asked = load * self.all_load();
        let bears: f64 = rest.iter().map(|site| self.bears(site)).sum();
        let demand = |(name, slots, worth): &(String, f64, f64)| Demand {
            slots: slots * load,
            worth: *worth,
            order: self.order.iter().position(|first| first == name),
        };
        let demands: Vec<Demand> = self.load.iter().map(demand).collect();
        let parts = admitted(&demands, bears, self.floor);
        let admitted_slots: f64 = demands
            .iter()
            .zip(&parts)
            .map(|(d, part)| d.slots * part)
            .sum();
        // Each site had load by its capacity; what moves fills what the others have to spare, in proportion, the
        // refuges first.
        let had = |site: &Site| {
            if all > 0.0 {
                asked * site.capacity / all
            } else {
                0.0
            }
        };
        let mut moves = (admitted_slots
            - rest
                .iter()
                .map(|site| had(site).min(self.bears(site)))
                .sum::<f64>())
        .max(0.0);
        let refuge = |site: &&Site| {
            self.sites
                .iter()
                .any(|l| lost.contains(&l.name.as_str()) && l.refuge.contains(&site.name))
        };
        let named = rest.iter().any(refuge);
        let mut moved: Vec<(String, f64)> =
            rest.iter().map(|site| (site.name.clone(), 0.0)).collect();
        for first in [true, false] {
            let takes = |site: &&Site| !named || refuge(site) == first;
            let spare = |n: usize| (self.bears(rest[n]) - had(rest[n]) - moved[n].1).max(0.0);
            let spares: Vec<f64> = (0..rest.len())
                .map(|n| if takes(&rest[n]) { spare(n) } else { 0.0 })
                .collect();
            let all: f64 = spares.iter().sum();
            let part = if all > 0.0 {
                (moves / all).min(1.0)
            } else {
                0.0
            };
            moved
                .iter_mut()
                .zip(&spares)
                .for_each(|((_, slots), spare)| *slots += part * spare);
            moves -= part * all;
        }
        Loss {
            lost: lost.iter().map(ToString::to_string).collect(),
            load,
            of_rest: if bears > 0.0 {
                asked / bears
            } else {
                f64::INFINITY
            },
            moved,
            admitted: self
                .load
                .iter()
                .map(|(name, ..)| name.clone())
                .zip(parts)
                .collect(),
            // An eighth, a quarter, a half, all.
            back_s: 3.0 * self.step_s,
        }
    }

    /// Each site and each two, at three loads of the busy hour.
    pub fn losses(&self) -> Vec<Loss> {
        let names: Vec<&str> = self.sites.iter().map(|site| site.name.as_str()).collect();
        let mut lost: Vec<Vec<&str>> = names.iter().map(|name| vec![*name]).collect();
        for (n, a) in names.iter().enumerate() {
            lost.extend(names[n + 1..].iter().map(|b| vec![*a, *b]));
        }
        lost.retain(|lost| lost.len() < names.len());
        let at = |lost: &Vec<&str>| [0.6, 1.0, 1.5].map(|load| self.loss(lost, load));
        lost.iter().flat_map(at).collect()
    }
}
