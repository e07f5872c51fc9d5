//! Runs a frontend process of a cluster.

use std::process::ExitCode;

use sagetrail_cluster_node::{frontend_process, start};
use sagetrail_protocol::NodeKind;

fn main() -> ExitCode {
    start::main(NodeKind::Frontend, frontend_process::make)
}
