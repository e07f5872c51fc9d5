//! Runs the program with a list, runners and clients that the test plays over loopback. Every wait has a limit.

use seccompiler::{
    apply_filter, BpfProgram, SeccompAction, SeccompCmpArgLen, SeccompCmpOp, SeccompCondition,
    SeccompFilter, SeccompRule,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Longest time for which a test waits for anything.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(8);

pub(crate) fn pause(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// A message: its first line, its headers in lower case, and its body.
#[derive(Debug)]
pub(crate) struct Message {
    pub first: String,
    pub headers: String,
    pub body: String,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// Reads one message; `None` at the end of the connection.
pub(crate) fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let (mut first, mut headers) = (String::new(), String::new());
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        headers.push_str(&line.to_lowercase().replace('\r', ""));
    }
    let mut message = Message {
        first: first.trim_end().to_string(),
        headers,
        body: String::new(),
    };
    let length = message
        .header("content-length")
        .map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).unwrap();
    Some(message)
}

/// A request that a runner received, and the connection for the response.
pub(crate) struct ReceivedRequest {
    pub message: Message,
    stream: TcpStream,
}

impl ReceivedRequest {
    pub(crate) fn answer(&self, status: &str, headers: &str) {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{headers}\r\n");
        (&self.stream).write_all(head.as_bytes()).unwrap();
    }
    pub(crate) fn take(&self) {
        self.answer("202 Accepted", "");
    }
    pub(crate) fn say(&self, bytes: &str) {
        (&self.stream).write_all(bytes.as_bytes()).unwrap();
    }
    pub(crate) fn id(&self) -> &str {
        self.message.header("req-id").unwrap_or_default()
    }
    pub(crate) fn close(&self) {
        self.stream.shutdown(std::net::Shutdown::Both).unwrap();
    }
    pub(crate) fn is_closed(&self) -> bool {
        is_closed(&self.stream)
    }
}

/// Whether the other side closes the connection, or has closed it.
pub(crate) fn is_closed(stream: &TcpStream) -> bool {
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    matches!(stream.peek(&mut [0]), Ok(0))
}

/// A runner that the test plays. The requests that it receives are queued.
pub(crate) struct Runner {
    pub name: String,
    pub at: SocketAddr,
    got: Receiver<ReceivedRequest>,
    connections: Receiver<()>,
}

/// A runner to which no connection can be established until the test allows it, because the queue of its listener is
/// full.
pub(crate) struct UnreachableRunner {
    name: String,
    pub at: SocketAddr,
    listener: TcpListener,
    queue: Vec<TcpStream>,
}

impl UnreachableRunner {
    pub(crate) fn start(name: &str) -> UnreachableRunner {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        let mut queue = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) {
            queue.push(stream);
        }
        UnreachableRunner {
            name: name.to_string(),
            at,
            listener,
            queue,
        }
    }
    /// Lets connections be established: pending ones are at the next try of their system.
    pub(crate) fn open(self) -> Runner {
        self.queue
            .iter()
            .for_each(|_| drop(self.listener.accept().unwrap()));
        Runner::serve(&self.name, self.listener)
    }
    pub(crate) fn entry(&self, life: &str) -> String {
        entry(&self.name, self.at, life, 0)
    }
}

impl Runner {
    pub(crate) fn start(name: &str) -> Runner {
        Runner::serve(name, TcpListener::bind("127.0.0.1:0").unwrap())
    }
    fn serve(name: &str, listener: TcpListener) -> Runner {
        let at = listener.local_addr().unwrap();
        let (give, got) = channel();
        let (count, connections) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let (stream, give) = (stream.unwrap(), give.clone());
                let _ = count.send(());
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while let Some(message) = read(&mut reader) {
                        let handed = ReceivedRequest {
                            message,
                            stream: stream.try_clone().unwrap(),
                        };
                        if give.send(handed).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Runner {
            name: name.to_string(),
            at,
            got,
            connections,
        }
    }
    pub(crate) fn next(&self) -> ReceivedRequest {
        self.got
            .recv_timeout(MAX_WAIT)
            .expect("the runner is handed something")
    }
    pub(crate) fn poll(&self, ms: u64) -> Option<ReceivedRequest> {
        self.got.recv_timeout(Duration::from_millis(ms)).ok()
    }
    pub(crate) fn nothing(&self, ms: u64) {
        let more = self.got.recv_timeout(Duration::from_millis(ms));
        assert!(
            more.is_err(),
            "the runner was handed {:?}",
            more.unwrap().message
        );
    }
    pub(crate) fn connections(&self) -> usize {
        self.connections.try_iter().count()
    }
    pub(crate) fn entry(&self, life: &str, started_ms: u64) -> String {
        entry(&self.name, self.at, life, started_ms)
    }
}

pub(crate) fn entry(name: &str, at: SocketAddr, life: &str, started_ms: u64) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"z","machineType":"k","cell":0,
        "lifecycle":"{life}","weight":1.0,"startedAtMs":{started_ms}}}"#
    )
    .replace('\n', " ")
}

