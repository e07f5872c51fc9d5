//! The format of scenario files (TOML). Times are written as text with a unit, such as "250ms".
//!
//! The names and the order of types, fields and variants that are part of `Scenario` must not change: the report
//! stores a hash of the debug text of the scenario.

use crate::names::{Participants, MOST_DISPATCHERS, MOST_RUNNERS};
use crate::schedule::{schedule, FAULT_KINDS};
use sagetrail_settings::{nearest, parse_seconds};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// The reason why a scenario cannot be run.
#[derive(Debug)]
pub struct Bad(pub String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A duration in seconds. A scenario file states it as text with a unit.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Time(pub f64);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let invalid =
            |_| serde::de::Error::custom(format!("'{text}' is not a duration such as \"250ms\""));
        parse_seconds(&text).map(Time).ok_or(()).map_err(invalid)
    }
}

/// When a fault begins: at a stated time, or at a time that the seed draws between two others.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum When {
    At(Time),
    Between([Time; 2]),
}

/// A category of requests, with the terms under which the dispatchers hand them off.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    /// The name consists of letters, digits, `-` and `_`.
    pub name: String,
    /// Whether the work may run more than once: `rerunnable`, `ticketed` or `exclusive`.
    #[serde(default = "default_repeat")]
    pub repeat: String,
    /// The runners among which ticketed work may run again: `all`, `zone` or `cell`.
    #[serde(default = "default_group")]
    pub group: String,
    /// How long after an earlier hand-off ticketed work may be handed off again.
    #[serde(default = "default_window")]
    pub window: Time,
    /// An answer within this time of the first try earns the full payoff.
    #[serde(default = "default_due")]
    pub due: Time,
    /// An answer after this time, counted from the first try, earns nothing.
    #[serde(default = "default_expiry")]
    pub expiry: Time,
    /// The payoff of an answer in time.
    #[serde(default = "default_payoff")]
    pub payoff: f64,
    /// The share of the payoff that an answer between `due` and `expiry` earns.
    #[serde(default = "default_tardy")]
    pub tardy: f64,
    /// Requests per second of all clients together.
    pub rate: f64,
    /// The mean time of a work item on one slot of a warm runner. Work items take between 0.5 and 1.5 times this.
    #[serde(default = "default_work")]
    pub work: Time,
    /// The number of different keys; 0 means that requests have no key.
    #[serde(default)]
    pub keys: u32,
    /// How many other dispatchers must have recorded a hand-off before its first byte is sent. Needs a store.
    #[serde(default)]
    pub record: u32,
    /// What a dispatcher does with work that it cannot have recorded, as in the program's own configuration.
    #[serde(default = "default_unrecorded")]
    pub unrecorded: String,
}

/// The simulated runners.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Runners {
    /// The number of runners.
    pub count: usize,
    /// How many work items a runner executes at once.
    pub slots: usize,
    /// How many work items may wait at a runner. It declines further ones.
    pub queue: usize,
    /// Whether runners are cold when the run begins.
    pub cold: bool,
    /// The extra time that a work item takes at a runner that does not hold its key.
    pub fetch: Time,
    /// How many keys a runner holds.
    pub keys: usize,
    /// The interval at which a runner reports progress; 0 for no reports.
    pub progress: Time,
}

impl Default for Runners {
    fn default() -> Self {
        Runners {
            count: 6,
            slots: 4,
            queue: 8,
            cold: false,
            fetch: Time(0.0),
            keys: 20,
            progress: Time(0.0),
        }
    }
}

/// How fast a cold runner warms up, and how much work all dispatchers together may send to it until then.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// The share of its warm capacity that a runner has when it starts.
    pub from: f64,
    /// The time from the start of a runner until it is warm.
    pub time: Time,
    /// The limit on the work sent within a span, as a multiple of the present capacity.
    pub multiple: f64,
    /// The length of the span over which the limit holds.
    pub span: Time,
}

impl Default for Cold {
    fn default() -> Self {
        Cold {
            from: 0.2,
            time: Time(20.0),
            multiple: 3.0,
            span: Time(1.0),
        }
    }
}

/// The simulated clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client tries a request at most. It repeats a refused request after the advised time, or after 0.5
    /// s if no time was advised.
    pub tries: u32,
    /// The share of the load that the dispatchers of each site get. Without entries, the load is spread evenly.
    pub shares: BTreeMap<String, f64>,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            tries: 1,
            shares: BTreeMap::new(),
        }
    }
}

/// The `fleet` section of the dispatchers' configuration.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Whether dispatchers share limits and state with each other.
    pub sharing: bool,
    /// The value of `fleet.probe`, as text; the program's default if absent.
    pub probe: Option<String>,
    /// The length of a lease on a part of a shared limit.
    pub lease: Time,
    /// The value of `fleet.owners`.
    pub owners: usize,
    /// The largest number of work items at runners at once, by category.
    pub caps: BTreeMap<String, u64>,
    /// The largest number of repeated hand-offs per second, for all dispatchers together.
    pub resends: Option<u64>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            sharing: true,
            probe: None,
            lease: Time(3.0),
            owners: 3,
            caps: BTreeMap::new(),
            resends: None,
        }
    }
}

