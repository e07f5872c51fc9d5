//! The command line. Without a command the program runs as the platform starts it.

use crate::forecast;
use crate::start::{self, Source};
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Time-out of a call of the admin API: it answers within a second, and as much again is allowed for the network.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A dispatcher beside each submitter of jobs, pushing them to workers.
#[derive(Parser)]
#[command(name = "sagetrail", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Serves; by the page that $RELAY_CONFIG names, unless a file is given.
    Run(ConfigArgs),
    /// The same with settings for tests: clocks that are off, broken variants.
    Trial(ConfigArgs),
    /// Says all that is wrong with a configuration; opens nothing.
    Check {
        file: PathBuf,
        #[arg(long = "set", value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// The configuration as it would be used, with where each value came from.
    ShowConfig(ConfigArgs),
    /// The reference page of the configuration, or its JSON schema.
    Reference {
        #[arg(long)]
        schema: bool,
    },
    /// A call at an operators' door, such as `GET /stats` or `POST /runners/s-1/maint`.
    Console {
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        #[arg(default_value = "GET")]
        method: String,
        #[arg(default_value = "/stats")]
        path: String,
    },
    /// Who this dispatcher believes is there, and since when.
    Members {
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// What it shares: each budget's parts, counts, what is heard of runners.
    Shared {
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
    },
    /// What outlives a dispatcher: how its copy stands, settings for all, voters, backups.
    Store {
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// What the loss of each site, and of each two, would come to.
    Plan {
        #[command(subcommand)]
        look: PlanCommand,
    },
    /// Completions for a shell, on standard output.
    Completions { shell: Shell },
}

#[derive(Subcommand)]
pub(crate) enum StoreCommand {
    /// Role, leader, voters, version, who is out, what differs.
    Status {
        /// Also asks a majority whether all that was agreed by now is here.
        #[arg(long)]
        fresh: bool,
    },
    /// Proposes a TOML file as settings for all: checked whole first, taken up by all or by none.
    Propose { file: PathBuf },
    /// The version in force against the one before; or this dispatcher's copy against another's.
    Diff {
        #[arg(long, value_name = "ADDRESS")]
        with: Option<SocketAddr>,
    },
    /// Proposes the version before this one.
    Back,
    /// Writes what is agreed to a file.
    Backup { file: PathBuf },
    /// Has a backup's settings and words agreed anew.
    Restore { file: PathBuf },
    /// Another member is to vote.
    Add { name: String },
    /// A member is to vote no longer.
    Remove { name: String },
    /// Whether a member lends parts of budgets.
    Lend { name: String, what: String },
    /// Vouches for this dispatcher's disk, where those that could know better are gone for good.
    Trust,
}

#[derive(Subcommand)]
pub(crate) enum PlanCommand {
    /// All that is wrong or unwise about a configuration's plan.
    Check { file: PathBuf },
    /// A table: where load goes, what is refused at which load, when all is back.
    WhatIf {
        file: PathBuf,
        /// The same as a page with a chart.
        #[arg(long, value_name = "OUT")]
        html: Option<PathBuf>,
    },
}

#[derive(clap::Args, Default)]
pub(crate) struct ConfigArgs {
    /// TOML of the project's own, or the platform's page if it ends in .json.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Goes before the file and the environment.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
}

impl ConfigArgs {
    pub(crate) fn source(self, trial: bool) -> Source {
        Source {
            file: self.config,
            flags: self.set,
            trial,
        }
    }
}

/// Makes a call of the admin API and returns its status and body, or why there is no reply.
fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
    let describe = |error: std::io::Error| format!("the door at {at}: {error}");
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT).map_err(describe)?;
    stream
        .set_read_timeout(Some(CALL_TIMEOUT))
        .map_err(describe)?;
    let is_plain = |text: &str| text.bytes().all(|b| b.is_ascii_graphic());
    if !is_plain(method) || !is_plain(path) {
        return Err("a call is a method and a path".to_string());
    }
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {length}\r\n\r\n");
    write!(stream, "{head}{body}").map_err(describe)?;
    let mut response = String::new();
    stream.read_to_string(&mut response).map_err(describe)?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or(format!("the door at {at} does not answer"))?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok((
        status.ok_or(format!("the door at {at} answers in another language"))?,
        body.to_string(),
    ))
}

/// Makes a call without a body and prints the response; the exit code.
fn call_and_print(at: SocketAddr, method: &str, path: &str) -> Result<u8, String> {
    send_and_print(at, method, path, "")
}

