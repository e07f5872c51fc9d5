//! The real processes.

use crate::cluster::Factories;
use crate::process::{Birth, Factory};
use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Node, Now, Outbox};
use sagetrail_protocol::service::{Restored, Service, ServiceFactory};
use sagetrail_scheduler::{Scheduler, SchedulerSettings};

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
    Box::new(|birth: Birth, outbox: &mut Outbox| {
        let settings = CoreSettings {
            node: birth.node,
            incarnation: birth.incarnation,
            seeds: birth.seeds,
            bootstrap: birth.bootstrap,
            bounds: birth.bounds,
            tolerated_machines: birth.tolerated_machines,
            seed: birth.seed,
        };
        let service = scheduler(birth.bounds);
        let node: Box<dyn Node> = Box::new(CoreNode::new(
            settings,
            birth.image,
            service,
            birth.now,
            outbox,
        ));
        node
    })
}

fn scheduler(bounds: Bounds) -> ServiceFactory {
    Box::new(move |now: Now, restored: Restored| {
        let service: Box<dyn Service + Send> =
            Box::new(Scheduler::new(SchedulerSettings { bounds }, now, restored));
        service
    })
}

/// Makes gateways.
pub fn frontend() -> Factory {
    Box::new(|birth: Birth, outbox: &mut Outbox| {
        let settings = GatewaySettings {
            node: birth.node,
            incarnation: birth.incarnation,
            seeds: birth.seeds,
            bounds: birth.bounds,
            seed: birth.seed,
        };
        let node: Box<dyn Node> = Box::new(GatewayNode::new(settings, birth.now, outbox));
        node
    })
}

/// Makes agents.
pub fn side() -> Factory {
    Box::new(|birth: Birth, outbox: &mut Outbox| {
        let settings = AgentSettings {
            node: birth.node,
            incarnation: birth.incarnation,
            seeds: birth.seeds,
            bounds: birth.bounds,
            heartbeat_ms: birth.heartbeat_ms,
            runner_address: None,
            seed: birth.seed,
        };
        let node: Box<dyn Node> = Box::new(AgentNode::new(settings, birth.now, outbox));
        node
    })
}