/// The store for state that outlives a dispatcher. Dispatchers run without it if a scenario has no such section.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// How many dispatchers vote, counted from the first. It is 1, 3 or 5.
    pub voters: usize,
    /// The time within which an agreed setting holds at every dispatcher with intact links.
    pub within: Time,
    /// The value of `store.marks`; the program's default if absent.
    pub marks: Option<Time>,
}

impl Default for Store {
    fn default() -> Self {
        Store {
            voters: 3,
            within: Time(2.0),
            marks: None,
        }
    }
}

/// The expectations of a scenario, checked in addition to the rules and bounds.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// The least share of the payoff of all requests that must be earned.
    pub goodput: Option<f64>,
    /// The time after the end of the last fault within which the earned share of the payoff must be back at 0.95 of
    /// its value before the first fault.
    pub back_within: Option<Time>,
    /// The least share of its limit that some cold runner must have been sent within a span.
    pub cold_use: Option<f64>,
    /// The largest allowed number of failed hand-offs.
    pub failed_hand_offs: Option<u64>,
}

/// A fault to inject. `FAULT_KINDS` in `schedule.rs` says which kinds there are and which of the fields each uses.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, counted from the start of the run.
    pub at: When,
    /// How long the fault lasts. Without it, the fault lasts to the end of the run; some kinds have no duration.
    #[serde(rename = "for")]
    pub lasts: Option<Time>,
    /// The kind of the fault.
    pub what: String,
    /// A selector of the links or nodes that the fault affects.
    pub on: String,
    /// Whether the fault affects only one of the selected links or nodes, drawn by the seed.
    #[serde(default)]
    pub one: bool,
    /// The interval at which the fault is repeated.
    pub every: Option<Time>,
    /// How often the fault occurs in all if `every` is given. Without it, it is repeated to the end of the run.
    pub times: Option<u32>,
    /// A probability or share from 0 to 1.
    pub p: Option<f64>,
    /// A delay of transmissions on a link, or of the disk.
    pub delay: Option<Time>,
    /// How far a delay varies in either direction.
    pub jitter: Option<Time>,
    /// A rate in bytes per second.
    pub rate: Option<f64>,
    /// A factor, an offset in seconds or a size in bytes, depending on the kind.
    pub by: Option<f64>,
    /// A text whose meaning depends on the kind, such as the state of the disk or the category.
    pub with: Option<String>,
    /// Configuration keys and values for `reload` and `propose`.
    pub set: Option<BTreeMap<String, toml::Value>>,
}

/// A scenario: the participants, the load, the faults and the expectations of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(default)]
    pub title: String,
    /// The seed of all random draws.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// The number of dispatcher processes.
    #[serde(default = "default_processes")]
    pub processes: usize,
    /// The names of the sites. Dispatchers and runners are assigned to them in turn.
    #[serde(default = "default_sites")]
    pub sites: Vec<String>,
    /// How long clients send requests.
    #[serde(default = "default_length")]
    pub length: Time,
    #[serde(default)]
    pub runners: Runners,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default = "default_categories")]
    pub categories: Vec<Category>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub fleet: Fleet,
    pub store: Option<Store>,
    /// Further keys of the program's own configuration, set at all dispatchers.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
    #[serde(default)]
    pub expect: Expect,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn default_repeat() -> String {
    "exclusive".to_string()
}
fn default_group() -> String {
    "all".to_string()
}
fn default_window() -> Time {
    Time(5.0)
}
fn default_due() -> Time {
    Time(0.8)
}
fn default_expiry() -> Time {
    Time(2.5)
}
fn default_unrecorded() -> String {
    "refuse".to_string()
}
fn default_payoff() -> f64 {
    1.0
}
fn default_tardy() -> f64 {
    0.2
}
fn default_work() -> Time {
    Time(0.06)
}
fn default_seed() -> u64 {
    1
}
fn default_processes() -> usize {
    3
}
fn default_sites() -> Vec<String> {
    ["a", "b", "c"].map(str::to_string).to_vec()
}
fn default_length() -> Time {
    Time(6.0)
}

fn default_categories() -> Vec<Category> {
    let category = |name: &str, repeat: &str, rate: f64, payoff: f64| Category {
        name: name.to_string(),
        repeat: repeat.to_string(),
        group: default_group(),
        window: default_window(),
        due: default_due(),
        expiry: default_expiry(),
        payoff,
        tardy: default_tardy(),
        rate,
        work: default_work(),
        keys: 0,
        record: 0,
        unrecorded: default_unrecorded(),
    };
    vec![
        category("rerun", "rerunnable", 60.0, 1.0),
        category("ticket", "ticketed", 20.0, 2.0),
        category("once", "exclusive", 20.0, 4.0),
    ]
}

