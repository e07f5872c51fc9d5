//! The real dispatcher: reads what it is told, binds its address and starts the parts.

mod admin_api;
mod cli;
mod client_context;
mod clients;
mod clock;
mod descriptors;
mod discovery;
mod disk;
mod fleet;
mod handover;
mod handover_socket;
mod http;
mod learnt;
mod links;
mod logger;
mod mailbox;
mod runners;
mod serve;
mod shutdown;
mod siting;
mod sockets;
mod start;
mod store;
mod trial;
mod whatif;

use clap::Parser;
use cli::{Cli, Command, Given};
use start::Source;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn run(source: Source) -> Result<(), String> {
    // Before anything opens a descriptor that might be taken for it.
    let inherited = handover::inherited()?;
    let start = source.open()?;
    logger::start(start.json_log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, serve::serve(start, source, inherited))
}

/// The platform's way ends with 1, as ever; a file that cannot be used with 2.
fn serves(given: Given, trial: bool) -> ExitCode {
    let fault = if given.config.is_some() { 2 } else { 1 };
    match run(given.source(trial)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            message
                .lines()
                .for_each(|line| eprintln!("sagetrail: {line}"));
            fault.into()
        }
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        None => serves(Given::default(), false),
        Some(Command::Run(given)) => serves(given, false),
        Some(Command::Trial(given)) => serves(given, true),
        Some(command) => match cli::run(command) {
            Ok(code) => code.into(),
            Err(why) => {
                eprintln!("sagetrail: {why}");
                ExitCode::FAILURE
            }
        },
    }
}