/// The endpoint list. Each watch that is requested is queued, so that the test can write to it.
pub(crate) struct List {
    pub at: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

pub(crate) struct Watch {
    pub asked: String,
    stream: TcpStream,
}

impl List {
    pub(crate) fn start() -> List {
        List::at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }
    pub(crate) fn at(at: SocketAddr) -> List {
        let listener = TcpListener::bind(at).unwrap();
        let at = listener.local_addr().unwrap();
        let (give, watches) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                let (stream, give): (TcpStream, Sender<_>) = (stream.unwrap(), give.clone());
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                if let Some(message) = read(&mut reader) {
                    let _ = give.send((message.first, stream));
                }
            }
        });
        List { at, watches }
    }
    /// Accepts the next watch and writes the header section of its response.
    pub(crate) fn watch(&self) -> Watch {
        let (asked, stream) = self
            .watches
            .recv_timeout(MAX_WAIT)
            .expect("the list is watched");
        (&stream)
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        Watch { asked, stream }
    }
}

impl Watch {
    pub(crate) fn say(&self, line: &str) {
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        (&self.stream).write_all(chunk.as_bytes()).unwrap();
    }
    pub(crate) fn is_closed(&self) -> bool {
        is_closed(&self.stream)
    }
    /// Whether the watch has ended by now.
    pub(crate) fn has_ended(&self) -> bool {
        self.stream
            .set_read_timeout(Some(Duration::from_millis(1)))
            .unwrap();
        matches!(self.stream.peek(&mut [0]), Ok(0))
    }
    pub(crate) fn tell(&self, generation: u64, whole: bool, entries: &[String]) {
        let entries = entries.join(",");
        self.say(&format!(
            r#"{{"generation":{generation},"reset":{whole},"instances":[{entries}]}}"#
        ));
    }
}

/// Connection of a client.
pub(crate) struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

static IDS: AtomicU32 = AtomicU32::new(1);

impl Client {
    pub(crate) fn to(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Client { stream, reader }
    }
    /// Sends a callback of a runner on this connection and returns the response.
    pub(crate) fn tell(&mut self, id: &str, from: &str, state: &str) -> Message {
        let body = format!(r#"{{"id":"{id}","from":"{from}","state":{state}}}"#);
        self.send(&format!(
            "POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
        self.answer()
    }
    pub(crate) fn send(&mut self, text: &str) -> &mut Self {
        self.stream.write_all(text.as_bytes()).unwrap();
        self
    }
    /// Submits a work item of a category and returns its id.
    pub(crate) fn submit(&mut self, category: &str, wait: &str) -> String {
        let (id, text) = job(category, wait);
        self.send(&text);
        id
    }
    pub(crate) fn read(&mut self) -> Option<Message> {
        read(&mut self.reader)
    }
    pub(crate) fn answer(&mut self) -> Message {
        self.read().expect("an answer comes")
    }
}

/// Id and request of a new work item.
pub(crate) fn job(category: &str, wait: &str) -> (String, String) {
    let id = format!("{:016x}", IDS.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "POST /{category}?key=7f3a HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Kind: {category}\r\n\
         Req-Deadline: {wait}\r\nContent-Length: 5\r\n\r\nwaves"
    );
    (id, text)
}

/// The program, started and ready, with its list and runners.
pub(crate) struct Stage {
    pub child: Child,
    pub page: String,
    file: PathBuf,
    pub at: SocketAddr,
    pub list: List,
    pub runners: Vec<Runner>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) fn file() -> PathBuf {
    let n = IDS.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("sagetrail-{}-{n}.json", std::process::id()))
}

pub(crate) fn launch(path: &Path, page: &str) -> Child {
    std::fs::write(path, page).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagetrail"));
    command
        .env("RELAY_CONFIG", path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command.spawn().unwrap()
}

/// Page of the platform with one category of each kind; the last one is `exclusive`.
pub(crate) fn page(
    listen: SocketAddr,
    list: SocketAddr,
    sockets: usize,
    known: &[String],
) -> String {
    let category = |name: &str, repeat: &str| {
        format!(
            r#"{{"Name":"{name}","Repeat":"{repeat}","DedupScope":"all","DueTimeUs":600000,"ExpiryUs":10000000,
            "Payoff":1.0,"TardyPayoff":0.2,"WindowUs":5000000}}"#
        )
    };
    let categories = [
        category("rerun", "read_like"),
        category("once", "non_idempotent"),
    ]
    .join(",");
    let known = known.join(",");
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{list}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},
        "known":{{"generation":41,"reset":true,"instances":[{known}]}},
        "settings":{{"Categories":[{categories}],"Dcs":["z"],"Kinds":["k"],"Discovery":"on_request",
        "Domain":{{"ProgressUs":2000000,"TellsStart":true}},"Report":{{"Fields":[],"How":"off"}},"Me":0,
        "ReplicasOfMe":1,"Limits":{{"ConnIdleUs":60000000,"DialTimeoutUs":250000,"MaxRetryAfterUs":2000000,
        "MayCancel":true,"MostHandOffs":6,"MostHeld":20000,"RetryAfter":true}},
        "Safety":{{"ColdFrom":0.2,"ColdUs":20000000,"FallMultiple":3.0,"MustAskInUs":10000000,
        "OverloadForUs":1000000,"StopSendingWithinUs":300000}}}}}}"#
    )
}

