//! The real processes.

use crate::cluster::Factories;
use crate::process::{Factory, ProcessStart};
use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Node, Now, Outbox};
use sagetrail_protocol::service::{Restored, Service, ServiceFactory};
use sagetrail_scheduler::{CoreResources, Scheduler, SchedulerSettings};

/// The processes as they run in service.
pub fn factories() -> Factories {
    Factories {
        core: core(),
        frontend: frontend(),
        side: side(),
    }
}

/// Makes core processes, with the scheduler on the elected one.
pub fn core() -> Factory {
    Box::new(|start: ProcessStart, outbox: &mut Outbox| {
        let settings = CoreSettings {
            node: start.node,
            incarnation: start.incarnation,
            seeds: start.seeds,
            bootstrap: start.bootstrap,
            bounds: start.bounds,
            tolerated_machines: start.tolerated_machines,
            seed: start.seed,
        };
        let service = scheduler(start.bounds);
        let node: Box<dyn Node> = Box::new(CoreNode::new(
            settings,
            start.image,
            service,
            start.now,
            outbox,
        ));
        node
    })
}

/// The resources of the machine of a core process.
const CORE_RESOURCES: CoreResources = CoreResources {
    memory_mb: 256.0,
    disk_mb: Some(128.0),
};

fn scheduler(bounds: Bounds) -> ServiceFactory {
    Box::new(move |now: Now, restored: Restored<'_>| {
        let settings = SchedulerSettings {
            bounds,
            resources: CORE_RESOURCES,
        };
        let service: Box<dyn Service + Send> = Box::new(Scheduler::new(settings, now, restored));
        service
    })
}

/// Makes gateways.
pub fn frontend() -> Factory {
    Box::new(|start: ProcessStart, outbox: &mut Outbox| {
        let settings = GatewaySettings {
            node: start.node,
            incarnation: start.incarnation,
            seeds: start.seeds,
            bounds: start.bounds,
            seed: start.seed,
        };
        let node: Box<dyn Node> = Box::new(GatewayNode::new(settings, start.now, outbox));
        node
    })
}

/// Makes agents.
pub fn side() -> Factory {
    Box::new(|start: ProcessStart, outbox: &mut Outbox| {
        let settings = AgentSettings {
            node: start.node,
            incarnation: start.incarnation,
            seeds: start.seeds,
            bounds: start.bounds,
            heartbeat_ms: start.heartbeat_ms,
            runner_address: None,
            seed: start.seed,
        };
        let node: Box<dyn Node> = Box::new(AgentNode::new(settings, start.now, outbox));
        node
    })
}
