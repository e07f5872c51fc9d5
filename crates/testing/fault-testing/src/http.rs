//! The part of HTTP/1.1 that the stand-ins need.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::tcp::OwnedReadHalf;

/// The largest message, in bytes, that a stand-in sends or accepts.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

#[derive(Debug)]
pub(crate) struct Message {
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The offset of the first byte of the message in the bytes of the connection.
    pub offset: u64,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if it has none.
    pub(crate) fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    /// The method and the target of a request.
    pub(crate) fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }
}

pub(crate) struct Reader<R> {
    from: R,
    buffer: Vec<u8>,
    offset: u64,
}

impl Reader<OwnedReadHalf> {
    /// Whether the other side has closed the connection or sent something unasked.
    pub(crate) fn is_closed(&self) -> bool {
        let looked = self.from.try_read(&mut [0; 1]);
        !matches!(looked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub(crate) fn new(from: R) -> Self {
        Reader {
            from,
            buffer: Vec::new(),
            offset: 0,
        }
    }

    /// Whether a part of a message has arrived.
    pub(crate) fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn read_more(&mut self) -> io::Result<bool> {
        if self.buffer.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut part = [0; 8 << 10];
        let got = self.from.read(&mut part).await?;
        self.buffer.extend_from_slice(&part[..got]);
        Ok(got > 0)
    }

    /// Reads the next message. Returns `None` if the connection ended after a whole message.
    pub(crate) async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; 64];
            let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
            let head = if self.buffer.starts_with(b"HTTP/") {
                let mut answer = httparse::Response::new(&mut headers);
                let status = answer.parse(&self.buffer).map_err(bad)?;
                let first = format!("HTTP/1.1 {}", answer.code.unwrap_or(0));
                status
                    .is_complete()
                    .then(|| (status.unwrap(), first, owned_headers(answer.headers)))
            } else {
                let mut call = httparse::Request::new(&mut headers);
                let status = call.parse(&self.buffer).map_err(bad)?;
                let first = format!(
                    "{} {}",
                    call.method.unwrap_or_default(),
                    call.path.unwrap_or_default()
                );
                status
                    .is_complete()
                    .then(|| (status.unwrap(), first, owned_headers(call.headers)))
            };
            if let Some((length, first, headers)) = head {
                let said = headers.iter().find(|(name, _)| name == "content-length");
                let body = said.map_or(Ok(0), |(_, length)| length.parse::<usize>());
                let body = body
                    .ok()
                    .filter(|body| *body <= MAX_MESSAGE_BYTES)
                    .ok_or(io::ErrorKind::InvalidData)?;
                while self.buffer.len() < length + body {
                    if !self.read_more().await? {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                let offset = self.offset;
                self.offset += (length + body) as u64;
                let rest = self.buffer.split_off(length + body);
                let mut whole = std::mem::replace(&mut self.buffer, rest);
                return Ok(Some(Message {
                    first,
                    headers,
                    body: whole.split_off(length),
                    offset,
                }));
            }
            if !self.read_more().await? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let owned = |header: &httparse::Header| {
        (
            header.name.to_lowercase(),
            String::from_utf8_lossy(header.value).trim().to_string(),
        )
    };
    headers.iter().map(owned).collect()
}
