//! Runs a core process of a cluster.

use std::process::ExitCode;

use sagetrail_cluster_node::{core_process, start};
use sagetrail_protocol::NodeKind;

fn main() -> ExitCode {
    start::main(NodeKind::Core, core_process::make)
}
