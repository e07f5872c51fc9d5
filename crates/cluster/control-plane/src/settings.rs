//! What a core process is told at its start.

use sagetrail_protocol::bounds::Bounds;
use sagetrail_protocol::{Incarnation, NodeId};

/// The settings of a core process.
#[derive(Clone, Debug, PartialEq)]
pub struct CoreSettings {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// Core processes to start from; the first one founds.
    pub seeds: Vec<NodeId>,
    /// True when the whole system starts for the first time.
    pub bootstrap: bool,
    pub bounds: Bounds,
    /// So many core machines may be lost at once.
    pub tolerated_machines: u32,
    /// Seeds all jitter.
    pub seed: u64,
}
