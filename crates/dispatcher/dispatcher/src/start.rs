//! What a dispatcher is told at its start.

use sagetrail_dispatch::{name_hash, DiscoveryUpdate, ListNames};
use sagetrail_failover::FailoverPlan;
use sagetrail_policy::{parse_policy_config, FlatSettings, PolicyConfig};
use sagetrail_settings::{Fleet, Layers, Store, Trial};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// More is no configuration.
const MOST_BYTES: u64 = 1 << 20;

#[derive(Deserialize)]
struct Page {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: Option<Limits>,
    known: Option<Value>,
    learnt: Option<PathBuf>,
    console: Option<String>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

pub(crate) struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery_at: SocketAddr,
    /// Where the admin API is, if there is one.
    pub console: Option<SocketAddr>,
    pub seed: u64,
    pub max_descriptors: usize,
    pub known: DiscoveryUpdate,
    /// Where what was learnt is kept over a planned restart, if anywhere, and a number for the deployment.
    pub learnt: Option<PathBuf>,
    pub deployment: u64,
    pub probes_allowed: bool,
    pub terms: PolicyConfig,
    pub categories: Vec<String>,
    /// How long a client of each waits at the most, where it does not say.
    pub expiries: Vec<f64>,
    pub names: ListNames,
    pub connect_timeout_s: f64,
    pub runner_idle_s: f64,
    pub drain_grace_s: f64,
    pub max_open_work_items: usize,
    pub allow_concurrent_attempts: bool,
    /// The whole of it, to compare a later one with.
    pub page: Value,
    /// The members it talks to; none by the platform's page, whatever that says.
    pub fleet: Option<Fleet>,
    /// State that outlives it; none by the platform's page, whatever that says.
    pub store: Option<Store>,
    /// The zones that the list names; whether their loss is looked for; what operators said of it beforehand.
    pub zones: Vec<String>,
    pub siting: bool,
    pub plan: FailoverPlan,
    pub trial: Option<Trial>,
    pub json_log: bool,
}

/// Where the page is: the platform's, or a file of the project's own with flags on top.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub file: Option<PathBuf>,
    pub flags: Vec<String>,
    pub trial: bool,
}

/// What a later page says otherwise, and a running process does not take up. The list it was started from and
/// the seed are for the next start anyhow.
pub(crate) fn needs_restart(now: &Value, later: &Value) -> Vec<String> {
    let parts = |page: &Value| page.as_object().cloned().unwrap_or_default();
    let (ours, mut parted) = (parts(now), parts(later));
    ours.iter()
        .for_each(|(name, value)| match parted.get(name) == Some(value) {
            true => drop(parted.remove(name)),
            false => drop(parted.insert(name.clone(), Value::Null)),
        });
    parted
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| !["discovery", "known", "seed"].contains(&&**name))
        .collect()
}

