//! The core process of a cluster.

use sagetrail_cluster_node::{core_process, start};
use sagetrail_protocol::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Core, core_process::make)
}
