//! Start parameters of a dispatcher, from the page of the platform or a configuration file.

use sagetrail_dispatch::{name_hash, DiscoveryUpdate, ListNames};
use sagetrail_failover::FailoverPlan;
use sagetrail_policy::{parse_policy_config, FlatSettings, PolicyConfig};
use sagetrail_settings::{Fleet, Layers, Store, Trial};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Largest configuration file in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The page of the platform, as it stands in the file.
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

/// Limits on the page.
#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
}

/// Start parameters.
pub(crate) struct Start {
    pub name: String,
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery_at: SocketAddr,
    /// Address of the admin API, if it is enabled.
    pub console: Option<SocketAddr>,
    /// Seed of the random numbers of the policy.
    pub seed: u64,
    /// Number of file descriptors that the process may use.
    pub max_descriptors: usize,
    /// The endpoint list with which the dispatcher starts.
    pub known_endpoints: DiscoveryUpdate,
    /// File for the learned state, if it is kept over a planned restart.
    pub learned_state_path: Option<PathBuf>,
    /// Hash of the categories and kinds, by which state of another deployment is recognized.
    pub deployment: u64,
    /// Whether the settings enable load probes.
    pub probes_allowed: bool,
    /// Configuration of the policy.
    pub policy: PolicyConfig,
    /// Names of the categories.
    pub categories: Vec<String>,
    /// Longest time in seconds that a client of each category waits, unless its request says otherwise.
    pub expiries_s: Vec<f64>,
    /// Names of zones and kinds in the endpoint list.
    pub names: ListNames,
    /// Time-out in seconds for connecting to a runner.
    pub connect_timeout_s: f64,
    /// Time in seconds after which runners close idle connections.
    pub runner_idle_s: f64,
    /// Grace in seconds after the news that a runner drains, within which attempts may still begin there.
    pub drain_grace_s: f64,
    /// Limit of the number of open work items.
    pub max_open_work_items: usize,
    /// Whether a work item may be at two runners at once.
    pub allow_concurrent_attempts: bool,
    /// The whole page, to compare a later one with.
    pub page: Value,
    /// The fleet, if one is configured; always `None` with the page of the platform.
    pub fleet: Option<Fleet>,
    /// The store, if one is configured; always `None` with the page of the platform.
    pub store: Option<Store>,
    /// Names of the zones in the endpoint list.
    pub zones: Vec<String>,
    /// Whether the loss of a whole site is detected.
    pub detects_site_loss: bool,
    /// Plan of the operators for the loss of a site.
    pub plan: FailoverPlan,
    pub trial: Option<Trial>,
    pub json_log: bool,
}

/// Source of the configuration: the page of the platform, or a configuration file with command-line settings that take
/// precedence.
#[derive(Clone, Debug, Default)]
pub(crate) struct Source {
    pub file: Option<PathBuf>,
    pub flags: Vec<String>,
    /// Whether settings for tests are allowed.
    pub trial: bool,
}

/// Names of the parts in which a later page differs and which a running process does not apply. The endpoint list and
/// the seed are left out, since they only matter at a start.
pub(crate) fn needs_restart(running: &Value, later: &Value) -> Vec<String> {
    let parts = |page: &Value| page.as_object().cloned().unwrap_or_default();
    let (running, mut changed) = (parts(running), parts(later));
    running
        .iter()
        .for_each(|(name, value)| match changed.get(name) == Some(value) {
            true => drop(changed.remove(name)),
            false => drop(changed.insert(name.clone(), Value::Null)),
        });
    changed
        .into_iter()
        .map(|(name, _)| name)
        .filter(|name| !["discovery", "known", "seed"].contains(&&**name))
        .collect()
}

