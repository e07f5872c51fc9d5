//! Settings files of the real processes.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

use serde::Serialize;

use sagetrail_protocol::NodeKind;

use crate::addresses::{Addresses, PEER_PORTS};
use crate::scenario::Scenario;

/// Seeds that each process is told.
const SEEDS: u32 = 3;
const MEMORY_MB: u32 = 2_048;
const MAX_FDS: u32 = 16_000;
const GRACE_S: u32 = 3;

#[derive(Serialize)]
struct File {
    node_name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    port_range: [u16; 2],
    seeds: Vec<SocketAddrV4>,
    bootstrap: bool,
    data_dir: Option<PathBuf>,
    heartbeat_ms: u64,
    bind_addrs: Binds,
    limits: Limits,
    fault_tolerance: Tolerance,
    bounds: Bounds,
}

#[derive(Serialize)]
struct Binds {
    control: Option<SocketAddrV4>,
    frontend: Option<SocketAddrV4>,
    readiness: Option<SocketAddrV4>,
}

#[derive(Serialize)]
struct Limits {
    memory_mb: u32,
    max_fds: u32,
}

#[derive(Serialize)]
struct Tolerance {
    machines: u32,
}

#[derive(Serialize)]
struct Bounds {
    grace_s: u32,
}

/// A process to write a file for.
pub struct Machine<'a> {
    /// The kind of process.
    pub kind: NodeKind,
    /// Its name, also of its files.
    pub name: &'a str,
    /// Its address on loopback.
    pub ip: Ipv4Addr,
    /// The folder of its files.
    pub folder: &'a Path,
    /// Whether a core process bootstraps the cluster.
    pub bootstrap: bool,
}

/// The seeds of a run.
pub fn seeds(scenario: &Scenario, addresses: Addresses) -> Vec<SocketAddrV4> {
    (0..scenario.cores.min(SEEDS))
        .map(|number| Addresses::control(addresses.core_ip(number)))
        .collect()
}

/// Writes the settings of a process; where.
pub fn write(
    scenario: &Scenario,
    addresses: Addresses,
    machine: &Machine,
) -> anyhow::Result<PathBuf> {
    let path = machine.folder.join(format!("{}.toml", machine.name));
    std::fs::write(&path, render(scenario, addresses, machine)?)?;
    Ok(path)
}

/// The settings of a process.
pub fn render(
    scenario: &Scenario,
    addresses: Addresses,
    machine: &Machine,
) -> anyhow::Result<String> {
    let front = machine.kind == NodeKind::Frontend;
    let file = File {
        node_name: machine.name.to_owned(),
        ip: machine.ip,
        zone: "loopback",
        port_range: PEER_PORTS,
        seeds: seeds(scenario, addresses),
        bootstrap: machine.bootstrap,
        data_dir: (machine.kind == NodeKind::Core).then(|| machine.folder.join(machine.name)),
        heartbeat_ms: scenario.heartbeat_ms,
        bind_addrs: Binds {
            control: (!front).then(|| Addresses::control(machine.ip)),
            frontend: front.then(|| Addresses::clients(machine.ip)),
            readiness: front.then(|| Addresses::readiness(machine.ip)),
        },
        limits: Limits {
            memory_mb: MEMORY_MB,
            max_fds: MAX_FDS,
        },
        fault_tolerance: Tolerance {
            machines: (scenario.cores - 1) / 2,
        },
        bounds: Bounds { grace_s: GRACE_S },
    };
    Ok(toml::to_string(&file)?)
}
