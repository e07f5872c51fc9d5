//! A side process: the agent for the runner on its machine.

use sagetrail_agent::{AgentNode, AgentSettings};
use sagetrail_protocol::node::{Node, Now, Outbox};

use crate::context::ProcessContext;

/// Creates the logic of a side process.
pub fn make(context: ProcessContext, now: Now, outbox: &mut Outbox) -> Box<dyn Node> {
    let settings = AgentSettings {
        node: context.node,
        incarnation: context.incarnation,
        seeds: context.seeds,
        bounds: context.bounds,
        heartbeat_ms: context.settings.heartbeat_ms.rounded(),
        runner_address: context.settings.app,
        seed: context.seed,
    };
    Box::new(AgentNode::new(settings, now, outbox))
}
