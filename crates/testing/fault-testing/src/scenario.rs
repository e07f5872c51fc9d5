//! Scenarios, as they are written. Times are text with a unit.

use crate::names::{Cast, MOST_DISPATCHERS, MOST_RUNNERS};
use crate::schedule::{schedule, WHATS};
use sagetrail_settings::{nearest, parse_seconds};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Why a scenario cannot be played.
#[derive(Debug)]
pub struct Bad(pub String);

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A length of time in seconds, as text.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Time(pub f64);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let said = |_| {
            serde::de::Error::custom(format!("'{text}' is no length of time, such as \"250ms\""))
        };
        parse_seconds(&text).map(Time).ok_or(()).map_err(said)
    }
}

/// One moment, or one drawn by the seed between two.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum When {
    At(Time),
    Between([Time; 2]),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    #[serde(default = "exclusive")]
    pub repeat: String,
    #[serde(default = "group")]
    pub group: String,
    #[serde(default = "window")]
    pub window: Time,
    #[serde(default = "due")]
    pub due: Time,
    #[serde(default = "expiry")]
    pub expiry: Time,
    #[serde(default = "one")]
    pub payoff: f64,
    #[serde(default = "tardy")]
    pub tardy: f64,
    /// A second, by all clients together.
    pub rate: f64,
    /// On one slot of a warm runner, in the mean; between half and one and a half of that.
    #[serde(default = "work")]
    pub work: Time,
    /// Different keys; 0 for none.
    #[serde(default)]
    pub keys: u32,
    /// With a store: its hand-offs are known to so many others before the first byte.
    #[serde(default)]
    pub record: u32,
    #[serde(default = "refuse")]
    pub unrecorded: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Runners {
    pub count: usize,
    pub slots: usize,
    /// Beyond so many waiting it turns away.
    pub queue: usize,
    /// They are cold when the play begins.
    pub cold: bool,
    /// What a runner that has no key of a work item takes more.
    pub fetch: Time,
    /// Keys that one holds.
    pub keys: usize,
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

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub from: f64,
    pub time: Time,
    pub multiple: f64,
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

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Tries of one request: who is turned away comes again after the advised time, or half a second.
    pub tries: u32,
    /// How much of the load each site's dispatchers get, by site; even without.
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

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub sharing: bool,
    pub probe: Option<String>,
    pub lease: Time,
    pub owners: usize,
    pub caps: BTreeMap<String, u64>,
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

/// State that outlives a dispatcher; kept where this stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// Who votes: the first so many.
    pub voters: usize,
    /// What is agreed holds everywhere within this, where the links are whole.
    pub within: Time,
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

/// Beyond rules and bounds: what this scenario is to show.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Of the payoff of all requests, what is to be earned at the least.
    pub goodput: Option<f64>,
    /// So long after the last fault has ended the payoff earned is back at 0.95 of what it was before the first.
    pub back_within: Option<Time>,
    /// Of what cold runners may be sent, the most used at one of them within the span.
    pub cold_use: Option<f64>,
    /// Hand-offs that failed, at the most.
    pub failed_hand_offs: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at: When,
    /// Until it is over; without, to the end, or at once for what has no length.
    #[serde(rename = "for")]
    pub lasts: Option<Time>,
    pub what: String,
    /// Whom, by selector; several of them stand for one drawn by the seed if `one` is said.
    pub on: String,
    #[serde(default)]
    pub one: bool,
    /// Again so often after the first, and how many times in all.
    pub every: Option<Time>,
    pub times: Option<u32>,
    /// Figures of the kinds that have them.
    pub p: Option<f64>,
    pub delay: Option<Time>,
    pub jitter: Option<Time>,
    pub rate: Option<f64>,
    pub by: Option<f64>,
    pub with: Option<String>,
    pub set: Option<BTreeMap<String, toml::Value>>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(default)]
    pub title: String,
    #[serde(default = "seed")]
    pub seed: u64,
    #[serde(default = "processes")]
    pub processes: usize,
    #[serde(default = "sites")]
    pub sites: Vec<String>,
    /// Clients send for so long.
    #[serde(default = "length")]
    pub length: Time,
    #[serde(default)]
    pub runners: Runners,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default = "categories")]
    pub categories: Vec<Category>,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub fleet: Fleet,
    pub store: Option<Store>,
    /// Further keys of the program's own configuration, at all dispatchers.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
    #[serde(default)]
    pub expect: Expect,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

