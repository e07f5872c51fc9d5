//! Replies of the admin API of a dispatcher with a fleet and a store. The expected texts are in
//! `fixtures/http/fleet.txt`. The dispatcher is the only voter, so every proposal is committed at once; the other
//! member is never reachable.

#[allow(dead_code)] // Other tests use more of it.
mod raw;
#[allow(dead_code)] // Other tests use more of it.
mod stage;

use raw::{exchanged, masked};
use sagetrail_fixture::transcript::Transcript;
use stage::{entry, free, List};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Form in which the end of a header section is shown.
const HEAD_END: &str = "\\r\\n\n\\r\\n\n";
const KEPT: &str = "tests/fixtures/http/fleet.txt";

/// The program with a configuration file; it ends with the test.
struct Program {
    child: Child,
    folder: PathBuf,
    console: SocketAddr,
    list: List,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn configuration(program: &Program) -> String {
    let (listen, link, other) = (free(), free(), free());
    format!(
        r#"name = "north"
listen = "{listen}"
discovery = "{}"
console = "{}"
seed = "1"
zone = "z"
zones = ["z"]
kinds = ["k"]
[[categories]]
name = "rerun"
repeat = "rerunnable"
[[categories]]
name = "once"
repeat = "exclusive"
[fleet]
name = "f"
listen = "{link}"
resends = 20
caps = {{ once = 8 }}
[[fleet.members]]
name = "north"
site = "z"
at = "{link}"
[[fleet.members]]
name = "south"
site = "z"
at = "{other}"
[store]
folder = {:?}
voters = ["north"]
"#,
        program.list.at,
        program.console,
        program.folder.join("store")
    )
}

fn start() -> Program {
    let folder = stage::file().with_extension("fleet");
    std::fs::create_dir(&folder).unwrap();
    let file = folder.join("north.toml");
    let nothing = Command::new("true").spawn().unwrap();
    let mut program = Program {
        child: nothing,
        folder,
        console: free(),
        list: List::start(),
    };
    std::fs::write(&file, configuration(&program)).unwrap();
    let _ = program.child.wait();
    program.child = Command::new(env!("CARGO_BIN_EXE_sagetrail"))
        .args(["run", "--config"])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    raw::until(|| std::net::TcpStream::connect(program.console).is_ok());
    program
}

fn call(method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    format!("{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Masks each number of a disk, a process, a time or a log position, since they differ from run to run.
fn without_numbers(text: &str) -> String {
    let line = |line: &str| {
        let words: Vec<String> = line.split(' ').map(without_number).collect();
        words.join(" ")
    };
    text.split('\n').map(line).collect::<Vec<_>>().join("\n")
}

/// Masks a word that is a number, in decimal or hexadecimal.
fn without_number(word: &str) -> String {
    let core = word.trim_end_matches(',');
    let has_digit = core.chars().any(|letter| letter.is_ascii_digit());
    let of_number = |letter: char| letter.is_ascii_hexdigit() || letter == '.';
    match has_digit && core.chars().all(of_number) {
        true => word.replacen(core, "#", 1),
        false => word.to_owned(),
    }
}

/// Masks the length of a body that holds masked numbers.
fn without_length(head: &str) -> String {
    let line = |line: &str| match line.strip_prefix("Content-Length: ") {
        Some(_) => "Content-Length: #\\r".to_owned() + "\\n",
        None => line.to_owned(),
    };
    head.split('\n').map(line).collect::<Vec<_>>().join("\n")
}

fn add(transcript: &mut Transcript, program: &Program, name: &str, request: &str) {
    let answer = masked(&exchanged(program.console, request));
    let (head, body) = answer.split_once(HEAD_END).expect("a head");
    let masked_body = without_numbers(body);
    let head = match masked_body == body {
        true => head.to_owned(),
        false => without_length(head),
    };
    transcript.add(name, &format!("{head}{HEAD_END}{masked_body}"));
}

/// Waits until the response to a call contains a text.
fn until_told(program: &Program, request: &str, text: &str) {
    raw::until(|| exchanged(program.console, request).contains(text));
}

#[test]
fn replies_of_the_admin_api_of_a_single_voter() {
    let program = start();
    program
        .list
        .watch()
        .tell(42, true, &[entry("s-0", free(), "Ready", 0)]);
    until_told(&program, &call("GET", "/store", ""), "leader leader");
    let fresh = call("GET", "/store/fresh", "");
    until_told(&program, &fresh, "all that was agreed by now is here");
    until_told(&program, &call("GET", "/stats", ""), "registry_entries:1|g");
    let mut transcript = Transcript::default();
    for (method, path, body) in [
        ("GET", "/members", ""),
        ("GET", "/shared", ""),
        ("GET", "/store", ""),
        ("GET", "/store/fresh", ""),
        ("GET", "/store/diff", ""),
        ("POST", "/store/back", ""),
        ("POST", "/store/propose", "limits.hand_offs = 4\n"),
        ("POST", "/store/propose", "limits.hand_ofs = 4\n"),
        ("POST", "/store/propose", "fleet.resends = 30\n"),
        ("GET", "/store/diff", ""),
        ("POST", "/store/back", ""),
        ("GET", "/store/diff", ""),
        ("POST", "/store/lend/north/off", ""),
        ("POST", "/runners/s-0/maint", ""),
        ("POST", "/runners/s-8/maint", ""),
        ("POST", "/healthcheck/fail", ""),
        ("GET", "/store/backup", ""),
        ("GET", "/store", ""),
        ("POST", "/healthcheck/ok", ""),
        ("POST", "/runners/s-0/ready", ""),
        ("POST", "/store/back", ""),
        ("POST", "/store/restore", "no backup"),
        ("POST", "/store/add/nobody", ""),
        ("POST", "/store/add/north", ""),
        ("POST", "/store/remove/north", ""),
        ("POST", "/store/lend/north/maybe", ""),
        ("POST", "/store/lend/nobody/on", ""),
        ("POST", "/store/trust", ""),
        ("GET", "/store/nothing", ""),
        ("POST", "/store", ""),
        ("DELETE", "/store", ""),
        ("DELETE", "/members", ""),
    ] {
        let name = format!("{method} {path} {body}");
        add(
            &mut transcript,
            &program,
            name.trim_end(),
            &call(method, path, body),
        );
    }
    transcript.assert_kept(KEPT);
}
