//! A frontend process: the clients' gateway.

use sagetrail_gateway::{GatewayNode, GatewaySettings};
use sagetrail_protocol::node::{Node, Now, Outbox};

use crate::start::Ground;

/// Makes the logic of a frontend process.
pub fn make(ground: Ground, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = GatewaySettings {
        node: ground.node,
        incarnation: ground.incarnation,
        seeds: ground.seeds,
        bounds: ground.bounds,
        seed: ground.seed,
    };
    Box::new(GatewayNode::new(settings, now, outbox))
}
