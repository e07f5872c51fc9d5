//! The frontend process of a cluster.

use sagetrail_cluster_node::{frontend_process, start};
use sagetrail_protocol::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Frontend, frontend_process::make)
}
