//! The real processes of a run.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use sagetrail_protocol::NodeKind;

use crate::addresses::Addresses;
use crate::program::Program;
use crate::scenario::Scenario;
use crate::settings::{write, Machine};

/// In a core process's log: it has become the scheduler of a term.
const TERM_MARK: &str = "term ";
/// A process gets so long to start.
const START_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Core, frontend and, where wanted, side processes.
pub struct Cluster {
    /// `sagetrail-core`.
    pub cores: Vec<Program>,
    /// `sagetrail-frontend`.
    pub frontends: Vec<Program>,
    /// `sagetrail-side`; empty where agents are simulated.
    pub sides: Vec<Program>,
}

struct ProcessStarter<'a> {
    scenario: &'a Scenario,
    addresses: Addresses,
    programs: &'a Path,
    folder: &'a Path,
}

impl ProcessStarter<'_> {
    fn start(&self, kind: NodeKind, number: u32, ip: Ipv4Addr) -> anyhow::Result<Program> {
        let settings = self.write(kind, number, ip, true)?;
        Program::start(
            self.programs.join(format!("sagetrail-{}", class(kind))),
            settings,
        )
    }

    /// Waits for a process's first line, which it writes once it has read its settings.
    fn wait_for_log(&self, program: &Program) -> anyhow::Result<()> {
        let started = Instant::now();
        while std::fs::metadata(program.log())?.len() == 0 {
            anyhow::ensure!(
                started.elapsed() < START_TIMEOUT,
                "no start: {}",
                program.log().display()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn write(
        &self,
        kind: NodeKind,
        number: u32,
        ip: Ipv4Addr,
        bootstrap: bool,
    ) -> anyhow::Result<PathBuf> {
        let name = format!("{}-{number}", class(kind));
        let machine = Machine {
            kind,
            name: &name,
            ip,
            folder: self.folder,
            bootstrap,
        };
        write(self.scenario, self.addresses, &machine)
    }
}

fn class(kind: NodeKind) -> &'static str {
    match kind {
        NodeKind::Core => "core",
        NodeKind::Frontend => "frontend",
        NodeKind::Side => "side",
    }
}

impl Cluster {
    /// Starts all real processes for the first time.
    pub fn start(
        scenario: &Scenario,
        addresses: Addresses,
        programs: &Path,
        folder: &Path,
    ) -> anyhow::Result<Cluster> {
        let founder = ProcessStarter {
            scenario,
            addresses,
            programs,
            folder,
        };
        let mut cluster = Cluster {
            cores: Vec::new(),
            frontends: Vec::new(),
            sides: Vec::new(),
        };
        for number in 0..scenario.cores {
            cluster
                .cores
                .push(founder.start(NodeKind::Core, number, addresses.core_ip(number))?);
        }
        for number in 0..scenario.frontends {
            cluster.frontends.push(founder.start(
                NodeKind::Frontend,
                number,
                addresses.frontend_ip(number),
            )?);
        }
        let sides = if scenario.real_sides {
            scenario.workers
        } else {
            0
        };
        for number in 0..sides {
            cluster.sides.push(founder.start(
                NodeKind::Side,
                number,
                addresses.worker_ip(number),
            )?);
        }
        for number in 0..scenario.cores {
            // Each has read its file by the time that it would start again.
            founder.wait_for_log(&cluster.cores[number as usize])?;
            founder.write(NodeKind::Core, number, addresses.core_ip(number), false)?;
        }
        Ok(cluster)
    }

    /// The scheduler's place among the core processes: whose log tells the newest term.
    pub fn scheduler(&self) -> Option<usize> {
        let newest = |core: &Program| newest_term(core.log());
        let terms = self
            .cores
            .iter()
            .enumerate()
            .filter_map(|(place, core)| Some((newest(core)?, place)));
        terms.max().map(|(_, place)| place)
    }

    /// Terms that have begun, by the core processes' logs.
    pub fn terms(&self) -> u64 {
        let logs = self
            .cores
            .iter()
            .filter_map(|core| std::fs::read_to_string(core.log()).ok());
        logs.map(|log| log.lines().filter(|line| term_of(line).is_some()).count() as u64)
            .sum()
    }

    /// Ends all processes; their logs stay.
    pub fn end(&mut self) {
        let all = self
            .sides
            .iter_mut()
            .chain(&mut self.frontends)
            .chain(&mut self.cores);
        let all: Vec<&mut Program> = all.collect();
        all.iter()
            .for_each(|program| program.signal(Signal::SIGTERM));
        all.into_iter().for_each(Program::wait);
    }
}

fn newest_term(log: &Path) -> Option<u64> {
    let text = std::fs::read_to_string(log).ok()?;
    text.lines().filter_map(term_of).max()
}

/// The term in a line of the log that tells of its start.
pub fn term_of(line: &str) -> Option<u64> {
    let (_, after) = line.split_once(TERM_MARK)?;
    let (term, rest) = after.split_once(':')?;
    rest.contains("scheduler starts")
        .then(|| term.parse().ok())
        .flatten()
}

/// The folder of the programs: beside this one.
pub fn own_folder() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    Ok(own.parent().map_or_else(PathBuf::new, Path::to_path_buf))
}
