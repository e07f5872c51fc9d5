//! The frontend process of a cluster.
use sagetrail_daemon::{frontend_process, start};
use sagetrail_wire::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Frontend, frontend_process::make)
}
