//! The addresses of the nodes and the processes of the dispatchers. Each node has its own address under 127/8, and
//! each dispatcher is a real process.

use crate::names::{Node, Participants};
use crate::records::Absence;
use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const PORT: u16 = 7000;
/// The port for the traffic between dispatchers.
const FLEET_PORT: u16 = 7001;
/// The port for admin calls.
const ADMIN_PORT: u16 = 7002;

/// The addresses of a run, all in one network 127.`net`/16.
pub(crate) struct Addresses {
    net: u8,
    /// Kept open so that no other test program on this machine uses the same addresses.
    _reservation: TcpListener,
}

impl Addresses {
    pub(crate) fn new() -> io::Result<Addresses> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let first = std::process::id().wrapping_mul(37);
        for _ in 0..2000 {
            let n = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            let net = 16 + (n % 200) as u8;
            if let Ok(reservation) = TcpListener::bind((IpAddr::from([127, net, 0, 254]), 6999)) {
                return Ok(Addresses {
                    net,
                    _reservation: reservation,
                });
            }
        }
        Err(io::Error::other(
            "no free network under 127/8 was found in 2000 tries",
        ))
    }

    fn at(&self, a: u8, b: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.net, a, b], port))
    }

    /// The address at which a node itself listens.
    pub(crate) fn listen_address(&self, node: Node) -> SocketAddr {
        self.at(0, node.number(), PORT)
    }

    /// The address of the relay by which `from` reaches `to`.
    pub(crate) fn relay_address(&self, from: Node, to: Node) -> SocketAddr {
        self.at(from.number(), to.number(), PORT)
    }

    pub(crate) fn fleet_address(&self, n: usize) -> SocketAddr {
        self.at(0, Node::Dispatcher(n).number(), FLEET_PORT)
    }

    pub(crate) fn fleet_relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.at(
            Node::Dispatcher(from).number(),
            Node::Dispatcher(to).number(),
            FLEET_PORT,
        )
    }

    pub(crate) fn admin_address(&self, n: usize) -> SocketAddr {
        self.at(0, Node::Dispatcher(n).number(), ADMIN_PORT)
    }

    /// The node that opened a connection that comes from a relay.
    pub(crate) fn node_of_connection(&self, from: SocketAddr) -> Option<Node> {
        match from.ip() {
            IpAddr::V4(ip) => Node::of_number(ip.octets()[2]),
            IpAddr::V6(_) => None,
        }
    }
}

/// Makes an HTTP call directly to a node. No link and so no fault is on its way. Returns the status and the body.
pub(crate) async fn http_call(
    at: SocketAddr,
    method: &str,
    path: &str,
) -> io::Result<(u16, String)> {
    http_call_with_body(at, method, path, "").await
}

/// Makes an HTTP call with a body directly to a node.
pub(crate) async fn http_call_with_body(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let called = async {
        let mut stream = TcpStream::connect(at).await?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: d\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let status = answer
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        Ok((status, body.to_string()))
    };
    timeout(Duration::from_secs(3), called)
        .await
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
}

#[derive(Default)]
struct State {
    child: Option<Child>,
    /// Whether the test program itself ended the process.
    expected: bool,
    set: BTreeMap<String, toml::Value>,
    starts: u32,
}

/// A dispatcher: its process, its folder and its absences.
pub(crate) struct Dispatcher {
    pub n: usize,
    folder: PathBuf,
    program: PathBuf,
    state: Mutex<State>,
    pub absences: Mutex<Vec<Absence>>,
}

/// Sets the value at a dotted path of a table. Creates the tables on the way.
pub(crate) fn set_key(table: &mut toml::Table, path: &str, value: toml::Value) {
    match path.split_once('.') {
        None => _ = table.insert(path.to_string(), value),
        Some((first, rest)) => {
            let below = table
                .entry(first)
                .or_insert(toml::Value::Table(toml::Table::new()));
            if let Some(below) = below.as_table_mut() {
                set_key(below, rest, value);
            }
        }
    }
}

fn duration_value(seconds: f64) -> toml::Value {
    toml::Value::String(format!("{:.3}ms", seconds * 1e3))
}

impl Dispatcher {
    pub(crate) fn new(n: usize, folder: &Path, program: &Path) -> io::Result<Dispatcher> {
        let folder = folder.join(Node::Dispatcher(n).name());
        fs::create_dir_all(folder.join("disk"))?;
        let (program, state) = (program.to_path_buf(), Mutex::default());
        Ok(Dispatcher {
            n,
            folder,
            program,
            state,
            absences: Mutex::default(),
        })
    }

    pub(crate) fn set(&self, set: &BTreeMap<String, toml::Value>) {
        self.state.lock().unwrap().set.extend(set.clone());
    }

