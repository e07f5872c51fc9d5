//! HTTP/1.1 over TCP: calls with a time limit for the whole exchange, and a server that answers health checks.

use std::io::{Error, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// A kept connection to one address, which is opened again after a failure.
pub struct Connection {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Connection {
    pub fn new(address: SocketAddr) -> Connection {
        Connection {
            address,
            stream: None,
        }
    }

    /// Sends a request and reads the whole answer. Fails when `limit` is over.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        headers: &str,
        body: &str,
        limit: Duration,
    ) -> std::io::Result<Answer> {
        let until = Instant::now() + limit;
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, limit)?;
                stream.set_nodelay(true)?;
                stream
            }
        };
        let (answer, keep) = exchange(
            &stream,
            &format!(
                "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                body.len()
            ),
            until,
        )?;
        if keep {
            self.stream = Some(stream);
        }
        Ok(answer)
    }
}

fn left(until: Instant) -> std::io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(Error::from(ErrorKind::TimedOut));
    }
    Ok(left)
}

fn exchange(
    mut stream: &TcpStream,
    request: &str,
    until: Instant,
) -> std::io::Result<(Answer, bool)> {
    stream.set_write_timeout(Some(left(until)?))?;
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 65536];
    let head_end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        read_some(stream, &mut bytes, &mut chunk, until)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|length| length.trim().parse().ok())
        .unwrap_or(0);
    while bytes.len() < head_end + length {
        read_some(stream, &mut bytes, &mut chunk, until)?;
    }
    let body = String::from_utf8_lossy(&bytes[head_end..head_end + length]).into_owned();
    let keep = !head.contains("connection: close");
    Ok((Answer { status, body }, keep))
}

fn read_some(
    mut stream: &TcpStream,
    bytes: &mut Vec<u8>,
    chunk: &mut [u8],
    until: Instant,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(left(until)?))?;
    let read = stream.read(chunk)?;
    if read == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    bytes.extend_from_slice(&chunk[..read]);
    Ok(())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Answers every request at `address` with 200 until `stop` is set; then the port is closed.
pub fn serve_health(address: SocketAddr, stop: Arc<AtomicBool>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    std::thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((mut stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                    let _ = stream.read(&mut [0; 4096]);
                    let _ = stream.write_all(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                    );
                }
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    });
    Ok(())
}
