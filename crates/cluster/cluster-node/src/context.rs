//! What the logic of a process is made from.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::node::{DiskImage, Node, Now, Outbox};
use sagetrail_protocol::{Incarnation, NodeId};

use crate::settings::Settings;

/// What the logic of a process is made from; read once, at its start.
pub struct ProcessContext {
    /// The settings as the file gives them.
    pub settings: Settings,
    /// This process.
    pub node: NodeId,
    /// Its incarnation, drawn at this start.
    pub incarnation: Incarnation,
    /// Core processes to start from.
    pub seeds: Vec<NodeId>,
    /// The deployment's bounds, with defaults for missing keys.
    pub bounds: Bounds,
    /// Seeds the logic's random numbers; drawn at this start.
    pub seed: u64,
    /// Whether the process founds the cluster: only at the first start of the whole system, and never after its disk
    /// was replaced.
    pub bootstrap: bool,
    /// The rows on disk at the start; empty where there is no disk.
    pub image: DiskImage,
}

/// Makes the logic of a process; the outbox takes what it wants done at once.
pub type LogicFactory = fn(ProcessContext, Now, &mut Outbox) -> Box<dyn Node>;
