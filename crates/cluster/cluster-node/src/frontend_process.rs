//! A frontend process: the gateway that clients send requests to.

use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::node::{Node, Now, Outbox};

use crate::context::ProcessContext;

/// Creates the logic of a frontend process.
pub fn make(context: ProcessContext, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = GatewaySettings {
        node: context.node,
        incarnation: context.incarnation,
        seeds: context.seeds,
        bounds: context.bounds,
        seed: context.seed,
    };
    Box::new(GatewayNode::new(settings, now, outbox))
}
