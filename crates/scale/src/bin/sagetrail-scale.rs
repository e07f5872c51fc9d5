//! A scale run from a scenario file.
use sagetrail_scale::arguments::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match sagetrail_scale::run::run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sagetrail-scale: {error:#}");
            ExitCode::FAILURE
        }
    }
}