/// Makes a call with a body and prints the response; the exit code.
fn send_and_print(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<u8, String> {
    let (status, body) = call(at, method, path, body)?;
    print!("{body}");
    Ok(u8::from(!(200..300).contains(&status)))
}

/// Prints in what the copies of the state at two dispatchers differ. Each dispatcher's own counters are left out.
fn diff_copies(at: SocketAddr, with: SocketAddr) -> Result<u8, String> {
    let state = |at| -> Result<Vec<String>, String> {
        let (_, status) = call(at, "GET", "/store", "")?;
        let (_, backup) = call(at, "GET", "/store/backup", "")?;
        let is_shared = |line: &&str| {
            ["voters", "settings", "out ", "words "]
                .iter()
                .any(|word| line.starts_with(word))
        };
        Ok(status
            .lines()
            .filter(is_shared)
            .chain(backup.lines())
            .map(str::to_string)
            .collect())
    };
    let (ours, theirs) = (state(at)?, state(with)?);
    ours.iter()
        .filter(|line| !theirs.contains(line))
        .for_each(|line| println!("{at} {line}"));
    theirs
        .iter()
        .filter(|line| !ours.contains(line))
        .for_each(|line| println!("{with} {line}"));
    Ok(u8::from(ours != theirs))
}

/// Carries out a command on the store; the exit code.
fn store(at: SocketAddr, what: StoreCommand) -> Result<u8, String> {
    let read = |file: &PathBuf| {
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))
    };
    match what {
        StoreCommand::Status { fresh: false } => call_and_print(at, "GET", "/store"),
        StoreCommand::Status { fresh: true } => call_and_print(at, "GET", "/store/fresh"),
        StoreCommand::Propose { file } => {
            send_and_print(at, "POST", "/store/propose", &read(&file)?)
        }
        StoreCommand::Diff { with: None } => call_and_print(at, "GET", "/store/diff"),
        StoreCommand::Diff { with: Some(with) } => diff_copies(at, with),
        StoreCommand::Back => call_and_print(at, "POST", "/store/back"),
        StoreCommand::Backup { file } => {
            let (status, body) = call(at, "GET", "/store/backup", "")?;
            if status != 200 {
                return Err(body.trim_end().to_string());
            }
            std::fs::write(&file, body).map_err(|error| format!("{}: {error}", file.display()))?;
            Ok(0)
        }
        StoreCommand::Restore { file } => {
            send_and_print(at, "POST", "/store/restore", &read(&file)?)
        }
        StoreCommand::Add { name } => call_and_print(at, "POST", &format!("/store/add/{name}")),
        StoreCommand::Remove { name } => {
            call_and_print(at, "POST", &format!("/store/remove/{name}"))
        }
        StoreCommand::Lend { name, what } => {
            call_and_print(at, "POST", &format!("/store/lend/{name}/{what}"))
        }
        StoreCommand::Trust => call_and_print(at, "POST", "/store/trust"),
    }
}

/// Prints the configuration with the origin of each value; the exit code.
fn show(given: &ConfigArgs) -> Result<u8, String> {
    let Some(file) = &given.config else {
        return Err("show-config needs --config FILE".to_string());
    };
    let read = sagetrail_settings::read(&start::layers(file, &given.set)?)
        .map_err(|faults| faults.join("\n"))?;
    for (path, value) in &read.values {
        println!("{path} = {}  # {}", value.value, value.origin);
    }
    for key in sagetrail_settings::KEYS
        .iter()
        .filter(|key| !key.path.contains("[]") && !read.values.contains_key(key.path))
    {
        if !["", "none"].contains(&key.default) {
            println!("{} = {}  # default", key.path, key.default);
        }
    }
    Ok(0)
}

/// Carries out all commands except those that run the dispatcher; the exit code.
pub(crate) fn run(command: Command) -> Result<u8, String> {
    match command {
        Command::Run(_) | Command::Trial(_) => Ok(0),
        Command::Check { file, set } => {
            let source = Source {
                file: Some(file),
                flags: set,
                trial: true,
            };
            match source.open() {
                Ok(_) => Ok(0),
                Err(why) => {
                    println!("{why}");
                    Ok(1)
                }
            }
        }
        Command::ShowConfig(given) => show(&given),
        Command::Reference { schema: true } => {
            println!("{:#}", sagetrail_settings::schema());
            Ok(0)
        }
        Command::Reference { schema: false } => {
            print!("{}", sagetrail_settings::reference_page());
            Ok(0)
        }
        Command::Console { at, method, path } => call_and_print(at, &method.to_uppercase(), &path),
        Command::Members { at } => call_and_print(at, "GET", "/members"),
        Command::Shared { at } => call_and_print(at, "GET", "/shared"),
        Command::Store { at, what } => store(at, what),
        Command::Plan {
            look: PlanCommand::Check { file },
        } => match sagetrail_settings::read(&start::layers(&file, &[])?) {
            Ok(read) => {
                read.warnings
                    .iter()
                    .for_each(|line| println!("unwise: {line}"));
                Ok(0)
            }
            Err(faults) => {
                faults.iter().for_each(|line| println!("{line}"));
                Ok(1)
            }
        },
        Command::Plan {
            look: PlanCommand::WhatIf { file, html },
        } => {
            let read = sagetrail_settings::read(&start::layers(&file, &[])?)
                .map_err(|faults| faults.join("\n"))?;
            let losses = read.plan.forecast_all();
            if losses.is_empty() {
                return Err("the plan names no two sites: there is nothing to lose".to_string());
            }
            print!("{}", forecast::table(&losses));
            if let Some(path) = html {
                let page = forecast::page(&losses);
                std::fs::write(&path, page)
                    .map_err(|error| format!("{}: {error}", path.display()))?;
            }
            Ok(0)
        }
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "sagetrail",
                &mut std::io::stdout(),
            );
            Ok(0)
        }
    }
}
