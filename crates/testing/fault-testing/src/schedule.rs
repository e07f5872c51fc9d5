//! Draws the schedule of faults from a scenario and a seed. The schedule depends on nothing else, so that a seed
//! gives the same schedule on every machine.

use crate::names::Node;
use crate::scenario::{Bad, Fault, Scenario, When};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// All kinds of faults: the name, the target (`link`, `dispatcher`, `runner` or `clients`), and the effect, which the
/// subcommand `list` prints.
pub const FAULT_KINDS: &[(&str, &str, &str)] = &[
    (
        "drop",
        "link",
        "drops a share `p` of datagrams; bytes of streams arrive 200 ms later for each loss",
    ),
    (
        "delay",
        "link",
        "delays everything by `delay`, plus or minus `jitter`; datagrams may overtake each other",
    ),
    (
        "reorder",
        "link",
        "delays a share `p` of datagrams by up to 50 ms, so that later ones overtake them",
    ),
    ("double", "link", "delivers a share `p` of datagrams twice"),
    ("throttle", "link", "limits each connection to `rate` bytes per second"),
    (
        "stall",
        "link",
        "reads nothing, so that the sender's buffer fills; new connections are accepted",
    ),
    (
        "reset",
        "link",
        "resets connections, and new ones as soon as they are accepted",
    ),
    (
        "refuse",
        "link",
        "refuses new connections; existing ones continue",
    ),
    (
        "cut",
        "link",
        "blocks all traffic and new connections; data in transit is delivered at the end",
    ),
    (
        "black-hole",
        "link",
        "accepts connections and discards all data; resets the connections at the end",
    ),
    (
        "kill",
        "dispatcher",
        "SIGKILL; restarted at the end, `with` disk, old-copy, none, flipped, torn or others; its Unix time is off by \
         `by` seconds",
    ),
    (
        "term",
        "dispatcher",
        "SIGTERM; restarted once it has exited, as with kill",
    ),
    ("pause", "dispatcher", "SIGSTOP, and SIGCONT at the end"),
    (
        "restart",
        "dispatcher",
        "SIGKILL and an immediate restart, as with kill",
    ),
    (
        "clock-off",
        "dispatcher",
        "its Unix time is off by `by` seconds from its start on (`at` is ignored)",
    ),
    (
        "clock-jump",
        "dispatcher",
        "its Unix time jumps by `by` seconds",
    ),
    (
        "reload",
        "dispatcher",
        "writes `set` into its configuration and sends SIGHUP",
    ),
    (
        "propose",
        "dispatcher",
        "proposes `set` at its admin address as settings for all dispatchers",
    ),
    (
        "say",
        "dispatcher",
        "makes the admin call in `with`, such as \"POST /store/add/d4\"",
    ),
    (
        "disk-slow",
        "dispatcher",
        "each sync of its store's disk takes `delay` from its start on (`at` is ignored)",
    ),
    (
        "disk-full",
        "dispatcher",
        "its store's disk is full after `by` bytes from its start on (`at` is ignored)",
    ),
    (
        "drain-by-hand",
        "dispatcher",
        "drained by an admin call; the drain is cancelled at the end",
    ),
    ("hang", "runner", "sends no answers and finishes no jobs"),
    (
        "fail",
        "runner",
        "a share `p` of its jobs fails after a fifth of their time",
    ),
    ("slow", "runner", "jobs take `by` times as long"),
    ("full", "runner", "declines all work"),
    ("mute", "runner", "sends no reports"),
    (
        "crash",
        "runner",
        "its process dies and its jobs are lost; restarted cold at the end",
    ),
    (
        "new",
        "runner",
        "its process is replaced at once by a new, cold one",
    ),
    (
        "vanish",
        "runner",
        "its machine disappears without notice: as crash, with all its links cut",
    ),
    (
        "drain",
        "runner",
        "the list reports it as draining, and as ready at the end",
    ),
    (
        "gone",
        "runner",
        "the list no longer contains it; it is listed again at the end",
    ),
    (
        "by-hand",
        "runner",
        "taken out of service by admin calls to all dispatchers, and put back at the end",
    ),
    (
        "ban",
        "runner",
        "taken out of service by an admin call to the dispatcher `with`, and put back there at the end; needs a store",
    ),
    ("crowd", "clients", "clients send `by` times as many requests"),
    (
        "fail-category",
        "clients",
        "a share `p` of the jobs of the category `with` fails at all runners",
    ),
];

/// One occurrence of a fault, with the links or nodes that it affects.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When the fault begins, in seconds since the run began.
    pub from: f64,
    /// When the fault ends, in seconds since the run began; infinity if the scenario gives no end.
    pub to: f64,
    /// The name of the kind of fault.
    pub kind: &'static str,
    /// The affected nodes; empty for a fault on links.
    pub nodes: Vec<Node>,
    /// The affected links, each in one direction (sender, receiver); empty for a fault on nodes.
    pub links: Vec<(Node, Node)>,
    /// The probability or share from 0 to 1; 1 by default.
    pub p: f64,
    pub delay_s: f64,
    pub jitter_s: f64,
    /// The rate in bytes per second.
    pub rate: f64,
    /// A factor, an offset in seconds or a size in bytes, depending on the kind; 2 by default.
    pub by: f64,
    /// The offset in seconds of the Unix time of a process that is restarted.
    pub off: Option<f64>,
    pub with: String,
    /// Configuration keys and values for `reload` and `propose`.
    pub set: BTreeMap<String, toml::Value>,
    /// The selector as the scenario states it, for reports.
    pub on: String,
}

