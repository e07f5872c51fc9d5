//! The side process of a cluster.
use sagetrail_daemon::{side_process, start};
use sagetrail_wire::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Side, side_process::make)
}
