//! The input from which the logic of a process is created.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, Node, Now, Outbox};
use sagetrail_protocol::{Incarnation, NodeId};

use crate::settings::Settings;

/// The input from which the logic of a process is created, once, at its start.
pub struct ProcessContext {
    /// The parsed settings file.
    pub settings: Settings,
    /// The id of this process.
    pub node: NodeId,
    /// The incarnation of this process, drawn at random at this start.
    pub incarnation: Incarnation,
    /// The core processes that are contacted first.
    pub seeds: Vec<NodeId>,
    /// The time limits and tolerances of the deployment, with defaults for missing keys.
    pub bounds: Bounds,
    /// The seed of the logic's random numbers, drawn at this start.
    pub seed: u64,
    /// Whether the process bootstraps the cluster. This is true only at the first start of the whole system, and never
    /// after the process's disk was replaced.
    pub bootstrap: bool,
    /// The rows on disk at the start; empty if the process has no disk.
    pub image: DiskImage,
}

/// Creates the logic of a process and adds its first writes, messages and health checks to the outbox.
pub type LogicFactory = fn(ProcessContext, Now, &mut Outbox) -> Box<dyn Node>;
