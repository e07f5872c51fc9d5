//! What each role uses, sample by sample, and in all over the measurement.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::cluster::Cluster;
use crate::sockets::{self, Traffic};
use crate::usage::{self, Usage};

const MB: f64 = 1_048_576.0;

/// Whose usage it is; real and simulated apart.
#[derive(Serialize, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The real core process that schedules.
    Scheduler,
    /// Real core processes that do not.
    Replica,
    /// Real frontend processes.
    Frontend,
    /// Real side processes.
    Side,
    /// This process: simulated workers, load and operator together.
    Hollow,
    /// In simulated time: the logic of an agent.
    Agent,
}

/// The usage of all processes at one moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Role and usage by process id.
    pub processes: BTreeMap<u32, (Role, Usage)>,
}

/// The usage of a role between two moments; per process.
#[derive(Serialize, Clone, Debug)]
pub struct RoleUsage {
    /// The role.
    pub role: Role,
    /// Processes with this role.
    pub processes: usize,
    /// Processors in use by one process, on average.
    pub cpu_share: f64,
    /// Processor time of one process, on average, in seconds.
    pub cpu_s: f64,
    /// Not known in simulated time.
    pub memory_mb: Option<f64>,
    /// Kilobytes a second that one process wrote to disk, on average.
    pub disk_kb_s: f64,
    /// By `ss`; absent where that is missing.
    pub sent_kb_s: Option<f64>,
    /// Kilobytes a second that one process received, on average; as for `sent_kb_s`.
    pub received_kb_s: Option<f64>,
}

/// Reads the usage of all processes.
pub fn sample(cluster: &Cluster) -> Sample {
    let scheduler = cluster.scheduler();
    let core = |place: usize| {
        if Some(place) == scheduler {
            Role::Scheduler
        } else {
            Role::Replica
        }
    };
    let cores = cluster
        .cores
        .iter()
        .enumerate()
        .map(|(place, program)| (core(place), program.id()));
    let frontends = cluster
        .frontends
        .iter()
        .map(|program| (Role::Frontend, program.id()));
    let sides = cluster
        .sides
        .iter()
        .map(|program| (Role::Side, program.id()));
    let own = [(Role::Hollow, Some(std::process::id()))];
    let all = cores.chain(frontends).chain(sides).chain(own);
    let used = all.filter_map(|(role, id)| Some((id?, (role, usage::read(id?)?))));
    Sample {
        processes: used.collect(),
    }
}

impl Sample {
    /// Resident memory of all processes, in bytes.
    pub fn memory(&self) -> u64 {
        self.processes.values().map(|(_, usage)| usage.memory).sum()
    }
}

/// The usage of all processes and the traffic of their connections at one moment.
#[derive(Clone, Debug, Default)]
pub struct ResourceSnapshot {
    /// The processes.
    pub sample: Sample,
    /// Traffic by process id; `None` without `ss`.
    pub traffic: Option<BTreeMap<u32, Traffic>>,
}

impl ResourceSnapshot {
    /// Reads usage and traffic.
    pub fn take(cluster: &Cluster) -> ResourceSnapshot {
        ResourceSnapshot {
            sample: sample(cluster),
            traffic: sockets::read(),
        }
    }
}

/// What each role used between two marks, `seconds` apart. Processes that were not there at both are left out.
pub fn between(
    before: &ResourceSnapshot,
    after: &ResourceSnapshot,
    seconds: f64,
) -> Vec<RoleUsage> {
    let mut roles: BTreeMap<Role, Vec<RoleUsage>> = BTreeMap::new();
    for (id, (role, usage)) in &after.sample.processes {
        let Some((_, former)) = before.sample.processes.get(id) else {
            continue;
        };
        let traffic = difference(before, after, *id);
        roles
            .entry(*role)
            .or_default()
            .push(one(*role, *former, *usage, traffic, seconds));
    }
    roles
        .into_values()
        .map(|processes| mean(&processes))
        .collect()
}

fn difference(before: &ResourceSnapshot, after: &ResourceSnapshot, id: u32) -> Option<Traffic> {
    let former = before
        .traffic
        .as_ref()?
        .get(&id)
        .copied()
        .unwrap_or_default();
    let newer = after
        .traffic
        .as_ref()?
        .get(&id)
        .copied()
        .unwrap_or_default();
    Some(Traffic {
        sent: newer.sent.saturating_sub(former.sent),
        received: newer.received.saturating_sub(former.received),
    })
}

fn one(
    role: Role,
    former: Usage,
    usage: Usage,
    traffic: Option<Traffic>,
    seconds: f64,
) -> RoleUsage {
    let kb_s = |bytes: u64| bytes as f64 / 1_000.0 / seconds;
    RoleUsage {
        role,
        processes: 1,
        cpu_share: (usage.cpu_s - former.cpu_s) / seconds,
        cpu_s: usage.cpu_s - former.cpu_s,
        memory_mb: Some(usage.memory as f64 / MB),
        disk_kb_s: kb_s(usage.disk_bytes.saturating_sub(former.disk_bytes)),
        sent_kb_s: traffic.map(|traffic| kb_s(traffic.sent)),
        received_kb_s: traffic.map(|traffic| kb_s(traffic.received)),
    }
}

fn mean(processes: &[RoleUsage]) -> RoleUsage {
    let count = processes.len() as f64;
    let of = |figure: fn(&RoleUsage) -> f64| processes.iter().map(figure).sum::<f64>() / count;
    let known = processes[0].sent_kb_s.is_some();
    RoleUsage {
        role: processes[0].role,
        processes: processes.len(),
        cpu_share: of(|process| process.cpu_share),
        cpu_s: of(|process| process.cpu_s),
        memory_mb: Some(of(|process| process.memory_mb.unwrap_or(0.0))),
        disk_kb_s: of(|process| process.disk_kb_s),
        sent_kb_s: known.then(|| of(|process| process.sent_kb_s.unwrap_or(0.0))),
        received_kb_s: known.then(|| of(|process| process.received_kb_s.unwrap_or(0.0))),
    }
}