    /// Writes the configuration file. Returns whether it has trial settings.
    pub(crate) fn write(
        &self,
        addresses: &Addresses,
        scenario: &Scenario,
        participants: &Participants,
    ) -> io::Result<bool> {
        let me = Node::Dispatcher(self.n);
        let site = |node: Node| participants.sites[participants.site_of(node).unwrap_or(0)].clone();
        let mut table = toml::Table::new();
        let mut set = |path: &str, value: toml::Value| set_key(&mut table, path, value);
        let string = |text: String| toml::Value::String(text);
        let whole = |n: usize| toml::Value::Integer(n as i64);
        set("name", string(me.name()));
        set("listen", string(addresses.listen_address(me).to_string()));
        set(
            "discovery",
            string(addresses.relay_address(me, Node::List).to_string()),
        );
        set(
            "console",
            string(addresses.admin_address(self.n).to_string()),
        );
        let starts = self.state.lock().unwrap().starts;
        set(
            "seed",
            string(format!(
                "{:x}",
                (self.n as u64 + 1) * 7919 + u64::from(starts)
            )),
        );
        set(
            "learnt",
            string(self.folder.join("disk/learnt.json").display().to_string()),
        );
        set("me", whole(self.n));
        set("dispatchers", whole(scenario.processes));
        set("zone", string(site(me)));
        set(
            "zones",
            toml::Value::Array(
                participants
                    .sites
                    .iter()
                    .cloned()
                    .map(toml::Value::String)
                    .collect(),
            ),
        );
        set("kinds", toml::Value::Array(vec![string("k".to_string())]));
        set("runners.tells_start", toml::Value::Boolean(true));
        set(
            "runners.progress",
            duration_value(scenario.runners.progress.0),
        );
        set("drain.grace", duration_value(0.3));
        set("cold.from", toml::Value::Float(scenario.cold.from));
        set("cold.time", duration_value(scenario.cold.time.0));
        set("cold.multiple", toml::Value::Float(scenario.cold.multiple));
        set("cold.span", duration_value(scenario.cold.span.0));
        set("fleet.name", string("rig".to_string()));
        set(
            "fleet.listen",
            string(addresses.fleet_address(self.n).to_string()),
        );
        set(
            "fleet.sharing",
            toml::Value::Boolean(scenario.fleet.sharing),
        );
        set("fleet.lease", duration_value(scenario.fleet.lease.0));
        set("fleet.owners", whole(scenario.fleet.owners));
        if let Some(probe) = &scenario.fleet.probe {
            set("fleet.probe", string(probe.clone()));
        }
        if let Some(resends) = scenario.fleet.resends {
            set("fleet.resends", whole(resends as usize));
        }
        for (name, most) in &scenario.fleet.caps {
            set(&format!("fleet.caps.{name}"), whole(*most as usize));
        }
        let member = |n: usize| {
            let at = if n == self.n {
                addresses.fleet_address(n)
            } else {
                addresses.fleet_relay_address(self.n, n)
            };
            let mut member = toml::Table::new();
            member.insert("name".to_string(), string(Node::Dispatcher(n).name()));
            member.insert("site".to_string(), string(site(Node::Dispatcher(n))));
            member.insert("at".to_string(), string(at.to_string()));
            toml::Value::Table(member)
        };
        set(
            "fleet.members",
            toml::Value::Array((0..scenario.processes).map(member).collect()),
        );
        if let Some(store) = &scenario.store {
            set(
                "store.folder",
                string(self.folder.join("disk/store").display().to_string()),
            );
            let voters = (0..scenario.voters()).map(|n| string(Node::Dispatcher(n).name()));
            set("store.voters", toml::Value::Array(voters.collect()));
            store
                .marks
                .into_iter()
                .for_each(|marks| set("store.marks", duration_value(marks.0)));
        }
        let category = |c: &crate::scenario::Category| {
            let mut table = toml::Table::new();
            let mut set = |key: &str, value: toml::Value| _ = table.insert(key.to_string(), value);
            set("name", string(c.name.clone()));
            set("repeat", string(c.repeat.clone()));
            set("group", string(c.group.clone()));
            set("window", duration_value(c.window.0));
            set("due", duration_value(c.due.0));
            set("expiry", duration_value(c.expiry.0));
            set("payoff", toml::Value::Float(c.payoff));
            set("tardy", toml::Value::Float(c.tardy));
            if c.record > 0 {
                set(
                    "record",
                    whole((c.record as usize).min(scenario.processes - 1)),
                );
                set("unrecorded", string(c.unrecorded.clone()));
            }
            toml::Value::Table(table)
        };
        set(
            "categories",
            toml::Value::Array(scenario.categories.iter().map(category).collect()),
        );
        for (path, value) in scenario.set.iter().chain(&self.state.lock().unwrap().set) {
            set_key(&mut table, path, value.clone());
        }
        let trial = table.contains_key("trial");
        fs::write(
            self.folder.join("new.toml"),
            toml::to_string(&table).map_err(io::Error::other)?,
        )?;
        fs::rename(
            self.folder.join("new.toml"),
            self.folder.join("config.toml"),
        )?;
        Ok(trial)
    }

