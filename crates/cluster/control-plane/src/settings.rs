//! The settings with which a core process starts.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings of a core process.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreSettings {
    /// The address of this process, by which the others know it.
    pub node: NodeId,
    /// Differs between two starts of this process.
    pub incarnation: Incarnation,
    /// Core processes to start from; the first one bootstraps the cluster.
    pub seeds: Vec<NodeId>,
    /// True when the whole cluster starts for the first time.
    pub bootstrap: bool,
    /// The bounds of time that the operators state.
    pub bounds: Bounds,
    /// How many core machines may be lost at once.
    pub tolerated_machines: u32,
    /// Seeds all jitter.
    pub seed: u64,
}