impl Scenario {
    /// The number of voters: at most the number of processes, and odd. It is 0 without a store.
    pub fn voters(&self) -> usize {
        let most = self
            .store
            .as_ref()
            .map_or(0, |store| store.voters)
            .min(self.processes);
        most - usize::from(most.is_multiple_of(2) && most > 0)
    }

    pub fn participants(&self) -> Participants {
        Participants {
            sites: self.sites.clone(),
            dispatchers: self.processes,
            runners: self.runners.count,
        }
    }

    pub fn read(path: &Path) -> Result<Scenario, Bad> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Bad(format!("{}: {error}", path.display())))?;
        Scenario::parse(&text).map_err(|Bad(why)| Bad(format!("{}: {why}", path.display())))
    }

    pub fn parse(text: &str) -> Result<Scenario, Bad> {
        if text.len() > 1 << 20 {
            return Err(Bad(format!(
                "the scenario is {} bytes long; at most 1 MiB is allowed",
                text.len()
            )));
        }
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error
                .span()
                .map_or(1, |span| 1 + text[..span.start].matches('\n').count());
            Bad(format!(
                "line {line}: {}",
                error.message().replace('\n', " ")
            ))
        })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks that the scenario can be run. Must be called again after a change of `processes`.
    pub fn check(&self) -> Result<(), Bad> {
        let bad = |why: String| Err(Bad(why));
        if !(2..=MOST_DISPATCHERS).contains(&self.processes) {
            return bad(format!(
                "processes: {} is not from 2 to {MOST_DISPATCHERS}",
                self.processes
            ));
        }
        if !(1..=MOST_RUNNERS).contains(&self.runners.count) {
            return bad(format!(
                "runners.count: {} is not from 1 to {MOST_RUNNERS}",
                self.runners.count
            ));
        }
        if self.runners.slots == 0 {
            return bad(
                "runners.slots: 0 is not allowed; a runner needs at least one slot".to_string(),
            );
        }
        if self.sites.is_empty() {
            return bad("sites: at least one site is needed".to_string());
        }
        if !(0.5..=3600.0).contains(&self.length.0) {
            return bad(format!(
                "length: {} s is not from 0.5 s to 1 h",
                self.length.0
            ));
        }
        if self.categories.is_empty() {
            return bad("categories: at least one category is needed".to_string());
        }
        for category in &self.categories {
            let at = |problem: &str| format!("category '{}': {problem}", category.name);
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if category.name.is_empty() || !category.name.chars().all(plain) {
                return bad(at(
                    "the name may only contain letters, digits, - and _, and must not be empty",
                ));
            }
            let check_word = |given: &str, known: [&str; 3], key: &str| match known.contains(&given)
            {
                true => Ok(()),
                false => Err(Bad(at(&format!(
                    "{key} '{given}' is none of {}",
                    known.join(", ")
                )))),
            };
            check_word(
                &category.repeat,
                ["rerunnable", "ticketed", "exclusive"],
                "repeat",
            )?;
            check_word(&category.group, ["all", "zone", "cell"], "group")?;
            if !(0.0..=10_000.0).contains(&category.rate) {
                return bad(at("the rate is not from 0 to 10000 requests per second"));
            }
            if !(0.001..=600.0).contains(&category.work.0) || category.due.0 > category.expiry.0 {
                return bad(at(
                    "work is not from 1 ms to 10 min, or due is after expiry",
                ));
            }
            if self
                .categories
                .iter()
                .filter(|other| other.name == category.name)
                .count()
                > 1
            {
                return bad(at("the name is used more than once"));
            }
        }
        if let Some(store) = &self.store {
            if !matches!(store.voters, 1 | 3 | 5) {
                return bad(format!("store.voters: {} is not 1, 3 or 5", store.voters));
            }
        }
        for category in self
            .categories
            .iter()
            .filter(|category| category.record > 0)
        {
            if self.store.is_none() || category.repeat == "rerunnable" || category.record > 2 {
                return bad(format!(
                    "category '{}': record is 1 or 2, for ticketed or exclusive work, with a [store]",
                    category.name
                ));
            }
        }
        for name in self.fleet.caps.keys() {
            if !self
                .categories
                .iter()
                .any(|category| category.name == *name)
            {
                return bad(format!("fleet.caps: '{name}' is not a category"));
            }
        }
        for name in self.clients.shares.keys() {
            if !self.sites.contains(name) {
                return bad(format!("clients.shares: '{name}' is no site"));
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            if !FAULT_KINDS.iter().any(|(name, ..)| *name == fault.what) {
                let hint = nearest(&fault.what, FAULT_KINDS.iter().map(|(name, ..)| *name));
                let hint = hint.map_or(String::new(), |hint| format!("; did you mean '{hint}'?"));
                return bad(format!(
                    "fault {}: '{}' is not a fault{hint}",
                    n + 1,
                    fault.what
                ));
            }
            if fault.p.is_some_and(|p| !(0.0..=1.0).contains(&p)) {
                return bad(format!("fault {}: p is not from 0 to 1", n + 1));
            }
        }
        schedule(self, self.seed).map(drop)
    }
}
