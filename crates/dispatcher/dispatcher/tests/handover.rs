//! Bytes between the old and the new process of an address. The test plays one of the two on their Unix socket. Two
//! releases use this protocol with each other in an upgrade.

#[allow(dead_code)] // Other tests use more of it.
mod stage;
use sagetrail_dispatch::HandoverState;
use stage::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::Child;
use std::time::Instant;

const HELLO: &str = r#"{"Hello":{"version":1}}"#;
/// Hash of the categories and kinds on the page that the stage writes. It is made from the names of fields and variants
/// in the code: if one is renamed, the hash differs and learned state is dropped.
const DEPLOYMENT: u64 = 1_584_305_202_429_849_701;

/// A frame: the length of the text as four bytes, most significant first, and the text.
fn send(link: &mut UnixStream, text: &str) {
    let mut frame = (text.len() as u32).to_be_bytes().to_vec();
    frame.extend(text.as_bytes());
    link.write_all(&frame).unwrap();
}

fn receive(link: &mut UnixStream) -> String {
    let mut length = [0; 4];
    link.read_exact(&mut length).unwrap();
    let mut text = vec![0; u32::from_be_bytes(length) as usize];
    link.read_exact(&mut text).unwrap();
    String::from_utf8(text).unwrap()
}

/// The program with a socket that its platform holds, a list and a runner.
struct Process {
    child: Child,
    socket: TcpListener,
    admin_address: SocketAddr,
    folder: PathBuf,
    runner: Runner,
    _list: List,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Path of the socket by which the processes of an address find each other.
fn socket_path(folder: &std::path::Path, socket: &TcpListener) -> PathBuf {
    folder.join(format!("sagetrail-{}", socket.local_addr().unwrap()))
}

impl Process {
    /// Starts the program. `before` is called first with the path of the socket.
    fn start<T>(before: impl FnOnce(PathBuf) -> T) -> (Process, T) {
        let (list, runner) = (List::start(), Runner::start("s-0"));
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        let folder = file().with_extension("tmp");
        std::fs::create_dir(&folder).unwrap();
        let prepared = before(socket_path(&folder, &socket));
        let admin_address = free();
        let known = [runner.entry("Ready", 0)];
        let page = page(socket.local_addr().unwrap(), list.at, 256, &known);
        let page = page.replacen('{', &format!(r#"{{"console":"{admin_address}","#), 1);
        let process = Process {
            child: launch_with(Some(socket.as_raw_fd()), &page, &folder),
            socket,
            admin_address,
            folder,
            runner,
            _list: list,
        };
        (process, prepared)
    }

    fn link(&self) -> UnixStream {
        let (at, start) = (socket_path(&self.folder, &self.socket), Instant::now());
        let link = loop {
            match UnixStream::connect(&at) {
                Ok(link) => break link,
                Err(why) => assert!(start.elapsed() < MAX_WAIT, "the program listens: {why}"),
            }
            pause(5);
        };
        link.set_read_timeout(Some(MAX_WAIT)).unwrap();
        link
    }

    /// Status of the readiness check of the platform.
    fn ready(&self) -> u16 {
        let mut client = Client::to(self.socket.local_addr().unwrap());
        client.send("GET /health/ready HTTP/1.1\r\n\r\n");
        client.answer().status()
    }

    /// Makes a call of the admin API and returns its response to be read.
    fn call(&self, line: &str) -> BufReader<TcpStream> {
        let start = Instant::now();
        let mut stream = loop {
            match TcpStream::connect(self.admin_address) {
                Ok(stream) => break stream,
                Err(why) => assert!(start.elapsed() < MAX_WAIT, "a door: {why}"),
            }
            pause(5);
        };
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let text = format!("{line} HTTP/1.1\r\nHost: d\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).unwrap();
        BufReader::new(stream)
    }
}

fn status(mut answer: BufReader<TcpStream>) -> u16 {
    read(&mut answer).expect("an answer").status()
}

/// State of a process that has just started, with the address of its runner.
fn fresh_state(drained: bool, runner: SocketAddr) -> String {
    format!(
        r#"{{"State":{{"drained":{drained},"deployment":{DEPLOYMENT},"learnt":{{"version":0,"deployment":0,"written":0.0,"usuals":[],"runners":[]}},"runners":[{{"member":{{"id":"s-0","address":"{runner}","kind":0,"zone":0,"cell":0,"started":0.0,"life":"Ready"}},"out":null,"back":null,"spent":[],"evidence":0.0,"resting":null,"rest_s":1.5}}]}}}}"#
    )
}

#[test]
fn the_old_process_sends_its_state_and_carries_out_requests() {
    let (process, ()) = Process::start(|_| ());
    let mut link = process.link();
    send(&mut link, HELLO);
    assert_eq!(receive(&mut link), fresh_state(false, process.runner.at));

    let mut ask = |no: u64, ask: &str| {
        send(
            &mut link,
            &format!(r#"{{"Asks":{{"no":{no},"ask":{ask}}}}}"#),
        );
        receive(&mut link)
    };
    let by_hand = |id: &str| format!(r#"{{"ByHand":{{"id":"{id}","out":true}}}}"#);
    assert_eq!(
        ask(301, &by_hand("s-0")),
        r#"{"Did":{"no":301,"yes":true}}"#
    );
    assert_eq!(
        ask(302, &by_hand("s-9")),
        r#"{"Did":{"no":302,"yes":false}}"#
    );
    let news = r#"{"News":{"id":"unknown","from":"s-0","state":"done","result":"a"}}"#;
    assert_eq!(ask(303, news), r#"{"Did":{"no":303,"yes":false}}"#);
    assert_eq!(
        ask(304, r#"{"Drain":true}"#),
        r#"{"Did":{"no":304,"yes":true}}"#
    );
    assert_eq!(process.ready(), 503);
    assert_eq!(
        ask(305, r#"{"Drain":false}"#),
        r#"{"Did":{"no":305,"yes":true}}"#
    );
    assert_eq!(process.ready(), 200);
}

#[test]
fn the_old_process_sends_requests_to_the_new_one() {
    let (process, ()) = Process::start(|_| ());
    let mut link = process.link();
    send(&mut link, HELLO);
    receive(&mut link);

    let answer = process.call("POST /runners/s-0/maint");
    let asked = r#"{"Asks":{"no":0,"ask":{"ByHand":{"id":"s-0","out":true}}}}"#;
    assert_eq!(receive(&mut link), asked);
    send(&mut link, r#"{"Did":{"no":0,"yes":true}}"#);
    assert_eq!(status(answer), 200);

    let answer = process.call("POST /healthcheck/fail");
    assert_eq!(
        receive(&mut link),
        r#"{"Asks":{"no":1,"ask":{"Drain":true}}}"#
    );
    send(&mut link, r#"{"Did":{"no":1,"yes":true}}"#);
    assert_eq!(status(answer), 200);

    let mut runner = Client::to(process.socket.local_addr().unwrap());
    let body = r#"{"id":"unknown","from":"s-0","state":"running","share":0.25}"#;
    runner.send(&format!(
        "POST /_jobs/news HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    let asked = format!(r#"{{"Asks":{{"no":2,"ask":{{"News":{body}}}}}}}"#);
    assert_eq!(receive(&mut link), asked);
    send(&mut link, r#"{"Did":{"no":2,"yes":true}}"#);
    assert_eq!(runner.answer().status(), 204);
}

#[test]
fn a_new_process_sends_hello_and_applies_the_state() {
    let (process, meeting) = Process::start(|at| UnixListener::bind(at).unwrap());
    let (mut link, _) = meeting.accept().unwrap();
    link.set_read_timeout(Some(MAX_WAIT)).unwrap();
    assert_eq!(receive(&mut link), HELLO);
    let state = fresh_state(true, process.runner.at);
    let state = state.replace(r#""out":null"#, r#""out":1700000000.5"#);
    send(&mut link, &state);
    // Like its predecessor it is drained, and its runner is out of service.
    assert_eq!(process.ready(), 503);
    let mut next = process.link();
    send(&mut next, HELLO);
    assert_eq!(receive(&mut next), state);
}

#[test]
fn other_protocol_versions_get_no_response() {
    let (process, ()) = Process::start(|_| ());
    let mut link = process.link();
    send(&mut link, r#"{"Hello":{"version":2}}"#);
    assert_eq!(link.read(&mut [0]).unwrap(), 0);
}

/// The state on the link is what `sagetrail_dispatch` reads; its own form has a fixture there.
#[test]
fn the_state_is_readable_by_the_dispatch_crate() {
    let state = fresh_state(true, SocketAddr::from(([10, 0, 0, 1], 80)));
    let state = state.strip_prefix(r#"{"State":"#).unwrap();
    let passed: HandoverState = serde_json::from_str(state.strip_suffix('}').unwrap()).unwrap();
    assert!(passed.is_draining);
    assert_eq!((passed.deployment, passed.runners.len()), (DEPLOYMENT, 1));
}
