//! The core process of a cluster.
use sagetrail_daemon::{core_process, start};
use sagetrail_wire::NodeKind;
use std::process::ExitCode;

fn main() -> ExitCode {
    start::main(NodeKind::Core, core_process::make)
}