/// Flattens nested values to paths, in the form of the simulator.
fn flatten(path: &str, value: &Value, into: &mut FlatSettings) {
    let child_path = |leaf: &str| {
        if path.is_empty() {
            leaf.to_string()
        } else {
            format!("{path}.{leaf}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(leaf, value)| flatten(&child_path(leaf), value, into)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            into.insert(&child_path("count"), &items.len().to_string());
            items
                .iter()
                .enumerate()
                .for_each(|(n, item)| flatten(&child_path(&n.to_string()), item, into));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(to_text).collect();
            into.insert(path, &words.join(","));
        }
        value => into.insert(path, &to_text(value)),
    }
}

fn to_text(value: &Value) -> String {
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

fn address(given: Option<String>, variable: &str, name: &str) -> Result<SocketAddr, String> {
    let text = given
        .or_else(|| std::env::var(variable).ok())
        .ok_or_else(|| format!("no {name} is given"))?;
    text.parse()
        .map_err(|_| format!("{name} '{text}' is not an address and port"))
}

/// The layers from which a configuration file is read.
pub(crate) fn layers(path: &Path, flags: &[String]) -> Result<Layers, String> {
    let file = path.display().to_string();
    let size = std::fs::metadata(path).map_err(|error| format!("{file}: {error}"))?;
    if size.is_dir() {
        return Err(format!("{file}: it is a directory"));
    }
    if size.len() > MAX_FILE_BYTES {
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
    /// Reads the present configuration.
    ///
    /// # Errors
    ///
    /// One line for each fault.
    pub(crate) fn open(&self) -> Result<Start, String> {
        self.open_on("")
    }

    /// Reads the present configuration with settings that all dispatchers have agreed on.
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
        let configuration =
            sagetrail_settings::read(&layers).map_err(|faults| faults.join("\n"))?;
        let mut start =
            parse_page(configuration.page).map_err(|why| format!("{}: {why}", layers.file))?;
        if configuration.trial.is_some() && !self.trial {
            return Err(format!(
                "{}: trial: only `sagetrail trial` takes such settings",
                layers.file
            ));
        }
        (start.fleet, start.trial, start.json_log) = (
            configuration.fleet,
            configuration.trial,
            configuration.json_log,
        );
        start.store = configuration.store;
        (start.detects_site_loss, start.plan) =
            (configuration.detects_site_loss, configuration.plan);
        Ok(start)
    }
}

/// Reads the page of the platform from `file`, or from the file that `RELAY_CONFIG` names.
fn open(file: Option<&Path>) -> Result<Start, String> {
    let path = match file {
        Some(path) => path.display().to_string(),
        None => {
            std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG names no file".to_string())?
        }
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let whole = serde_json::from_str(&text).map_err(|error| format!("{path}: {error}"))?;
    parse_page(whole).map_err(|why| format!("{path}: {why}"))
}

/// Reads the start parameters from a page.
fn parse_page(whole: Value) -> Result<Start, String> {
    let page = Page::deserialize(&whole).map_err(|error| error.to_string())?;
    if !page.settings.is_object() {
        return Err("settings are not an object".to_string());
    }
    let mut settings = FlatSettings::default();
    flatten("", &page.settings, &mut settings);
    let mut policy = parse_policy_config(&settings)?;
    if policy.categories.is_empty() {
        return Err("settings name no category".to_string());
    }
    // This protocol always watches the endpoint list, whatever the settings say, and runners accept attempts by a 202.
    policy.list_from_agent = !policy.requests_list;
    policy.requests_list = true;
    policy.reports_acceptance = true;
    let probes_allowed = std::mem::replace(&mut policy.uses_load_probes, false);
    if policy.list_request_limit_s <= 0.0 {
        policy.list_request_limit_s = 10.0;
    }
    let names = ListNames {
        zones: strings(&page.settings["Dcs"]),
        kinds: strings(&page.settings["Kinds"]),
    };
    let key = |leaf: &str, n: usize| format!("Categories.{n}.{leaf}");
    let count = policy.categories.len();
    let categories: Vec<String> = (0..count)
        .map(|n| settings.text(&key("Name", n)).to_string())
        .collect();
    let expiries_s: Result<_, _> = (0..count)
        .map(|n| settings.seconds(&key("ExpiryUs", n)))
        .collect();
    let or_default = |given: f64, default: f64| if given > 0.0 { given } else { default };
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
        known_endpoints: known,
        learned_state_path: page.learnt,
        deployment: name_hash(&format!("{categories:?} {:?}", names.kinds)),
        probes_allowed,
        policy,
        categories,
        expiries_s: expiries_s?,
        names,
        connect_timeout_s: or_default(settings.seconds("Limits.DialTimeoutUs")?, 0.25),
        runner_idle_s: or_default(settings.seconds("Limits.ConnIdleUs")?, 10.0),
        drain_grace_s: settings.seconds("Safety.StopSendingWithinUs")?,
        allow_concurrent_attempts: settings.flag("Limits.MayDuplicate")?,
        max_open_work_items: (or_default(settings.number("Limits.MostHeld")?, 10_000.0)) as usize,
        page: whole,
        fleet: None,
        store: None,
        zones: strings(&page.settings["Dcs"]),
        // Off with the page of the platform: it brought no gain there (docs/site-loss.md).
        detects_site_loss: false,
        plan: FailoverPlan::default(),
        trial: None,
        json_log: false,
    })
}
