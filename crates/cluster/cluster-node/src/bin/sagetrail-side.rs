//! Runs a side process of a cluster.

use std::process::ExitCode;

use sagetrail_cluster_node::{side_process, start};
use sagetrail_protocol::NodeKind;

fn main() -> ExitCode {
    start::main(NodeKind::Side, side_process::make)
}
