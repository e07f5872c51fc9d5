//! Connections on which a test sees every byte of HTTP, and masks for what differs from run to run.

use crate::stage::MAX_WAIT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A connection that the test has opened or accepted.
pub(crate) struct Connection {
    stream: Option<TcpStream>,
    read: Vec<u8>,
}

impl Connection {
    /// Connects to `at`.
    pub(crate) fn to(at: SocketAddr) -> Connection {
        Connection::over(TcpStream::connect(at).unwrap())
    }

    fn over(stream: TcpStream) -> Connection {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
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

    /// Reads the next message byte by byte: its header section and a body of the length that this gives.
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

    /// Reads the next message to a listener of the test, on this connection or, the first time, on the next one that is
    /// accepted.
    pub(crate) fn next(&mut self, from: &Listener) -> String {
        if self.stream.is_none() {
            *self = from.accepted();
        }
        self.message()
    }
}

/// Length of the first message in the bytes, if it is complete.
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

/// Sends `request` on its own connection and returns the response.
pub(crate) fn exchanged(at: SocketAddr, request: &str) -> String {
    let mut connection = Connection::to(at);
    connection.send(request);
    if is_bare(request) {
        return connection.bare_message();
    }
    connection.message()
}

/// Whether the response to a request has no body, whatever length it gives.
fn is_bare(request: &str) -> bool {
    request.starts_with("HEAD ")
}

impl Connection {
    /// Reads a message without a body, which nothing may follow.
    fn bare_message(&mut self) -> String {
        self.stream().shutdown(std::net::Shutdown::Write).unwrap();
        let mut text = String::new();
        self.stream().read_to_string(&mut text).unwrap();
        text
    }
}

/// A listener of the test.
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

    /// The next connection, accepted when its first message is read.
    pub(crate) fn connection(&self) -> Connection {
        Connection {
            stream: None,
            read: Vec::new(),
        }
    }

    fn accepted(&self) -> Connection {
        Connection::over(
            self.came
                .recv_timeout(MAX_WAIT)
                .expect("a connection comes"),
        )
    }
}

/// Waits until a condition holds.
pub(crate) fn until(holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MAX_WAIT, "it comes about");
        std::thread::sleep(CHECK_INTERVAL);
    }
}

/// Makes line ends visible and masks what differs from run to run.
pub(crate) fn masked(message: &str) -> String {
    let message = without_ports(&without_times(message));
    message.replace("\r\n", "\\r\\n\n")
}

/// Masks the ports of loopback addresses, which the system assigns.
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

/// Masks the digits of remaining times and retry times, which depend on the moment: those before the point by one mark,
/// and each one after it by its own.
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
