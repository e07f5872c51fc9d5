//! Connections on which a test sees every byte of HTTP, and the masks of what differs from run to run.

use crate::stage::LONG;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// What is waited for is looked at this often.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// One connection, from either side.
pub(crate) struct Connection {
    stream: Option<TcpStream>,
    read: Vec<u8>,
}

impl Connection {
    /// A connection to `at`.
    pub(crate) fn to(at: SocketAddr) -> Connection {
        Connection::over(TcpStream::connect(at).unwrap())
    }

    fn over(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        Connection {
            stream: Some(stream),
            read: Vec::new(),
        }
    }

    fn stream(&mut self) -> &mut TcpStream {
        self.stream.as_mut().expect("it has come")
    }

    /// Writes these bytes.
    pub(crate) fn send(&mut self, text: &str) {
        self.stream().write_all(text.as_bytes()).unwrap();
    }

    /// The next message, byte by byte as it came: its head, and a body of the length that it tells.
    pub(crate) fn message(&mut self) -> String {
        let mut bytes = vec![0; 4096];
        while message_length(&self.read).is_none() {
            let count = self.stream().read(&mut bytes).expect("a message in time");
            assert!(count > 0, "{:?}", String::from_utf8_lossy(&self.read));
            self.read.extend_from_slice(&bytes[..count]);
        }
        let length = message_length(&self.read).unwrap();
        let rest = self.read.split_off(length);
        String::from_utf8(std::mem::replace(&mut self.read, rest)).unwrap()
    }

    /// The next message to a listener of the test's, on this connection or, the first time, on the one that comes.
    pub(crate) fn next(&mut self, from: &Listener) -> String {
        if self.stream.is_none() {
            *self = from.accepted();
        }
        self.message()
    }
}

/// The length of the message that the bytes begin with, once it is whole.
fn message_length(bytes: &[u8]) -> Option<usize> {
    let head_end = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)?;
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let told = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let body: usize = told.map_or(0, |length| length.parse().unwrap());
    let length = head_end + HEAD_END.len() + body;
    (bytes.len() >= length).then_some(length)
}

/// All that is answered to `request` on a connection of its own: up to its end where the other side closes it, the
/// first answer otherwise.
pub(crate) fn exchanged(at: SocketAddr, request: &str) -> String {
    let mut connection = Connection::to(at);
    connection.send(request);
    if is_bare(request) {
        return connection.bare_message();
    }
    connection.message()
}

/// Whether the answer to a request has no body, whatever length it tells.
fn is_bare(request: &str) -> bool {
    request.starts_with("HEAD ")
}

impl Connection {
    /// The next message where it is a head only; nothing may follow it.
    fn bare_message(&mut self) -> String {
        self.stream().shutdown(std::net::Shutdown::Write).unwrap();
        let mut text = String::new();
        self.stream().read_to_string(&mut text).unwrap();
        text
    }
}

/// A listener of the test's.
pub(crate) struct Listener {
    pub at: SocketAddr,
    came: Receiver<TcpStream>,
}

impl Listener {
    pub(crate) fn start() -> Listener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (give, came) = channel();
        spawn(move || {
            for stream in listener.incoming() {
                if give.send(stream.unwrap()).is_err() {
                    return;
                }
            }
        });
        Listener { at, came }
    }

    /// The next connection that comes, once it is asked for its first message.
    pub(crate) fn connection(&self) -> Connection {
        Connection {
            stream: None,
            read: Vec::new(),
        }
    }

    fn accepted(&self) -> Connection {
        Connection::over(self.came.recv_timeout(LONG).expect("a connection comes"))
    }
}

/// Waits until something holds.
pub(crate) fn until(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "it comes about");
        std::thread::sleep(LOOK_AGAIN);
    }
}

/// A message with its line ends visible and what differs from run to run masked.
pub(crate) fn masked(message: &str) -> String {
    let message = without_ports(&without_times(message));
    message.replace("\r\n", "\\r\\n\n")
}

/// The ports of loopback addresses are those that the system had free.
fn without_ports(text: &str) -> String {
    const LOOPBACK: &str = "127.0.0.1:";
    let mut parts = text.split(LOOPBACK);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        masked.push_str(LOOPBACK);
        masked.push_str("(port)");
        masked.push_str(part.trim_start_matches(|letter: char| letter.is_ascii_digit()));
    }
    masked
}

/// What is left of a deadline, and when to come back, depend on the moment: their digits are masked, one run of them
/// by one mark before the point and each by its own after it.
fn without_times(text: &str) -> String {
    const TIMES: [&str; 2] = ["Req-Deadline: ", "Retry-After: "];
    let line = |line: &str| match TIMES.iter().find(|name| line.starts_with(**name)) {
        Some(name) => format!("{name}{}", without_digits(&line[name.len()..])),
        None => line.to_owned(),
    };
    text.split_inclusive("\r\n").map(line).collect()
}

fn without_digits(value: &str) -> String {
    let (whole, rest) = match value.find(|letter: char| !letter.is_ascii_digit()) {
        Some(end) => value.split_at(end),
        None => (value, ""),
    };
    let mark = if whole.is_empty() { "" } else { "#" };
    format!(
        "{mark}{}",
        rest.replace(|letter: char| letter.is_ascii_digit(), "#")
    )
}