/// An unused address. Its port is below those that the system assigns, since one of these may be given to another test
/// before the program binds it.
pub(crate) fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = (std::process::id() * 512 + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let at = SocketAddr::from(([127, 0, 0, 1], 12_000 + n as u16));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Stage {
    pub(crate) fn start(runners: usize) -> Stage {
        Stage::with(runners, 1024)
    }

    pub(crate) fn with(runners: usize, sockets: usize) -> Stage {
        Stage::of(runners, sockets, |page| page)
    }

    pub(crate) fn of(runners: usize, sockets: usize, change: impl Fn(String) -> String) -> Stage {
        let runners: Vec<Runner> = (0..runners)
            .map(|n| Runner::start(&format!("s-{n}")))
            .collect();
        let list = List::start();
        let known: Vec<String> = runners
            .iter()
            .map(|runner| runner.entry("Ready", 0))
            .collect();
        let at = free();
        let (file, page) = (file(), change(page(at, list.at, sockets, &known)));
        let stage = Stage {
            child: launch(&file, &page),
            page,
            file,
            at,
            list,
            runners,
        };
        let start = Instant::now();
        while TcpStream::connect(at).is_err() {
            assert!(start.elapsed() < MAX_WAIT, "the program listens");
            pause(5);
        }
        stage
    }

    /// Starts a stage where the system refuses all TCP options. The filter of a thread is inherited by the program that
    /// it starts.
    pub(crate) fn without_tcp_options() -> Stage {
        let (level, tcp) = (SeccompCmpArgLen::Dword, libc::IPPROTO_TCP as u64);
        let tcp = SeccompCondition::new(1, level, SeccompCmpOp::Eq, tcp).unwrap();
        let rules = [(
            libc::SYS_setsockopt,
            vec![SeccompRule::new(vec![tcp]).unwrap()],
        )]
        .into();
        let (refuse, arch) = (
            SeccompAction::Errno(libc::EBADF as u32),
            std::env::consts::ARCH,
        );
        let filter = SeccompFilter::new(
            rules,
            SeccompAction::Allow,
            refuse,
            arch.try_into().unwrap(),
        )
        .unwrap();
        let filter: BpfProgram = filter.try_into().unwrap();
        let start = move || {
            apply_filter(&filter).unwrap();
            Stage::start(1)
        };
        spawn(start).join().unwrap()
    }

    /// The next request that any runner receives, and the index of the runner. Which one it is does not depend on
    /// timing.
    pub(crate) fn next_request_at_any(&self) -> (usize, ReceivedRequest) {
        let start = Instant::now();
        while start.elapsed() < MAX_WAIT {
            let mut runners = self.runners.iter().enumerate();
            let handed = runners.find_map(|(at, runner)| Some((at, runner.poll(5)?)));
            if let Some(handed) = handed {
                return handed;
            }
        }
        panic!("no runner is handed anything");
    }

    pub(crate) fn client(&self) -> Client {
        Client::to(self.at)
    }

    /// Sends a callback of a runner and returns the status of the response.
    pub(crate) fn news(&self, id: &str, from: &str, state: &str) -> u16 {
        self.post(&format!(
            r#"{{"id":"{id}","from":"{from}","state":{state}}}"#
        ))
    }

    pub(crate) fn post(&self, body: &str) -> u16 {
        let mut client = self.client();
        let length = body.len();
        client.send(&format!(
            "POST /_jobs/news HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        client.answer().status()
    }

    pub(crate) fn term(&self) {
        self.signal("-TERM");
    }

    /// Replaces the page and has the program read it.
    pub(crate) fn reload(&self, page: &str) {
        let new = file();
        std::fs::write(&new, page).unwrap();
        std::fs::rename(&new, &self.file).unwrap();
        self.signal("-HUP");
    }

    pub(crate) fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([which, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Exit status of the program and its log.
    pub(crate) fn ended(&mut self) -> (Option<i32>, String) {
        ended(&mut self.child)
    }
}

pub(crate) fn ended(child: &mut Child) -> (Option<i32>, String) {
    let start = Instant::now();
    while child.try_wait().unwrap().is_none() {
        assert!(start.elapsed() < MAX_WAIT, "the program ends");
        pause(5);
    }
    let mut log = String::new();
    child
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    (child.wait().unwrap().code(), log)
}

/// A platform that holds the socket of the clients and starts processes of the program.
pub(crate) struct Platform {
    socket: TcpListener,
    folder: PathBuf,
    page: String,
    pub list: List,
    pub runners: Vec<Runner>,
    /// Running processes, oldest first, and the addresses of their admin APIs.
    pub children: Vec<(Child, SocketAddr)>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        for (child, _) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts the program with `fd` as descriptor 3, or without one.
pub(crate) fn launch_with(fd: Option<i32>, page: &str, folder: &Path) -> Child {
    let path = file();
    std::fs::write(&path, page).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagetrail"));
    command
        .env("RELAY_CONFIG", path)
        .env("RELAY_FD", "3")
        .env("TMPDIR", folder);
    command.stdout(Stdio::null()).stderr(Stdio::piped());
    // SAFETY: both calls are permitted between fork and exec.
    unsafe {
        command.pre_exec(move || {
            match fd {
                // A descriptor duplicated to itself would keep its close-on-exec flag.
                Some(3) => libc::fcntl(3, libc::F_SETFD, 0),
                Some(fd) => libc::dup2(fd, 3),
                None => libc::close(3),
            };
            Ok(())
        });
    }
    command.spawn().unwrap()
}

impl Platform {
    pub(crate) fn start(runners: usize, sockets: usize) -> Platform {
        let runners: Vec<Runner> = (0..runners)
            .map(|n| Runner::start(&format!("s-{n}")))
            .collect();
        let (list, socket) = (List::start(), TcpListener::bind("127.0.0.1:0").unwrap());
        let known: Vec<String> = runners
            .iter()
            .map(|runner| runner.entry("Ready", 0))
            .collect();
        let page = page(socket.local_addr().unwrap(), list.at, sockets, &known);
        let folder = file().with_extension("tmp");
        std::fs::create_dir(&folder).unwrap();
        let mut platform = Platform {
            socket,
            folder,
            page,
            list,
            runners,
            children: Vec::new(),
        };
        platform.upgrade();
        platform
    }

    /// Starts another process, waits until it is healthy, and returns the address of its admin API.
    pub(crate) fn upgrade(&mut self) -> SocketAddr {
        let door = free();
        let page = self
            .page
            .replacen('{', &format!(r#"{{"console":"{door}","#), 1);
        let child = launch_with(Some(self.socket.as_raw_fd()), &page, &self.folder);
        self.children.push((child, door));
        let start = Instant::now();
        while !yes(door) {
            assert!(start.elapsed() < Duration::from_secs(6), "a yes in time");
            pause(5);
        }
        door
    }

    pub(crate) fn term(&self) {
        let id = self.children[0].0.id().to_string();
        assert!(Command::new("kill")
            .args(["-TERM", &id])
            .status()
            .unwrap()
            .success());
    }

    /// Exit status of the oldest process and its log.
    pub(crate) fn ended(&mut self) -> (Option<i32>, String) {
        ended(&mut self.children.remove(0).0)
    }

    pub(crate) fn client(&self) -> Client {
        Client::to(self.socket.local_addr().unwrap())
    }
}

fn yes(door: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(door) else {
        return false;
    };
    stream
        .write_all(b"GET /healthcheck HTTP/1.1\r\n\r\n")
        .unwrap();
    read(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}
