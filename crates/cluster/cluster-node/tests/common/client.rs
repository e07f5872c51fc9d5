//! A simple HTTP client that opens a connection for each request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// The time-out for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(3);

/// A request.
#[derive(Default)]
pub(crate) struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub base_version: Option<u64>,
    pub body: Option<&'a Value>,
}

/// The response to a [`Call`].
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Parses the body as JSON; returns `Null` if it is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

/// Sends a request and waits for the complete response.
pub(crate) fn call(address: SocketAddr, call: Call) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let body = call.body.map_or_else(String::new, Value::to_string);
    let host = if call.host.is_empty() {
        "cluster"
    } else {
        call.host
    };
    let base = call
        .base_version
        .map_or_else(String::new, |base| format!("Base-Version: {base}\r\n"));
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {host}\r\n{base}Connection: close\r\nDeadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n",
        call.method,
        call.path,
        body.len()
    );
    stream.write_all((head + &body).as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let (head, body) = text
        .split_once("\r\n\r\n")
        .ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Answer {
        status: status.ok_or(std::io::ErrorKind::InvalidData)?,
        body: body.to_owned(),
    })
}