fn exclusive() -> String {
    "exclusive".to_string()
}
fn group() -> String {
    "all".to_string()
}
fn window() -> Time {
    Time(5.0)
}
fn due() -> Time {
    Time(0.8)
}
fn expiry() -> Time {
    Time(2.5)
}
fn refuse() -> String {
    "refuse".to_string()
}
fn one() -> f64 {
    1.0
}
fn tardy() -> f64 {
    0.2
}
fn work() -> Time {
    Time(0.06)
}
fn seed() -> u64 {
    1
}
fn processes() -> usize {
    3
}
fn sites() -> Vec<String> {
    ["a", "b", "c"].map(str::to_string).to_vec()
}
fn length() -> Time {
    Time(6.0)
}

fn categories() -> Vec<Category> {
    let category = |name: &str, repeat: &str, rate: f64, payoff: f64| Category {
        name: name.to_string(),
        repeat: repeat.to_string(),
        group: group(),
        window: window(),
        due: due(),
        expiry: expiry(),
        payoff,
        tardy: tardy(),
        rate,
        work: work(),
        keys: 0,
        record: 0,
        unrecorded: refuse(),
    };
    vec![
        category("rerun", "rerunnable", 60.0, 1.0),
        category("ticket", "ticketed", 20.0, 2.0),
        category("once", "exclusive", 20.0, 4.0),
    ]
}

impl Scenario {
    /// Who votes: fewer where there are not so many, and an odd number.
    pub fn voters(&self) -> usize {
        let most = self
            .store
            .as_ref()
            .map_or(0, |store| store.voters)
            .min(self.processes);
        most - usize::from(most.is_multiple_of(2) && most > 0)
    }

    pub fn cast(&self) -> Cast {
        Cast {
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
            return Err(Bad("over 1 MiB is no scenario".to_string()));
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

    /// Whether it can be played as it stands; also after `processes` was changed.
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
            return bad("runners.slots: a runner needs one".to_string());
        }
        if self.sites.is_empty() {
            return bad("sites: there is none".to_string());
        }
        if !(0.5..=3600.0).contains(&self.length.0) {
            return bad(format!(
                "length: {} s is not from 0.5 s to 1 h",
                self.length.0
            ));
        }
        if self.categories.is_empty() {
            return bad("categories: there is none".to_string());
        }
        for category in &self.categories {
            let at = |what: &str| format!("category '{}': {what}", category.name);
            let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if category.name.is_empty() || !category.name.chars().all(plain) {
                return bad(at("its name is not of letters, digits, - and _"));
            }
            let word = |said: &str, known: [&str; 3], what: &str| match known.contains(&said) {
                true => Ok(()),
                false => Err(Bad(at(&format!(
                    "{what} '{said}' is none of {}",
                    known.join(", ")
                )))),
            };
            word(
                &category.repeat,
                ["rerunnable", "ticketed", "exclusive"],
                "repeat",
            )?;
            word(&category.group, ["all", "zone", "cell"], "group")?;
            if !(0.0..=10_000.0).contains(&category.rate) {
                return bad(at("its rate is not from 0 to 10000 a second"));
            }
            if !(0.001..=600.0).contains(&category.work.0) || category.due.0 > category.expiry.0 {
                return bad(at("work is not from 1 ms to 10 min, or due after expiry"));
            }
            if self
                .categories
                .iter()
                .filter(|other| other.name == category.name)
                .count()
                > 1
            {
                return bad(at("it stands twice"));
            }
        }
        if let Some(store) = &self.store {
            if !matches!(store.voters, 1 | 3 | 5) {
                return bad(format!(
                    "store.voters: {} do not do; 1, 3 or 5",
                    store.voters
                ));
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
            if !WHATS.iter().any(|(name, ..)| *name == fault.what) {
                let hint = nearest(&fault.what, WHATS.iter().map(|(name, ..)| *name));
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