/// Nested values as paths, the way the simulator writes them.
fn flatten(path: &str, value: &Value, into: &mut FlatSettings) {
    let below = |leaf: &str| {
        if path.is_empty() {
            leaf.to_string()
        } else {
            format!("{path}.{leaf}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(leaf, value)| flatten(&below(leaf), value, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(&below("count"), &items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(n, item)| flatten(&below(&n.to_string()), item, into));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            into.insert(path, &words.join(","));
        }
        value => into.insert(path, &plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace(',', "_"),
        Value::Null => String::new(),
        value => value.to_string(),
    }
}

fn strings(value: &Value) -> Vec<String> {
    let items = value.as_array().into_iter().flatten();
    items
        .map(|item| item.as_str().unwrap_or_default().to_string())
        .collect()
}

fn address(said: Option<String>, variable: &str, what: &str) -> Result<SocketAddr, String> {
    let text = said
        .or_else(|| std::env::var(variable).ok())
        .ok_or_else(|| format!("no {what} is given"))?;
    text.parse()
        .map_err(|_| format!("{what} '{text}' is not an address and port"))
}

/// What a configuration of the project's own is read from.
pub(crate) fn layers(path: &Path, flags: &[String]) -> Result<Layers, String> {
    let file = path.display().to_string();
    let size = std::fs::metadata(path).map_err(|error| format!("{file}: {error}"))?;
    if size.is_dir() {
        return Err(format!("{file}: it is a directory"));
    }
    if size.len() > MOST_BYTES {
        return Err(format!("{file}: {} bytes are no configuration", size.len()));
    }
    let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
    let environment = std::env::vars()
        .filter(|(name, _)| name.starts_with("SAGETRAIL_"))
        .collect();
    Ok(Layers {
        file,
        text,
        environment,
        flags: flags.to_vec(),
        agreed: String::new(),
    })
}

impl Source {
    /// The page as it stands now; otherwise all that is wrong with it, a line each.
    pub(crate) fn open(&self) -> Result<Start, String> {
        self.open_on("")
    }

    /// The same with settings that all dispatchers have agreed on.
    pub(crate) fn open_on(&self, agreed: &str) -> Result<Start, String> {
        let Some(path) = self
            .file
            .as_ref()
            .filter(|path| path.extension().is_none_or(|end| end != "json"))
        else {
            return open(self.file.as_deref());
        };
        let layers = Layers {
            agreed: agreed.to_string(),
            ..layers(path, &self.flags)?
        };
        let told = sagetrail_settings::read(&layers).map_err(|faults| faults.join("\n"))?;
        let mut start = read(told.page).map_err(|why| format!("{}: {why}", layers.file))?;
        if told.trial.is_some() && !self.trial {
            return Err(format!(
                "{}: trial: only `sagetrail trial` takes such settings",
                layers.file
            ));
        }
        (start.fleet, start.trial, start.json_log) = (told.fleet, told.trial, told.json_log);
        start.store = told.store;
        (start.siting, start.plan) = (told.siting, told.plan);
        Ok(start)
    }
}

/// The platform's page, as it stands in the file that is named at the start.
fn open(file: Option<&Path>) -> Result<Start, String> {
    let path = match file {
        Some(path) => path.display().to_string(),
        None => {
            std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG names no file".to_string())?
        }
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let whole = serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
    read(whole).map_err(|why| format!("{path}: {why}"))
}

fn read(whole: Value) -> Result<Start, String> {
    let page = Page::deserialize(&whole).map_err(|error| error.to_string())?;
    if !page.settings.is_object() {
        return Err("settings are not an object".to_string());
    }
    let mut stated = FlatSettings::default();
    flatten("", &page.settings, &mut stated);
    let mut terms = parse_policy_config(&stated)?;
    if terms.categories.is_empty() {
        return Err("settings name no category".to_string());
    }
    // This protocol has one way to the list, a watch, whatever the deployment's was, and a 202.
    terms.list_from_agent = !terms.requests_list;
    terms.requests_list = true;
    terms.reports_acceptance = true;
    let probes_allowed = std::mem::replace(&mut terms.uses_load_probes, false);
    if terms.list_request_limit_s <= 0.0 {
        terms.list_request_limit_s = 10.0;
    }
    let names = ListNames {
        zones: strings(&page.settings["Dcs"]),
        kinds: strings(&page.settings["Kinds"]),
    };
    let of = |leaf: &str, n: usize| format!("Categories.{n}.{leaf}");
    let count = terms.categories.len();
    let categories: Vec<String> = (0..count)
        .map(|n| stated.text(&of("Name", n)).to_string())
        .collect();
    let expiries: Result<_, _> = (0..count)
        .map(|n| stated.seconds(&of("ExpiryUs", n)))
        .collect();
    let or = |said: f64, usual: f64| if said > 0.0 { said } else { usual };
    let seed = page.seed.unwrap_or_default();
    let known = match page.known {
        Some(known) => {
            DiscoveryUpdate::parse(known, &names).map_err(|why| format!("known: {why}"))?
        }
        None => DiscoveryUpdate::default(),
    };
    Ok(Start {
        name: page.name.unwrap_or_else(|| "sagetrail".to_string()),
        listen: address(page.listen, "RELAY_LISTEN", "listen")?,
        discovery_at: address(page.discovery, "RELAY_DISCOVERY", "discovery")?,
        console: match page.console.is_some() || std::env::var_os("RELAY_CONSOLE").is_some() {
            true => Some(address(page.console, "RELAY_CONSOLE", "console")?),
            false => None,
        },
        seed: u64::from_str_radix(&seed, 16)
            .map_err(|_| format!("seed '{seed}' is not a number"))?,
        max_descriptors: page
            .limits
            .and_then(|limits| limits.sockets)
            .unwrap_or(1024),
        known,
        learnt: page.learnt,
        deployment: name_hash(&format!("{categories:?} {:?}", names.kinds)),
        probes_allowed,
        terms,
        categories,
        expiries: expiries?,
        names,
        connect_timeout_s: or(stated.seconds("Limits.DialTimeoutUs")?, 0.25),
        runner_idle_s: or(stated.seconds("Limits.ConnIdleUs")?, 10.0),
        drain_grace_s: stated.seconds("Safety.StopSendingWithinUs")?,
        allow_concurrent_attempts: stated.flag("Limits.MayDuplicate")?,
        max_open_work_items: (or(stated.number("Limits.MostHeld")?, 10_000.0)) as usize,
        page: whole,
        fleet: None,
        store: None,
        zones: strings(&page.settings["Dcs"]),
        // By the platform's page as it was: no day gained by it (docs/site-loss.md).
        siting: false,
        plan: FailoverPlan::default(),
        trial: None,
        json_log: false,
    })
}
