//! The machines of a simulated run, each with the real logic of its process.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use sagetrail_agent::AgentNode;
use sagetrail_cluster_node::context::{LogicFactory, ProcessContext};
use sagetrail_cluster_node::settings::Settings;
use sagetrail_cluster_node::{core_process, frontend_process};
use sagetrail_protocol::node::{DiskImage, Now, Outbox};
use sagetrail_protocol::{NodeId, NodeKind};

use super::machine::Machine;
use crate::addresses::Addresses;
use crate::samples::Role;
use crate::settings::{render, Machine as SettingsOf};
use crate::simulated_worker::{agent_settings, counted, WorkerSettings};

/// A frontend's port, counted from the first of the peer ports, as in the daemon.
const FRONTEND_PORT_OFFSET: u16 = 1;

/// A machine, and what its process wants done at its start.
pub(super) struct StartedMachine {
    pub machine: Machine,
    pub outbox: Outbox,
}

/// Core machines, then frontends, then workers' machines.
pub(super) fn start_machines(
    settings: &WorkerSettings,
    now: Now,
) -> anyhow::Result<Vec<StartedMachine>> {
    let scenario = &settings.scenario;
    let mut machines = Vec::new();
    for number in 0..scenario.cores {
        let node = settings.addresses.core_node(number);
        machines.push(process(settings, now, NodeKind::Core, number, node)?);
    }
    for number in 0..scenario.frontends {
        let ip = settings.addresses.frontend_ip(number);
        let port = settings.addresses.core_node(0).port + FRONTEND_PORT_OFFSET;
        let node = NodeId::from_address(SocketAddrV4::new(ip, port));
        machines.push(process(settings, now, NodeKind::Frontend, number, node)?);
    }
    machines.extend((0..scenario.workers).map(|number| agent(settings, now, number)));
    Ok(machines)
}

fn process(
    settings: &WorkerSettings,
    now: Now,
    kind: NodeKind,
    number: u32,
    node: NodeId,
) -> anyhow::Result<StartedMachine> {
    let scenario = &settings.scenario;
    let (make_logic, role, name): (LogicFactory, Role, &str) = match kind {
        NodeKind::Core => (core_process::make, Role::Replica, "core"),
        _ => (frontend_process::make, Role::Frontend, "frontend"),
    };
    let machine = SettingsOf {
        kind,
        name: &format!("{name}-{number}"),
        ip: Ipv4Addr::from(node.ip),
        folder: Path::new("/nowhere"),
        bootstrap: true,
    };
    let parsed = Settings::parse(&render(scenario, settings.addresses, &machine)?, kind)?;
    let context = ProcessContext {
        node,
        incarnation: u64::from(node.ip),
        seeds: seeds(settings.addresses, scenario.cores),
        bounds: parsed.bounds.to_bounds(),
        seed: scenario.seed.wrapping_mul(u64::from(node.ip)),
        bootstrap: true,
        image: DiskImage::default(),
        settings: parsed,
    };
    let mut outbox = Outbox::default();
    let logic = make_logic(context, now, &mut outbox);
    let region = number % scenario.network.regions;
    Ok(StartedMachine {
        machine: Machine::new(node, role, region, logic),
        outbox,
    })
}

fn agent(settings: &WorkerSettings, now: Now, number: u32) -> StartedMachine {
    let mut outbox = Outbox::default();
    let agent = AgentNode::new(agent_settings(settings, number), now, &mut outbox);
    let region = number % settings.scenario.network.regions;
    let node = settings.addresses.agent_node(number);
    StartedMachine {
        machine: Machine::new(
            node,
            Role::Agent,
            region,
            counted(agent, settings.statistics.clone()),
        ),
        outbox,
    }
}

fn seeds(addresses: Addresses, cores: u32) -> Vec<NodeId> {
    (0..cores)
        .map(|number| addresses.core_node(number))
        .collect()
}