/// Returns the time of a fault in seconds. It draws one random number also if the time is fixed, so that the later
/// draws of the fault do not depend on it.
fn draw_time(when: &When, rng: &mut Pcg64Mcg) -> f64 {
    let part: f64 = rng.random();
    match when {
        When::At(at) => at.0,
        When::Between([from, to]) => from.0 + part * (to.0 - from.0),
    }
}

/// Returns one occurrence of a fault that begins `at` seconds after the start of the run.
fn draw_occurrence(
    fault: &Fault,
    scenario: &Scenario,
    rng: &mut Pcg64Mcg,
    at: f64,
) -> Result<ScheduledFault, String> {
    let participants = scenario.participants();
    let (name, kind, _) = FAULT_KINDS
        .iter()
        .find(|(name, ..)| *name == fault.what)
        .ok_or(format!("'{}' is not a fault", fault.what))?;
    let end = scenario.length.0;
    let to = fault.lasts.map_or(f64::INFINITY, |lasts| at + lasts.0);
    let draw: u64 = rng.random();
    let (mut nodes, mut links) = (Vec::new(), Vec::new());
    if *kind == "link" {
        links = participants.links(&fault.on)?;
        if fault.one && !links.is_empty() {
            links = vec![links[(draw % links.len() as u64) as usize]];
        }
    } else {
        nodes = participants.select(&fault.on)?;
        let fits = |node: &Node| match *kind {
            "dispatcher" => matches!(node, Node::Dispatcher(_)),
            "runner" => matches!(node, Node::Runner(_)),
            _ => matches!(node, Node::Clients),
        };
        // A selector may name nodes that do not exist with this number of processes; it then affects none.
        let none_selected = nodes.is_empty();
        nodes.retain(fits);
        if nodes.is_empty() && !none_selected {
            return Err(format!("{}: '{}' selects no {kind}", fault.what, fault.on));
        }
        if fault.one && !nodes.is_empty() {
            nodes = vec![nodes[(draw % nodes.len() as u64) as usize]];
        }
    }
    let with = fault.with.clone().unwrap_or_default();
    match *name {
        "kill" | "restart" | "term"
            if !["", "disk", "old-copy", "none", "flipped", "torn", "others"]
                .contains(&with.as_str()) =>
        {
            let all = "disk, old-copy, none, flipped, torn, others";
            return Err(format!("{}: with '{with}' is none of {all}", fault.what));
        }
        "ban" if scenario.store.is_none() => {
            return Err("ban: the scenario needs a [store]".to_string())
        }
        "ban"
            if !matches!(
                participants.select(&with).as_deref(),
                Ok([Node::Dispatcher(_)])
            ) =>
        {
            return Err(format!("ban: with '{with}' is not one dispatcher"));
        }
        "propose" | "say" if scenario.store.is_none() => {
            return Err(format!("{}: the scenario needs a [store]", fault.what));
        }
        "propose" if fault.set.is_none() => {
            return Err("propose: the key 'set' is missing".to_string())
        }
        "say" if with.split_once(' ').is_none() => {
            return Err(format!("say: with '{with}' is not a method and a path"));
        }
        "fail-category"
            if !scenario
                .categories
                .iter()
                .any(|category| category.name == with) =>
        {
            return Err(format!("fail-category: with '{with}' is not a category"));
        }
        "throttle" if fault.rate.is_none_or(|rate| rate <= 0.0) => {
            return Err("throttle: the key 'rate' must be above 0 bytes per second".to_string());
        }
        "reload" if fault.set.is_none() => {
            return Err("reload: the key 'set' is missing".to_string())
        }
        _ => {}
    }
    if at > end + 60.0 {
        return Err(format!(
            "{}: at {at} s is over 60 s after the end of the clients at {end} s",
            fault.what
        ));
    }
    Ok(ScheduledFault {
        from: at,
        to,
        kind: name,
        nodes,
        links,
        p: fault.p.unwrap_or(1.0),
        delay_s: fault.delay.unwrap_or_default().0,
        jitter_s: fault.jitter.unwrap_or_default().0,
        rate: fault.rate.unwrap_or(0.0),
        by: fault.by.unwrap_or(2.0),
        off: fault
            .by
            .filter(|_| ["kill", "restart", "term"].contains(name)),
        with,
        set: fault.set.clone().unwrap_or_default(),
        on: fault.on.clone(),
    })
}

/// Draws the whole schedule, ordered by the time at which faults begin.
pub fn schedule(scenario: &Scenario, seed: u64) -> Result<Vec<ScheduledFault>, Bad> {
    let mut all = Vec::new();
    for (n, fault) in scenario.faults.iter().enumerate() {
        // Each fault has its own random stream, so that adding a fault does not change the times of the others.
        let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(n as u64));
        let first = draw_time(&fault.at, &mut rng);
        let times = fault.every.map_or(1, |_| fault.times.unwrap_or(u32::MAX));
        for time in 0..times {
            let at = first + f64::from(time) * fault.every.map_or(0.0, |every| every.0.max(0.05));
            if time > 0 && at > scenario.length.0 {
                break;
            }
            let what = draw_occurrence(fault, scenario, &mut rng, at);
            all.push(what.map_err(|why| Bad(format!("fault {}: {why}", n + 1)))?);
        }
    }
    all.sort_by(|a, b| a.from.total_cmp(&b.from));
    Ok(all)
}
