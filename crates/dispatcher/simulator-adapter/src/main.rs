//! Hosts sagetrail's decisions on the simulator's wire: standard input in, standard output out.

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
            .play(&batch, &mut reply)
            .map_err(|e| format!("batch at {} us: {e}", batch.clock_us))?;
        reply
            .write(&mut output)
            .map_err(|e| format!("writing a reply: {e}"))?;
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
