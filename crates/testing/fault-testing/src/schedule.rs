//! What happens when, from a scenario and a seed: the same for a seed, whatever the machine does.

use crate::names::Node;
use crate::scenario::{Bad, Fault, Scenario, When};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Every fault there is: name, what it is done to, and what it does.
pub const WHATS: &[(&str, &str, &str)] = &[
    (
        "drop",
        "link",
        "loses a part `p` of datagrams; bytes of streams come 200 ms later for each loss",
    ),
    (
        "delay",
        "link",
        "everything comes `delay` later, give or take `jitter`; datagrams may overtake each other",
    ),
    (
        "reorder",
        "link",
        "a part `p` of datagrams is overtaken by those that follow within 50 ms",
    ),
    ("double", "link", "a part `p` of datagrams comes twice"),
    ("throttle", "link", "`rate` bytes a second at the most"),
    (
        "stall",
        "link",
        "nothing is read: the sender's buffer fills; new connections come up",
    ),
    (
        "reset",
        "link",
        "connections are reset, and new ones at once",
    ),
    (
        "refuse",
        "link",
        "new connections are refused; those there are go on",
    ),
    (
        "cut",
        "link",
        "nothing passes, new connections never come up; what was on the way comes at the end",
    ),
    (
        "black-hole",
        "link",
        "connections come up and all that is sent is gone; reset at the end",
    ),
    (
        "kill",
        "dispatcher",
        "SIGKILL; started again at the end, `with` disk, old-copy or none; its Unix time off `by`",
    ),
    (
        "term",
        "dispatcher",
        "SIGTERM; started again once it has ended, as with kill",
    ),
    ("pause", "dispatcher", "SIGSTOP, and SIGCONT at the end"),
    (
        "restart",
        "dispatcher",
        "SIGKILL and started again at once, as with kill",
    ),
    (
        "clock-off",
        "dispatcher",
        "its Unix time is off `by` seconds from its start on (`at` is not looked at)",
    ),
    (
        "clock-jump",
        "dispatcher",
        "its Unix time jumps `by` seconds",
    ),
    (
        "reload",
        "dispatcher",
        "`set` goes into its configuration, and SIGHUP",
    ),
    (
        "propose",
        "dispatcher",
        "`set` is proposed at its door as settings for all",
    ),
    (
        "say",
        "dispatcher",
        "a call at its door, as in `with`: \"POST /store/add/d4\"",
    ),
    (
        "disk-slow",
        "dispatcher",
        "its store's disk takes `delay` for each sync from its start on (`at` is not looked at)",
    ),
    (
        "disk-full",
        "dispatcher",
        "its store's disk is full after `by` bytes from its start on (`at` is not looked at)",
    ),
    (
        "drain-by-hand",
        "dispatcher",
        "emptied at its operators' door, and that ended at the end",
    ),
    ("hang", "runner", "answers nothing and finishes nothing"),
    (
        "fail",
        "runner",
        "a part `p` of its jobs fails, at a fifth of their time",
    ),
    ("slow", "runner", "takes `by` times as long"),
    ("full", "runner", "turns everything away"),
    ("mute", "runner", "tells no news"),
    (
        "crash",
        "runner",
        "its process dies: jobs lost; started again, cold, at the end",
    ),
    (
        "new",
        "runner",
        "its process is replaced by another one, cold, at once",
    ),
    (
        "vanish",
        "runner",
        "its machine is gone without a word: as crash, and cut from all",
    ),
    (
        "drain",
        "runner",
        "the list says that it drains; ready again at the end",
    ),
    (
        "gone",
        "runner",
        "the list does not name it any more; again at the end",
    ),
    (
        "by-hand",
        "runner",
        "taken out at all operators' doors, and put back at the end",
    ),
    (
        "ban",
        "runner",
        "taken out at one dispatcher's door, `with`, and put back there at the end; needs a store",
    ),
    ("crowd", "clients", "`by` times as many requests"),
    (
        "fail-category",
        "clients",
        "jobs of the category in `with` fail everywhere, a part `p` of them",
    ),
];

