//! The project's programs as separate processes, started with the commands of the deploy file, each with an address of
//! its own under 127/8.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

pub const CORES: u8 = 5;
pub const FRONTENDS: u8 = 2;
const CONTROL: u16 = 8144;
const APP: u16 = 8145;
const READINESS: u16 = 8141;
const CLIENTS: u16 = 8149;
const FIRST_PORT: u16 = 7380;
pub const HOST: &str = "ficu95.example";

/// The bounds of a small deployment, as its settings give them.
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
    drain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
    skew_max_ms = 5000\nrecovery_s = 12\nhold_max_ms = 10000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\n\
    visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 100\n";

pub struct Cluster {
    net: [u8; 2],
    folder: PathBuf,
    commands: Vec<(String, Vec<String>)>,
    processes: Vec<Child>,
    sides: u8,
    service: String,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
        }
        for process in &mut self.processes {
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cluster {
    /// Starts all processes of a new cluster with `sides` machines that each have a runner of `service`.
    pub fn start(sides: u8, service: &str) -> Result<Cluster, String> {
        let id = std::process::id();
        let mut cluster = Cluster {
            net: free_net(id)?,
            folder: std::env::temp_dir().join(format!("sagetrail-review-{id}")),
            commands: read_commands(Path::new("deploy/system.toml"))?,
            processes: Vec::new(),
            sides,
            service: service.to_owned(),
        };
        std::fs::create_dir_all(&cluster.folder).map_err(|error| error.to_string())?;
        for number in 0..CORES {
            cluster.run("core", 1 + number)?;
        }
        for number in 0..FRONTENDS {
            cluster.run("frontend", 21 + number)?;
        }
        for number in 0..sides {
            cluster.run("side", 41 + number)?;
        }
        Ok(cluster)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.net[0], self.net[1], host), port))
    }

    pub fn core(&self, number: u8) -> SocketAddr {
        self.address(1 + number % CORES, CONTROL)
    }

    pub fn frontend(&self, number: u8) -> SocketAddr {
        self.address(21 + number % FRONTENDS, CLIENTS)
    }

    /// The address to which the runner of this machine sends its heartbeats.
    pub fn side(&self, number: u8) -> SocketAddr {
        self.address(41 + number, CONTROL)
    }

    /// The address at which the runner of this machine accepts calls.
    pub fn app(&self, number: u8) -> SocketAddr {
        self.address(41 + number, APP)
    }

    fn run(&mut self, role: &str, host: u8) -> Result<(), String> {
        let settings = self.folder.join(format!("{role}-{host}.toml"));
        let log = self.folder.join(format!("{role}-{host}.log"));
        std::fs::write(&settings, self.settings(role, host)).map_err(|error| error.to_string())?;
        let log = std::fs::File::create(log).map_err(|error| error.to_string())?;
        let command = self
            .commands
            .iter()
            .find(|(name, _)| name == role)
            .map(|(_, command)| command)
            .ok_or_else(|| format!("no role {role} in the deploy file"))?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("SAGETRAIL_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", command[0]))?;
        self.processes.push(child);
        Ok(())
    }

    fn settings(&self, role: &str, host: u8) -> String {
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.core(seed)))
            .collect();
        let (serves, memory) = match role {
            "core" => ("control_plane", 256),
            "frontend" => ("frontend", 260),
            _ => ("side", 128),
        };
        let mut text = format!(
            "node_name = \"{role}-{host}\"\nrole = \"{role}\"\nmachine_class = \"{role}\"\nserves = [\"{serves}\"]\n\
             ip = \"{}\"\nzone = \"z1\"\nregion = \"r\"\nport_range = [{FIRST_PORT},{}]\nseeds = [{}]\n\
             bootstrap = true\ncounts_for_quorum = {}\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"heartbeat\"\n",
            self.address(host, 0).ip(),
            FIRST_PORT + 15,
            seeds.join(","),
            role == "core",
        );
        match role {
            "core" => {
                let data = self.folder.join(format!("data-{host}"));
                text += &format!("data_dir = \"{}\"\n", data.display());
            }
            "side" => {
                text += &format!(
                    "app = \"{}\"\nservice = \"{}\"\n",
                    self.address(host, APP),
                    self.service
                );
            }
            _ => {}
        }
        text += "[zones]\nz1 = \"r\"\n[bind_addrs]\n";
        text += &match role {
            "frontend" => format!(
                "frontend = \"{}\"\nreadiness = \"{}\"\n",
                self.address(host, CLIENTS),
                self.address(host, READINESS)
            ),
            _ => format!("control = \"{}\"\n", self.address(host, CONTROL)),
        };
        text += &format!("[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = {memory}\nmax_fds = 4096\nlink_mbps = 1000.0\n");
        text +=
            &format!("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}");
        text
    }

    /// Sends the first configuration until it is taken, then waits until all frontends are ready.
    pub fn configure(&self, document: &str, record: &Arc<Record>) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        let limit = Duration::from_secs(2);
        for number in (0..CORES).cycle() {
            let mut connection = Connection::new(self.core(number));
            let answer = connection.call(
                "POST",
                "control",
                "/v1/config/replace",
                "Base-Version: 0\r\n",
                document,
                limit,
            );
            match answer {
                Ok(answer) if answer.status == 200 => break,
                Ok(answer) if answer.status == 400 => {
                    return Err(format!("configuration refused: {}", answer.body))
                }
                _ => std::thread::sleep(Duration::from_millis(200)),
            }
            if Instant::now() > until {
                return Err("no configuration was taken in 20 s".to_owned());
            }
        }
        record.say("operator: configuration acknowledged");
        for number in 0..FRONTENDS {
            let mut connection = Connection::new(self.address(21 + number, READINESS));
            while !matches!(connection.call("GET", "entry", "/v1/readyz", "", "", limit), Ok(answer) if answer.status == 200)
            {
                std::thread::sleep(Duration::from_millis(50));
                if Instant::now() > until {
                    return Err("frontends not ready in 20 s".to_owned());
                }
            }
        }
        record.say(&format!(
            "{CORES} core, {FRONTENDS} frontend and {} side processes are ready",
            self.sides
        ));
        Ok(())
    }

    /// Returns whether every process still runs.
    pub fn all_run(&mut self) -> bool {
        self.processes
            .iter_mut()
            .all(|process| matches!(process.try_wait(), Ok(None)))
    }
}

/// Finds a block of loopback addresses on which the ports are free.
fn free_net(id: u32) -> Result<[u8; 2], String> {
    for offset in 0..64 {
        let number = id.wrapping_mul(31).wrapping_add(offset * 97);
        let net = [64 | ((number >> 7) & 0x3f) as u8, (number & 0x7f) as u8];
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net[0], net[1], host), port)).is_ok()
        };
        let free = (1..60).all(|host| {
            [CONTROL, APP, READINESS, CLIENTS, FIRST_PORT]
                .iter()
                .all(|port| is_free(host, *port))
        });
        if free {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}

/// Reads the commands of the roles from the deploy file.
fn read_commands(path: &Path) -> Result<Vec<(String, Vec<String>)>, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut commands = Vec::new();
    let mut role = String::new();
    for line in text.lines().map(str::trim) {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        } else if let Some(run) = line.strip_prefix("run = ") {
            let command = run.trim_matches('"').split(' ').map(str::to_owned);
            commands.push((role.clone(), command.collect()));
        }
    }
    Ok(commands)
}
