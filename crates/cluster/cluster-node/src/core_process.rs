//! A core process: it holds the register, takes part in elections, keeps records on disk and runs the scheduler while
//! it is elected.

use sagetrail_control_plane::{CoreNode, CoreSettings};
use sagetrail_protocol::node::{Node, Now, Outbox};
use sagetrail_protocol::service::{Service, ServiceFactory};
use sagetrail_scheduler::{CoreResources, Scheduler, SchedulerSettings};

use crate::context::ProcessContext;
use crate::settings::Limits;

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
    let factory = scheduler_factory(SchedulerSettings {
        bounds: context.bounds,
        resources: core_resources(&context.settings.limits),
    });
    Box::new(CoreNode::new(settings, context.image, factory, now, outbox))
}

fn core_resources(limits: &Limits) -> CoreResources {
    let disk_mb = limits.disk_mb.0;
    CoreResources {
        memory_mb: limits.memory_mb.0,
        disk_mb: (disk_mb > 0.0).then_some(disk_mb),
    }
}

fn scheduler_factory(settings: SchedulerSettings) -> ServiceFactory {
    Box::new(move |now, restored| {
        let scheduler = Scheduler::new(settings, now, restored);
        Box::new(scheduler) as Box<dyn Service + Send>
    })
}