/// One fault on one target, from a moment to another.
#[derive(Clone, Debug, PartialEq)]
pub struct What {
    pub from: f64,
    pub to: f64,
    pub what: &'static str,
    pub nodes: Vec<Node>,
    pub ways: Vec<(Node, Node)>,
    pub p: f64,
    pub delay_s: f64,
    pub jitter_s: f64,
    pub rate: f64,
    pub by: f64,
    /// A process that starts again does so with its Unix time off by this.
    pub off: Option<f64>,
    pub with: String,
    pub set: BTreeMap<String, toml::Value>,
    /// As it was written, for reports.
    pub on: String,
}

fn drawn(when: &When, chance: &mut Pcg64Mcg) -> f64 {
    let part: f64 = chance.random();
    match when {
        When::At(at) => at.0,
        When::Between([from, to]) => from.0 + part * (to.0 - from.0),
    }
}

fn one(fault: &Fault, scenario: &Scenario, chance: &mut Pcg64Mcg, at: f64) -> Result<What, String> {
    let cast = scenario.cast();
    let (name, kind, _) = WHATS
        .iter()
        .find(|(name, ..)| *name == fault.what)
        .ok_or(format!("'{}' is not a fault", fault.what))?;
    let end = scenario.length.0;
    let to = fault.lasts.map_or(f64::INFINITY, |lasts| at + lasts.0);
    let draw: u64 = chance.random();
    let (mut nodes, mut ways) = (Vec::new(), Vec::new());
    if *kind == "link" {
        ways = cast.ways(&fault.on)?;
        if fault.one && !ways.is_empty() {
            ways = vec![ways[(draw % ways.len() as u64) as usize]];
        }
    } else {
        nodes = cast.select(&fault.on)?;
        let fits = |node: &Node| match *kind {
            "dispatcher" => matches!(node, Node::Dispatcher(_)),
            "runner" => matches!(node, Node::Runner(_)),
            _ => matches!(node, Node::Clients),
        };
        // Who is not there at this number of processes is passed over.
        let nobody = nodes.is_empty();
        nodes.retain(fits);
        if nodes.is_empty() && !nobody {
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
        "ban" if scenario.store.is_none() => return Err("ban: it needs a [store]".to_string()),
        "ban" if !matches!(cast.select(&with).as_deref(), Ok([Node::Dispatcher(_)])) => {
            return Err(format!("ban: with '{with}' is not one dispatcher"));
        }
        "propose" | "say" if scenario.store.is_none() => {
            return Err(format!("{}: it needs a [store]", fault.what));
        }
        "propose" if fault.set.is_none() => return Err("propose: it needs set".to_string()),
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
            return Err("throttle: it needs a rate in bytes a second".to_string());
        }
        "reload" if fault.set.is_none() => return Err("reload: it needs set".to_string()),
        _ => {}
    }
    if at > end + 60.0 {
        return Err(format!("{}: at {at} s, when all is over", fault.what));
    }
    Ok(What {
        from: at,
        to,
        what: name,
        nodes,
        ways,
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

/// The whole schedule, in order of time.
pub fn schedule(scenario: &Scenario, seed: u64) -> Result<Vec<What>, Bad> {
    let mut all = Vec::new();
    for (n, fault) in scenario.faults.iter().enumerate() {
        // A stream of its own for each, so that one more fault does not move the others.
        let mut chance = Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(n as u64));
        let first = drawn(&fault.at, &mut chance);
        let times = fault.every.map_or(1, |_| fault.times.unwrap_or(u32::MAX));
        for time in 0..times {
            let at = first + f64::from(time) * fault.every.map_or(0.0, |every| every.0.max(0.05));
            if time > 0 && at > scenario.length.0 {
                break;
            }
            let what = one(fault, scenario, &mut chance, at);
            all.push(what.map_err(|why| Bad(format!("fault {}: {why}", n + 1)))?);
        }
    }
    all.sort_by(|a, b| a.from.total_cmp(&b.from));
    Ok(all)
}
