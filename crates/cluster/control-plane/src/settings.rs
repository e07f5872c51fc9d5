//! The settings of a core process.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings with which a core process starts.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreSettings {
    /// The address of this process, which identifies it to other processes.
    pub node: NodeId,
    /// The incarnation of this process, which is different at each start.
    pub incarnation: Incarnation,
    /// The core processes that this process contacts first. The first of them bootstraps the cluster.
    pub seeds: Vec<NodeId>,
    /// Whether the whole cluster starts for the first time.
    pub bootstrap: bool,
    /// The time bounds that the operators have set.
    pub bounds: Bounds,
    /// The number of core machines that may be lost at once.
    pub tolerated_machines: u32,
    /// The seed of all random jitter.
    pub seed: u64,
}