    pub(crate) fn start(
        &self,
        addresses: &Addresses,
        scenario: &Scenario,
        participants: &Participants,
    ) -> io::Result<()> {
        let trial = self.write(addresses, scenario, participants)?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command
            .arg(if trial { "trial" } else { "run" })
            .arg("--config")
            .arg(self.folder.join("config.toml"));
        for name in [
            "RELAY_CONFIG",
            "RELAY_FD",
            "RELAY_CONSOLE",
            "RELAY_LISTEN",
            "RELAY_DISCOVERY",
        ] {
            command.env_remove(name);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let mut state = self.state.lock().unwrap();
        state.child = Some(command.spawn()?);
        state.expected = false;
        state.starts += 1;
        Ok(())
    }

    pub(crate) async fn ready(&self, addresses: &Addresses) -> bool {
        let at = addresses.listen_address(Node::Dispatcher(self.n));
        for _ in 0..400 {
            if matches!(http_call(at, "GET", "/health/ready").await, Ok((200, _))) {
                return true;
            }
            if self.ended().is_some() {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        false
    }

    fn signal(&self, signal: Signal) {
        let state = self.state.lock().unwrap();
        if let Some(child) = &state.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub(crate) fn kill(&self) {
        self.state.lock().unwrap().expected = true;
        self.signal(Signal::SIGKILL);
        let child = self.state.lock().unwrap().child.take();
        child.map(|mut child| child.wait());
    }

    pub(crate) fn term(&self) {
        self.state.lock().unwrap().expected = true;
        self.signal(Signal::SIGTERM);
    }

    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub(crate) fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub(crate) fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Whether the test program ended the process and its exit status, if it has exited. An exit that the test
    /// program did not cause is a crash.
    pub(crate) fn ended(&self) -> Option<(bool, String)> {
        let mut state = self.state.lock().unwrap();
        let expected = state.expected;
        let status = state.child.as_mut()?.try_wait().ok()??;
        state.child = None;
        Some((expected, status.to_string()))
    }

    /// Copies the disk for a later restart with an old copy. Keeps an existing copy.
    pub(crate) fn copy_disk(&self) {
        let (from, to) = (self.folder.join("disk"), self.folder.join("old"));
        if to.exists() {
            return;
        }
        let _ = copy(&from, &to);
    }

    pub(crate) fn give_disk(&self, with: &str) {
        let disk = self.folder.join("disk");
        let log = disk.join("store/log");
        let changed = |change: &dyn Fn(&mut Vec<u8>)| {
            if let Ok(mut bytes) = fs::read(&log) {
                change(&mut bytes);
                let _ = fs::write(&log, bytes);
            }
        };
        match with {
            // `flipped` flips a bit in the middle of the records; `torn` appends what an interrupted write leaves.
            "flipped" => changed(&|bytes| {
                let middle = 48 + bytes.len().saturating_sub(48) / 2;
                bytes
                    .get_mut(middle)
                    .into_iter()
                    .for_each(|byte| *byte ^= 0x10);
            }),
            "torn" => changed(&|bytes| {
                let record = [100u8, 0, 0, 0, 155, 255, 255, 255, 1, 2, 3, 4, 5];
                bytes.extend(record);
            }),
            "others" => {
                let next = self
                    .folder
                    .parent()
                    .map(|all| fs::read_dir(all).into_iter().flatten().flatten());
                let others = next
                    .into_iter()
                    .flatten()
                    .map(|entry| entry.path().join("disk/store"));
                let mut others: Vec<PathBuf> = others
                    .filter(|path| !path.starts_with(&self.folder) && path.exists())
                    .collect();
                others.sort();
                if let Some(other) = others.first() {
                    let _ = fs::remove_dir_all(disk.join("store"));
                    let _ = copy(other, &disk.join("store"));
                }
            }
            "none" => {
                let _ = fs::remove_dir_all(&disk);
                let _ = fs::create_dir_all(&disk);
            }
            "old-copy" if self.folder.join("old").exists() => {
                let _ = fs::remove_dir_all(&disk);
                let _ = copy(&self.folder.join("old"), &disk);
            }
            _ => {}
        }
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        match entry.file_type()?.is_dir() {
            true => copy(&entry.path(), &target)?,
            false => _ = fs::copy(entry.path(), target)?,
        }
    }
    Ok(())
}
