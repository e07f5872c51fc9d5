//! The command line of the test program.

use clap::{Parser, Subcommand};
use sagetrail_fault_testing::{
    compare, html, play, table, Bad, Compared, Options, Scenario, FAULT_KINDS,
};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs real processes of sagetrail with faults between them and checks what runners and clients observed.
#[derive(Parser)]
#[command(name = "sagetrail-fault-testing", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct How {
    #[arg(long)]
    seed: Option<u64>,
    /// The number of dispatchers, 2 to 25, instead of the one in the scenario.
    #[arg(long)]
    processes: Option<usize>,
    /// The program to run; by default the one built beside this test program.
    #[arg(long, value_name = "PATH")]
    program: Option<PathBuf>,
    /// A setting for all dispatchers.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
}

impl How {
    fn options(self) -> Options {
        let How {
            seed,
            processes,
            program,
            set,
        } = self;
        Options {
            seed,
            processes,
            program,
            set,
            ..Options::default()
        }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario. Exit code 0: no violation; 1: violations were found and printed; 2: the scenario cannot be
    /// run.
    Play {
        file: PathBuf,
        #[command(flatten)]
        how: How,
        /// A broken variant of the program.
        #[arg(long = "break", value_name = "NAME")]
        broken: Option<String>,
        /// Writes the report as JSON.
        #[arg(long, value_name = "OUT")]
        json: Option<PathBuf>,
        /// Writes the report as an HTML page with charts.
        #[arg(long, value_name = "OUT")]
        html: Option<PathBuf>,
        /// Writes all that clients, runners and the list observed as JSON.
        #[arg(long, value_name = "OUT")]
        records: Option<PathBuf>,
        /// Writes the logs of the dispatchers to this folder.
        #[arg(long, value_name = "FOLDER")]
        logs: Option<PathBuf>,
    },
    /// Compares two variants on the same seeds. A variant is KEY=VALUE settings, break:NAME, or the path of a
    /// program.
    Compare {
        file: PathBuf,
        #[arg(long = "with", value_name = "A")]
        with: String,
        #[arg(long, value_name = "B")]
        against: String,
        #[arg(long, default_value_t = 5)]
        pairs: usize,
        #[command(flatten)]
        how: How,
    },
    /// Prints the table of a JSON report and writes an HTML page with charts.
    Report {
        json: PathBuf,
        #[arg(long, value_name = "OUT")]
        html: Option<PathBuf>,
    },
    /// Lists the faults and the broken variants.
    List,
}

fn write(path: &PathBuf, text: &str) -> Result<(), Bad> {
    std::fs::write(path, text).map_err(|error| Bad(format!("{}: {error}", path.display())))
}

fn run(command: Command) -> Result<u8, Bad> {
    match command {
        Command::Play {
            file,
            how,
            broken,
            json,
            html: page,
            records,
            logs,
        } => {
            let scenario = Scenario::read(&file)?;
            let outcome = play(
                &scenario,
                &Options {
                    broken,
                    logs,
                    ..how.options()
                },
            )?;
            let report = outcome.json();
            print!("{}", table(&report));
            json.map_or(Ok(()), |path| write(&path, &format!("{report:#}\n")))?;
            page.map_or(Ok(()), |path| write(&path, &html(&report)))?;
            let all = || serde_json::to_string(&outcome.records).unwrap_or_default();
            records.map_or(Ok(()), |path| write(&path, &all()))?;
            Ok(u8::from(!outcome.breaks.is_empty()))
        }
        Command::Compare {
            file,
            with,
            against,
            pairs,
            how,
        } => {
            let scenario = Scenario::read(&file)?;
            if !(1..=1000).contains(&pairs) {
                return Err(Bad(format!("{pairs} pairs are not from 1 to 1000")));
            }
            let compared = compare(&scenario, &how.options(), &with, &against, pairs, |line| {
                eprintln!("{line}")
            })?;
            println!(
                "{:<22} {with:>24} {against:>24} {:>12}  95 in 100",
                "figure", "difference"
            );
            for c in &compared {
                let (mean, low, high) = c.difference();
                println!(
                    "{:<22} {:>24.3} {:>24.3} {mean:>+12.3}  {low:+.3} to {high:+.3}",
                    c.figure,
                    Compared::mean(&c.with),
                    Compared::mean(&c.against)
                );
            }
            Ok(0)
        }
        Command::Report { json, html: page } => {
            let text = std::fs::read_to_string(&json)
                .map_err(|error| Bad(format!("{}: {error}", json.display())))?;
            let report = serde_json::from_str(&text)
                .map_err(|error| Bad(format!("{}: {error}", json.display())))?;
            print!("{}", table(&report));
            page.map_or(Ok(()), |path| write(&path, &html(&report)))?;
            Ok(0)
        }
        Command::List => {
            println!("faults:");
            FAULT_KINDS
                .iter()
                .for_each(|(name, on, what)| println!("  {name:<14} {on:<11} {what}"));
            println!("broken variants:");
            let all = sagetrail_settings::BROKEN_VARIANTS.iter();
            all.for_each(|(name, breaks, how)| println!("  {name:<18} {breaks:<15} {how}"));
            Ok(0)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code.into(),
        Err(Bad(why)) => {
            eprintln!("sagetrail-fault-testing: {why}");
            2.into()
        }
    }
}
