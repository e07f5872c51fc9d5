//! A core process: register, elections, records on disk, and the scheduler where it is elected.

use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Node, Now, Outbox};
use sagetrail_protocol::service::{Service, ServiceFactory};
use sagetrail_scheduler::{Scheduler, SchedulerSettings};

use crate::start::Ground;

/// Makes the logic of a core process.
pub fn make(ground: Ground, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = CoreSettings {
        node: ground.node,
        incarnation: ground.incarnation,
        seeds: ground.seeds,
        bootstrap: ground.bootstrap,
        bounds: ground.bounds,
        tolerated_machines: ground.settings.fault_tolerance.machines,
        seed: ground.seed,
    };
    let factory = scheduler_factory(ground.bounds);
    Box::new(CoreNode::new(settings, ground.image, factory, now, outbox))
}

fn scheduler_factory(bounds: Bounds) -> ServiceFactory {
    Box::new(move |now, restored| {
        let scheduler = Scheduler::new(SchedulerSettings { bounds }, now, restored);
        Box::new(scheduler) as Box<dyn Service + Send>
    })
}
