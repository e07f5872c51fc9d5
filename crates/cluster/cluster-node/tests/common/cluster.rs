//! A cluster of real processes on addresses of loopback.

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
/// Nothing that is waited for takes longer.
const PATIENCE: Duration = Duration::from_secs(40);
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// A process that is killed where the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Three core processes, a frontend and a side.
pub(crate) struct Cluster {
    folder: PathBuf,
    net: [u8; 2],
    bootstrap: bool,
    cores: Vec<Option<Process>>,
    others: Vec<Process>,
}

/// Looks again and again until there is something.
pub(crate) fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(started.elapsed() < PATIENCE, "it does not come: {what}");
        std::thread::sleep(LOOK_AGAIN);
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
            others: Vec::new(),
        };
        for number in 0..CORES {
            cluster.cores.push(None);
            cluster.start_core(number);
        }
        let frontend = cluster.run(FRONTEND, FRONTEND_HOST);
        let side = cluster.run(SIDE, SIDE_HOST);
        cluster.others = vec![frontend, side];
        cluster.bootstrap = false;
        cluster
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net[0], self.net[1], host), port))
    }

    /// Where the operator calls a core process.
    pub(crate) fn core(&self, number: u8) -> SocketAddr {
        self.address(number + 1, CONTROL_PORT)
    }

    /// Where clients call.
    pub(crate) fn frontend(&self) -> SocketAddr {
        self.address(FRONTEND_HOST, CLIENT_PORT)
    }

    /// Where the platform asks whether the frontend is ready.
    pub(crate) fn readiness(&self) -> SocketAddr {
        self.address(FRONTEND_HOST, READINESS_PORT)
    }

    /// Where the runner calls.
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

    /// Starts a core process on the disk that it had.
    pub(crate) fn start_core(&mut self, number: u8) {
        let process = self.run(CORE, number + 1);
        self.cores[usize::from(number)] = Some(process);
    }

    /// Ends all processes by SIGTERM; how each ended.
    pub(crate) fn terminate(mut self) -> Vec<ExitStatus> {
        let cores = self.cores.drain(..).flatten();
        let all: Vec<Process> = self.others.drain(..).chain(cores).collect();
        for process in &all {
            let id = process.0.id().to_string();
            assert!(Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .unwrap()
                .success());
        }
        let end = |mut process: Process| until("its end", || process.0.try_wait().unwrap());
        all.into_iter().map(end).collect()
    }
}
