//! The side process of a cluster.

use sagetrail_cluster_node::{side_process, start};
use sagetrail_protocol::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Side, side_process::make)
}
