//! A side process: the agent of the runner on its machine.

use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_protocol::node::{Node, Now, Outbox};

use crate::start::Ground;

/// Makes the logic of a side process.
pub fn make(ground: Ground, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = AgentSettings {
        node: ground.node,
        incarnation: ground.incarnation,
        seeds: ground.seeds,
        bounds: ground.bounds,
        heartbeat_ms: ground.settings.heartbeat_ms.whole(),
        runner_address: ground.settings.app,
        seed: ground.seed,
    };
    Box::new(AgentNode::new(settings, now, outbox))
}
