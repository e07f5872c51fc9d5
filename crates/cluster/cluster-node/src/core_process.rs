//! A core process: it holds the register, takes part in elections, keeps records on disk and runs the scheduler while
//! it is elected.

use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{Node, Now, Outbox};
use sagetrail_protocol::service::{Service, ServiceFactory};
use sagetrail_scheduler::{Scheduler, SchedulerSettings};

use crate::context::ProcessContext;

/// Creates the logic of a core process.
pub fn make(context: ProcessContext, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = CoreSettings {
        node: context.node,
        incarnation: context.incarnation,
        seeds: context.seeds,
        bootstrap: context.bootstrap,
        bounds: context.bounds,
        tolerated_machines: context.settings.fault_tolerance.machines,
        seed: context.seed,
    };
    let factory = scheduler_factory(context.bounds);
    Box::new(CoreNode::new(settings, context.image, factory, now, outbox))
}

fn scheduler_factory(bounds: Bounds) -> ServiceFactory {
    Box::new(move |now, restored| {
        let scheduler = Scheduler::new(SchedulerSettings { bounds }, now, restored);
        Box::new(scheduler) as Box<dyn Service + Send>
    })
}
