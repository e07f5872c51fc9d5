//! A scale run from a scenario file.

use std::process::ExitCode;

use sagetrail_scale_testing::arguments::Arguments;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match sagetrail_scale_testing::run::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sagetrail-scale-testing: {error:#}");
            ExitCode::FAILURE
        }
    }
}
