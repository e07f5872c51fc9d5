//! The command line. Without a command it is `run` by the platform's page.

use crate::start::{self, Source};
use crate::whatif;
use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use sagetrail_settings as setup;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// The door answers within a second; as much again for the way.
const CALL: Duration = Duration::from_secs(2);

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
    Run(Given),
    /// The same with settings for tests: clocks that are off, broken variants.
    Trial(Given),
    /// Says all that is wrong with a configuration; opens nothing.
    Check {
        file: PathBuf,
        #[arg(long = "set", value_name = "KEY=VALUE")]
        set: Vec<String>,
    },
    /// The configuration as it would be used, with where each value came from.
    ShowConfig(Given),
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
        what: Stored,
    },
    /// What the loss of each site, and of each two, would come to.
    Plan {
        #[command(subcommand)]
        look: Look,
    },
    /// Completions for a shell, on standard output.
    Completions { shell: Shell },
}

#[derive(Subcommand)]
pub(crate) enum Stored {
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
pub(crate) enum Look {
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
pub(crate) struct Given {
    /// TOML of the project's own, or the platform's page if it ends in .json.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Goes before the file and the environment.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub set: Vec<String>,
}

impl Given {
    pub(crate) fn source(self, trial: bool) -> Source {
        Source {
            file: self.config,
            flags: self.set,
            trial,
        }
    }
}

/// One call at a door; the answer's body, or why there is none.
fn call(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<(u16, String), String> {
    let said = |error: std::io::Error| format!("the door at {at}: {error}");
    let mut stream = TcpStream::connect_timeout(&at, CALL).map_err(said)?;
    stream.set_read_timeout(Some(CALL)).map_err(said)?;
    let plain = |text: &str| text.bytes().all(|b| b.is_ascii_graphic());
    if !plain(method) || !plain(path) {
        return Err("a call is a method and a path".to_string());
    }
    let length = body.len();
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nContent-Length: {length}\r\n\r\n");
    write!(stream, "{head}{body}").map_err(said)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(said)?;
    let (head, body) = answer
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

fn ask(at: SocketAddr, method: &str, path: &str) -> Result<u8, String> {
    say(at, method, path, "")
}

fn say(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<u8, String> {
    let (status, body) = call(at, method, path, body)?;
    print!("{body}");
    Ok(u8::from(!(200..300).contains(&status)))
}

/// What two dispatchers' copies say otherwise. Each has figures of its own, which are no difference.
fn copies(at: SocketAddr, with: SocketAddr) -> Result<u8, String> {
    let state = |at| -> Result<Vec<String>, String> {
        let (_, status) = call(at, "GET", "/store", "")?;
        let (_, kept) = call(at, "GET", "/store/backup", "")?;
        let same = |line: &&str| {
            ["voters", "settings", "out ", "words "]
                .iter()
                .any(|word| line.starts_with(word))
        };
        Ok(status
            .lines()
            .filter(same)
            .chain(kept.lines())
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

fn store(at: SocketAddr, what: Stored) -> Result<u8, String> {
    let read = |file: &PathBuf| {
        std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))
    };
    match what {
        Stored::Status { fresh: false } => ask(at, "GET", "/store"),
        Stored::Status { fresh: true } => ask(at, "GET", "/store/fresh"),
        Stored::Propose { file } => say(at, "POST", "/store/propose", &read(&file)?),
        Stored::Diff { with: None } => ask(at, "GET", "/store/diff"),
        Stored::Diff { with: Some(with) } => copies(at, with),
        Stored::Back => ask(at, "POST", "/store/back"),
        Stored::Backup { file } => {
            let (status, body) = call(at, "GET", "/store/backup", "")?;
            if status != 200 {
                return Err(body.trim_end().to_string());
            }
            std::fs::write(&file, body).map_err(|error| format!("{}: {error}", file.display()))?;
            Ok(0)
        }
        Stored::Restore { file } => say(at, "POST", "/store/restore", &read(&file)?),
        Stored::Add { name } => ask(at, "POST", &format!("/store/add/{name}")),
        Stored::Remove { name } => ask(at, "POST", &format!("/store/remove/{name}")),
        Stored::Lend { name, what } => ask(at, "POST", &format!("/store/lend/{name}/{what}")),
        Stored::Trust => ask(at, "POST", "/store/trust"),
    }
}

fn show(given: &Given) -> Result<u8, String> {
    let Some(file) = &given.config else {
        return Err("show-config needs --config FILE".to_string());
    };
    let read =
        setup::read(&start::layers(file, &given.set)?).map_err(|faults| faults.join("\n"))?;
    for (path, value) in &read.values {
        println!("{path} = {}  # {}", value.value, value.origin);
    }
    for key in setup::KEYS
        .iter()
        .filter(|key| !key.path.contains("[]") && !read.values.contains_key(key.path))
    {
        if !["", "none"].contains(&key.default) {
            println!("{} = {}  # default", key.path, key.default);
        }
    }
    Ok(0)
}

/// All commands but those that serve; the exit code.
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
            println!("{:#}", setup::schema());
            Ok(0)
        }
        Command::Reference { schema: false } => {
            print!("{}", setup::page());
            Ok(0)
        }
        Command::Console { at, method, path } => ask(at, &method.to_uppercase(), &path),
        Command::Members { at } => ask(at, "GET", "/members"),
        Command::Shared { at } => ask(at, "GET", "/shared"),
        Command::Store { at, what } => store(at, what),
        Command::Plan {
            look: Look::Check { file },
        } => match setup::read(&start::layers(&file, &[])?) {
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
            look: Look::WhatIf { file, html },
        } => {
            let read =
                setup::read(&start::layers(&file, &[])?).map_err(|faults| faults.join("\n"))?;
            let losses = read.plan.forecast_all();
            if losses.is_empty() {
                return Err("the plan names no two sites: there is nothing to lose".to_string());
            }
            print!("{}", whatif::table(&losses));
            if let Some(path) = html {
                let page = whatif::page(&losses);
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
