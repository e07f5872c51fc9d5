//! A cluster of real processes on loopback addresses.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::time::{Duration, Instant};

use super::folder;

const CORE: &str = env!("CARGO_BIN_EXE_sagetrail-core");
const FRONTEND: &str = env!("CARGO_BIN_EXE_sagetrail-frontend");
const SIDE: &str = env!("CARGO_BIN_EXE_sagetrail-side");
const CORES: u8 = 3;
const FRONTEND_HOST: u8 = 11;
const SIDE_HOST: u8 = 21;
const CONTROL_PORT: u16 = 7300;
const CLIENT_PORT: u16 = 7301;
const READINESS_PORT: u16 = 7302;
/// The time-out of [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A process that is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Three core processes, a frontend process and a side process.
pub(crate) struct Cluster {
    folder: PathBuf,
    /// The second and third byte of all addresses, so that test runs at the same time use different addresses.
    net: [u8; 2],
    /// The value of `bootstrap` in the settings of processes that are started from now on.
    bootstrap: bool,
    /// The core processes by number; `None` for one that was killed.
    cores: Vec<Option<Process>>,
    /// The frontend process and the side process.
    frontend_and_side: Vec<Process>,
}

/// Polls until there is a value, and returns it. Panics after [`WAIT_TIMEOUT`].
pub(crate) fn wait_until<T>(event: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {event}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl Cluster {
    /// Starts all processes for the first time.
    pub(crate) fn start() -> Cluster {
        let id = std::process::id();
        let net = [(id >> 7) as u8 | 0x80, (id & 0x7f) as u8];
        let folder = folder("cluster");
        let mut cluster = Cluster {
            folder,
            net,
            bootstrap: true,
            cores: Vec::new(),
            frontend_and_side: Vec::new(),
        };
        for number in 0..CORES {
            cluster.cores.push(None);
            cluster.start_core(number);
        }
        let frontend = cluster.run(FRONTEND, FRONTEND_HOST);
        let side = cluster.run(SIDE, SIDE_HOST);
        cluster.frontend_and_side = vec![frontend, side];
        cluster.bootstrap = false;
        cluster
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net[0], self.net[1], host), port))
    }

    /// Returns the address at which a core process takes requests of the operator.
    pub(crate) fn core(&self, number: u8) -> SocketAddr {
        self.address(number + 1, CONTROL_PORT)
    }

    /// Returns the address for requests of clients.
    pub(crate) fn frontend(&self) -> SocketAddr {
        self.address(FRONTEND_HOST, CLIENT_PORT)
    }

    /// Returns the address of the frontend's readiness check.
    pub(crate) fn readiness(&self) -> SocketAddr {
        self.address(FRONTEND_HOST, READINESS_PORT)
    }

    /// Returns the address to which the runner sends its heartbeats.
    pub(crate) fn side(&self) -> SocketAddr {
        self.address(SIDE_HOST, CONTROL_PORT)
    }

    fn run(&self, program: &str, host: u8) -> Process {
        let path = self.folder.join(format!("settings-{host}.toml"));
        std::fs::write(&path, self.settings(host)).unwrap();
        Process(
            Command::new(program)
                .arg("--settings")
                .arg(&path)
                .spawn()
                .unwrap(),
        )
    }

    fn settings(&self, host: u8) -> String {
        let seeds: Vec<String> = (0..CORES)
            .map(|number| format!("\"{}\"", self.core(number)))
            .collect();
        let mut text = format!(
            "node_name = \"n{host}\"\nip = \"{}\"\nzone = \"z\"\nport_range = [7380, 7395]\nseeds = [{}]\n\
             bootstrap = {}\nheartbeat_ms = 100\ndata_dir = {:?}\n[bind_addrs]\ncontrol = \"{}\"\n",
            self.address(host, 0).ip(),
            seeds.join(", "),
            self.bootstrap,
            self.folder.join(format!("disk-{host}")),
            self.address(host, CONTROL_PORT)
        );
        if host == FRONTEND_HOST {
            text += &format!(
                "frontend = \"{}\"\nreadiness = \"{}\"\n",
                self.frontend(),
                self.readiness()
            );
        }
        text + "[fault_tolerance]\nmachines = 1\n[bounds]\ngrace_s = 6\n"
    }

    /// Kills a core process.
    pub(crate) fn kill_core(&mut self, number: u8) {
        self.cores[usize::from(number)] = None;
    }

    /// Starts a core process with its data folder, which keeps its content between starts.
    pub(crate) fn start_core(&mut self, number: u8) {
        let process = self.run(CORE, number + 1);
        self.cores[usize::from(number)] = Some(process);
    }

    /// Ends all processes by SIGTERM and returns their exit statuses.
    pub(crate) fn terminate(mut self) -> Vec<ExitStatus> {
        let cores = self.cores.drain(..).flatten();
        let all: Vec<Process> = self.frontend_and_side.drain(..).chain(cores).collect();
        for process in &all {
            let id = process.0.id().to_string();
            assert!(Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success());
        }
        let wait_for_exit = |mut process: Process| {
            wait_until("the process exits", || process.0.try_wait().unwrap())
        };
        all.into_iter().map(wait_for_exit).collect()
    }
}
