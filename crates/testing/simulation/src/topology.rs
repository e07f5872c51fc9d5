//! The usual cluster: addresses, queues, runners' sizes, configurations.

use crate::configuration::{Configuration, Patch, RouteItem};
use crate::engine::Chance;
use crate::workload::{QueuePlan, HOST};
use sagetrail_protocol::agent::Resources;
use sagetrail_protocol::NodeId;

/// The port of all processes.
const PORT: u16 = 7_380;

/// Processes of one class, by the number of their network.
pub fn nodes(network: u32, count: usize) -> Vec<NodeId> {
    (0..count as u32)
        .map(|index| NodeId {
            ip: 0x0a00_0000 | network << 8 | (index + 1),
            port: PORT,
        })
        .collect()
}

/// The queues of all days.
pub fn queues() -> Vec<QueuePlan> {
    vec![
        QueuePlan {
            prefix: "/clean/".into(),
            service: "cleaning".into(),
            has_gpu: false,
        },
        QueuePlan {
            prefix: "/model/".into(),
            service: "modelling".into(),
            has_gpu: true,
        },
    ]
}

/// What a runner has.
pub fn capacity(large: bool) -> Resources {
    match large {
        true => Resources {
            cpu: 32_000,
            mem_mb: 131_072,
            gpu: 8,
        },
        false => Resources {
            cpu: 16_000,
            mem_mb: 32_768,
            gpu: 0,
        },
    }
}

/// The configuration that precedes all traffic.
pub fn first_configuration() -> Configuration {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    for queue in queues() {
        configuration.services.insert(queue.service.clone(), false);
        let name = format!("r-{}", queue.service);
        configuration.put_route(RouteItem::new(&name, HOST, &queue.prefix, &queue.service));
    }
    configuration
}

/// A change of a route that no job depends on.
pub fn draw_patch(chance: &mut Chance, number: u64) -> Patch {
    let extra = chance.between(0, 4);
    let name = format!("r-extra-{extra}");
    if chance.happens(0.3) {
        return Patch {
            upsert: Vec::new(),
            remove: vec![name],
        };
    }
    let mut route = RouteItem::new(&name, HOST, &format!("/extra-{extra}/"), "cleaning");
    route.timeout_ms = 2_000 + number;
    Patch {
        upsert: vec![route],
        remove: Vec::new(),
    }
}
