//! The dispatcher: reads the configuration, binds its addresses and starts its parts.

mod admin_api;
mod cli;
mod client_context;
mod clients;
mod clock;
mod descriptors;
mod discovery;
mod disk;
mod fleet;
mod forecast;
mod handover;
mod handover_socket;
mod http;
mod learned_state;
mod links;
mod logger;
mod mailbox;
mod runners;
mod serve;
mod shutdown;
mod site_failover;
mod sockets;
mod start;
mod store;
mod trial;

use clap::Parser;
use cli::{Cli, Command, ConfigArgs};
use start::Source;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn run(source: Source) -> Result<(), String> {
    // This comes before anything opens a descriptor that might be taken for the inherited one.
    let inherited = handover::inherited()?;
    let start = source.open()?;
    logger::start(start.json_log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, serve::serve(start, source, inherited))
}

/// Runs the dispatcher. Exits with 1 on a failure if it is started by the platform, and with 2 if the configuration
/// file of a command line cannot be used.
fn run_and_report(given: ConfigArgs, trial: bool) -> ExitCode {
    let failure_code = if given.config.is_some() { 2 } else { 1 };
    match run(given.source(trial)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            message
                .lines()
                .for_each(|line| eprintln!("sagetrail: {line}"));
            failure_code.into()
        }
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        None => run_and_report(ConfigArgs::default(), false),
        Some(Command::Run(given)) => run_and_report(given, false),
        Some(Command::Trial(given)) => run_and_report(given, true),
        Some(command) => match cli::run(command) {
            Ok(code) => code.into(),
            Err(error) => {
                eprintln!("sagetrail: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
