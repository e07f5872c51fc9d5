//! Runs the dispatch policy behind the simulator's binary protocol: reads batches of events from standard input and
//! writes a reply to each to standard output.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let (mut batch, mut reply, mut process) = (
        frame::Batch::default(),
        frame::Reply::default(),
        host::Process::default(),
    );
    while batch.read(&mut input)? {
        process
            .handle_batch(&batch, &mut reply)
            .map_err(|error| format!("batch at {} us: {error}", batch.clock_us))?;
        reply
            .write(&mut output)
            .map_err(|error| format!("writing a reply: {error}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sagetrail-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
