//! Codecs for HTTP/1.1: httparse parses the headers, and bodies come with a length or in chunks. Each message is
//! decoded once into a typed value and encoded once.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::Stream;
use httparse::{Header, Status};
use sagetrail_dispatch::{Reply, RunnerRequest, RunnerResponse};
use std::fmt::Write;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Longest header section in bytes: several times what the clients and runners of this protocol send.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest number of headers in a message.
const MAX_HEADERS: usize = 64;
/// Longest body in bytes, set by the protocol.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;
/// Longest change of the endpoint list in bytes: enough for thousands of runners.
pub(crate) const MAX_LINE_BYTES: usize = 4 << 20;

/// Reason why a message could not be read.
#[derive(Debug)]
pub(crate) enum Fault {
    /// It violates the protocol, for the reason given.
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    /// It began, but did not arrive completely in time.
    Unfinished,
    /// The response has another status than 200.
    Answer(u16),
    /// The connection failed.
    Broken(io::Error),
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Self {
        Fault::Broken(error)
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Malformed(reason) => f.write_str(reason),
            Fault::HeadTooLong => f.write_str("the head is too long"),
            Fault::BodyTooLong => f.write_str("the body is too long"),
            Fault::Unfinished => f.write_str("it does not come to its end"),
            Fault::Answer(status) => write!(f, "answered {status}"),
            Fault::Broken(error) => write!(f, "{error}"),
        }
    }
}

impl Fault {
    /// Status of the response to a request that could not be read; `None` if the client cannot be reached.
    pub(crate) fn status(&self) -> Option<u16> {
        match self {
            Fault::BodyTooLong => Some(413),
            Fault::HeadTooLong => Some(431),
            Fault::Malformed(_) => Some(400),
            Fault::Unfinished => Some(408),
            Fault::Broken(_) | Fault::Answer(_) => None,
        }
    }
}

fn malformed<T>(reason: &'static str) -> Result<T, Fault> {
    Err(Fault::Malformed(reason))
}

// ---- bodies ----

/// How the length of a body is given, and how far it has been read.
enum Framing {
    /// This many bytes are left.
    Length(usize),
    ChunkSize,
    /// This many bytes of the chunk are left.
    ChunkData(usize),
    /// The line break after the data of a chunk is expected.
    ChunkEnd,
    Trailers,
    /// The body ends with the connection.
    UntilClosed,
}

/// A body that is being received.
struct Body {
    framing: Framing,
    received: BytesMut,
    /// Longest body in bytes.
    max_bytes: usize,
}

impl Body {
    fn new(framing: Framing, max_bytes: usize) -> Result<Self, Fault> {
        match framing {
            Framing::Length(length) if length > max_bytes => Err(Fault::BodyTooLong),
            framing => Ok(Body {
                framing,
                received: BytesMut::new(),
                max_bytes,
            }),
        }
    }

    /// Takes received bytes from `src`; true once the body is complete.
    fn read(&mut self, src: &mut BytesMut) -> Result<bool, Fault> {
        loop {
            match &mut self.framing {
                Framing::Length(left) => {
                    let part = src.split_to(src.len().min(*left));
                    *left -= part.len();
                    self.received.extend_from_slice(&part);
                    return Ok(*left == 0);
                }
                Framing::UntilClosed => {
                    self.received.extend_from_slice(&src.split());
                    return if self.received.len() > self.max_bytes {
                        Err(Fault::BodyTooLong)
                    } else {
                        Ok(false)
                    };
                }
                Framing::ChunkSize => match httparse::parse_chunk_size(src) {
                    Ok(Status::Complete((length, size))) => {
                        src.advance(length);
                        if size > (self.max_bytes - self.received.len().min(self.max_bytes)) as u64
                        {
                            return Err(Fault::BodyTooLong);
                        }
                        let data = Framing::ChunkData(size as usize);
                        self.framing = if size == 0 { Framing::Trailers } else { data };
                    }
                    Ok(Status::Partial) if src.len() < MAX_HEAD_BYTES => return Ok(false),
                    _ => return malformed("a chunk's size cannot be read"),
                },
                Framing::ChunkData(left) => {
                    let part = src.split_to(src.len().min(*left));
                    *left -= part.len();
                    self.received.extend_from_slice(&part);
                    if *left > 0 {
                        return Ok(false);
                    }
                    self.framing = Framing::ChunkEnd;
                }
                Framing::ChunkEnd => match src.get(..2) {
                    None => return Ok(false),
                    Some(b"\r\n") => {
                        src.advance(2);
                        self.framing = Framing::ChunkSize;
                    }
                    Some(_) => return malformed("a chunk does not end where its size says"),
                },
                Framing::Trailers => match src.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => {
                        src.advance(end + 2);
                        if end == 0 {
                            return Ok(true);
                        }
                    }
                    None if src.len() < MAX_HEAD_BYTES => return Ok(false),
                    None => return Err(Fault::HeadTooLong),
                },
            }
        }
    }
}

/// What the headers of a message say about its body and its connection.
struct FramingHeaders {
    length: Option<usize>,
    chunked: bool,
    /// `Connection: close` was given.
    close: bool,
    /// `Connection: keep-alive` was given.
    keep_alive: bool,
}

/// Reads the headers that determine the length of the body and the end of the connection.
fn framing_headers(headers: &[Header]) -> Result<FramingHeaders, Fault> {
    let mut framing_headers = FramingHeaders {
        length: None,
        chunked: false,
        close: false,
        keep_alive: false,
    };
    for header in headers {
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok().map(str::trim);
            let digits = digits.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            let Some(length) = digits.and_then(|text| text.parse().ok()) else {
                return malformed("the length is no number");
            };
            if framing_headers.length.is_some_and(|other| other != length) {
                return malformed("two lengths");
            }
            framing_headers.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.eq_ignore_ascii_case(b"chunked") || framing_headers.chunked {
                return malformed("a transfer encoding other than chunked");
            }
            framing_headers.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for word in header.value.split(|b| *b == b',') {
                framing_headers.close |= word.trim_ascii().eq_ignore_ascii_case(b"close");
                framing_headers.keep_alive |= word.trim_ascii().eq_ignore_ascii_case(b"keep-alive");
            }
        }
    }
    if framing_headers.chunked && framing_headers.length.is_some() {
        return malformed("both a length and chunks");
    }
    Ok(framing_headers)
}

impl FramingHeaders {
    /// Whether the connection stays open after the message; `version` is the minor version of HTTP/1.
    fn keeps_alive(&self, version: Option<u8>) -> bool {
        !self.close && (version == Some(1) || self.keep_alive)
    }
}

/// Value of a header that must occur at most once and be text; `None` if it is absent.
fn value(headers: &[Header], name: &str) -> Result<Option<String>, Fault> {
    let mut found = headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name));
    match (found.next(), found.next()) {
        (None, _) => Ok(None),
        (Some(header), None) => match std::str::from_utf8(header.value) {
            Ok(text) => Ok(Some(text.trim().to_string())),
            Err(_) => malformed("a header is not text"),
        },
        _ => malformed("a header stands twice"),
    }
}

/// Length in bytes of a complete header section; `None` while more is expected.
fn head_length(
    parsed: Result<Status<usize>, httparse::Error>,
    available: usize,
) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(Status::Partial) if available < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => malformed("the head cannot be read"),
    }
}

/// Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the dispatcher sets itself in the request to a runner.
const NOT_FORWARDED: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    "req-deadline",
];

/// The headers that are forwarded to the runner, unchanged. Headers such as the key by which the runner drops a
/// duplicate are is_between_messages client and runner, so the dispatcher must not leave them out.
fn end_to_end(headers: &[Header]) -> Bytes {
    let is_connection_option = |name: &str| {
        let connection = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"));
        let mut options = connection.flat_map(|header| header.value.split(|b| *b == b','));
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    let mut lines = BytesMut::new();
    for Header { name, value } in headers {
        if !NOT_FORWARDED
            .iter()
            .any(|other| name.eq_ignore_ascii_case(other))
            && !is_connection_option(name)
        {
            [name.as_bytes(), b": ", value, b"\r\n"]
                .iter()
                .for_each(|part| lines.put_slice(part));
        }
    }
    lines.freeze()
}

// ---- requests of clients and runners ----

/// Method of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Get,
    Head,
    Post,
    Other,
}

/// A request of a client or runner.
#[derive(Debug)]
pub(crate) struct Request {
    pub method: Method,
    pub target: String,
    /// Value of `Req-Id`.
    pub id: Option<String>,
    /// Value of `Req-Kind`.
    pub category: Option<String>,
    /// Value of `Req-Deadline`: how long the client deadline, a number with its unit.
    pub deadline: Option<String>,
    /// Value of `Req-Extra`.
    pub extra: Option<String>,
    /// Value of `Req-Name`: the name of a recorded work item, the same in each of its requests.
    pub name: Option<String>,
    /// Header lines that are forwarded to the runner, unchanged.
    pub headers: Bytes,
    pub body: Bytes,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// Codec of the serving side: reads requests and writes replies.
#[derive(Default)]
pub(crate) struct Serving {
    /// The request whose body is being received.
    reading: Option<(Request, Body)>,
}

impl Serving {
    fn read_head(src: &mut BytesMut) -> Result<Option<(Request, Body)>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(src);
        let Some(length) = head_length(parsed, src.len())? else {
            return Ok(None);
        };
        let framing_headers = framing_headers(head.headers)?;
        let framing = if framing_headers.chunked {
            Framing::ChunkSize
        } else {
            Framing::Length(framing_headers.length.unwrap_or(0))
        };
        let method = match head.method {
            Some("GET") => Method::Get,
            Some("HEAD") => Method::Head,
            Some("POST") => Method::Post,
            _ => Method::Other,
        };
        let request = Request {
            method,
            target: head.path.unwrap_or_default().to_string(),
            id: value(head.headers, "req-id")?,
            category: value(head.headers, "req-kind")?,
            deadline: value(head.headers, "req-deadline")?,
            extra: value(head.headers, "req-extra")?,
            name: value(head.headers, "req-name")?,
            headers: end_to_end(head.headers),
            body: Bytes::new(),
            keep_alive: framing_headers.keeps_alive(head.version),
        };
        src.advance(length);
        Ok(Some((request, Body::new(framing, MAX_BODY_BYTES)?)))
    }
}

impl Decoder for Serving {
    type Item = Request;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Request>, Fault> {
        if self.reading.is_none() {
            self.reading = Self::read_head(src)?;
        }
        let Some((_, body)) = &mut self.reading else {
            return Ok(None);
        };
        if !body.read(src)? {
            return Ok(None);
        }
        Ok(self.reading.take().map(|(request, body)| Request {
            body: body.received.freeze(),
            ..request
        }))
    }
}

impl Serving {
    /// Whether no part of a further request has been decoded.
    pub(crate) fn is_between_messages(&self) -> bool {
        self.reading.is_none()
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Answer",
    }
}

impl Encoder<Reply> for Serving {
    type Error = Fault;

    fn encode(&mut self, reply: Reply, dst: &mut BytesMut) -> Result<(), Fault> {
        let mut head = format!(
            "HTTP/1.1 {} {}\r\n",
            reply.status,
            reason_phrase(reply.status)
        );
        if reply.status != 204 {
            let _ = write!(head, "Content-Length: {}\r\n", reply.body.len());
        }
        if reply.retry_after_s > 0.0 {
            let _ = write!(head, "Retry-After: {:.3}\r\n", reply.retry_after_s);
        }
        head.push_str(if reply.close_connection {
            "Connection: close\r\n\r\n"
        } else {
            "\r\n"
        });
        dst.reserve(head.len() + reply.body.len());
        dst.put_slice(head.as_bytes());
        if !reply.headers_only && reply.status != 204 {
            dst.put_slice(&reply.body);
        }
        Ok(())
    }
}

// ---- requests to runners and their responses ----

/// Codec of the calling side: writes requests to a runner and reads its responses.
pub(crate) struct Calling {
    /// Address of the runner.
    address: SocketAddr,
    reading: Option<(RunnerResponse, Body)>,
}

impl Calling {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Calling {
            address,
            reading: None,
        }
    }

    /// Address of the runner.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether no part of a response has been decoded.
    pub(crate) fn is_between_messages(&self) -> bool {
        self.reading.is_none()
    }
}

impl Encoder<RunnerRequest> for Calling {
    type Error = Fault;

    fn encode(&mut self, message: RunnerRequest, dst: &mut BytesMut) -> Result<(), Fault> {
        let host = self.address;
        match message {
            RunnerRequest::Work {
                target,
                headers,
                time_left_s,
                body,
                ..
            } => {
                let time_left_ms = (time_left_s * 1e3).max(0.0) as u64;
                let head = format!(
                    "POST {target} HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {time_left_ms}m\r\nContent-Length: {}\r\n",
                    body.len()
                );
                dst.reserve(head.len() + headers.len() + 2 + body.len());
                [head.as_bytes(), &headers, b"\r\n", &body]
                    .iter()
                    .for_each(|part| dst.put_slice(part));
            }
            RunnerRequest::Cancel { id } => {
                let head = format!(
                    "DELETE /jobs/{id} HTTP/1.1\r\nHost: {host}\r\nContent-Length: 0\r\n\r\n"
                );
                dst.put_slice(head.as_bytes());
            }
        }
        Ok(())
    }
}

/// Reads the header section of a response and skips interim responses.
fn read_response_head(
    src: &mut BytesMut,
    max_body_bytes: usize,
) -> Result<Option<(RunnerResponse, Body)>, Fault> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(src);
        let Some(length) = head_length(parsed, src.len())? else {
            return Ok(None);
        };
        let status = head.code.unwrap_or(0);
        let framing_headers = framing_headers(head.headers)?;
        let is_declined = value(head.headers, "srv-declined")?.is_some_and(|text| text == "1");
        let framing = match framing_headers.length {
            _ if matches!(status, 204 | 304) => Framing::Length(0),
            _ if framing_headers.chunked => Framing::ChunkSize,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClosed,
        };
        let keep_alive =
            framing_headers.keeps_alive(head.version) && !matches!(framing, Framing::UntilClosed);
        src.advance(length);
        if !(100..200).contains(&status) {
            return Ok(Some((
                RunnerResponse {
                    status,
                    is_declined,
                    may_be_duplicate: false,
                    keep_alive,
                },
                Body::new(framing, max_body_bytes)?,
            )));
        }
    }
}

impl Decoder for Calling {
    type Item = RunnerResponse;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<RunnerResponse>, Fault> {
        if self.reading.is_none() {
            self.reading = read_response_head(src, MAX_BODY_BYTES)?;
        }
        let Some((_, body)) = &mut self.reading else {
            return Ok(None);
        };
        if !body.read(src)? {
            return Ok(None);
        }
        Ok(self.reading.take().map(|(response, _)| response))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<RunnerResponse>, Fault> {
        if let Some(response) = self.decode(src)? {
            return Ok(Some(response));
        }
        match self.reading.take() {
            Some((
                response,
                Body {
                    framing: Framing::UntilClosed,
                    ..
                },
            )) => Ok(Some(response)),
            None if src.is_empty() => Ok(None),
            _ => malformed("the answer breaks off"),
        }
    }
}

// ---- the watch on the endpoint list ----

/// Request for the changes of the endpoint list after a version.
pub(crate) struct WatchRequest {
    /// The last version that is known.
    pub after: u64,
}

/// Codec of the watch on the endpoint list: reads its lines, also the empty ones that serve as heartbeats.
#[derive(Default)]
pub(crate) struct Watching {
    host: String,
    reading: Option<Body>,
    /// Whether the body is complete.
    is_complete: bool,
}

impl Watching {
    pub(crate) fn new(host: String) -> Self {
        Watching {
            host,
            ..Watching::default()
        }
    }
}

impl Encoder<WatchRequest> for Watching {
    type Error = Fault;

    fn encode(&mut self, request: WatchRequest, dst: &mut BytesMut) -> Result<(), Fault> {
        let (after, host) = (request.after, &self.host);
        let head = format!(
            "GET /registry/instances?stream=1&index={after} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        );
        dst.put_slice(head.as_bytes());
        Ok(())
    }
}

impl Decoder for Watching {
    type Item = Bytes;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
        if self.reading.is_none() {
            match read_response_head(src, MAX_LINE_BYTES)? {
                Some((RunnerResponse { status: 200, .. }, body)) => self.reading = Some(body),
                Some((response, _)) => return Err(Fault::Answer(response.status)),
                None => return Ok(None),
            }
        }
        let Some(body) = &mut self.reading else {
            return Ok(None);
        };
        if !self.is_complete {
            self.is_complete = body.read(src)?;
        }
        match body.received.iter().position(|b| *b == b'\n') {
            Some(end) => Ok(Some(body.received.split_to(end + 1).freeze().slice(..end))),
            None if self.is_complete && !body.received.is_empty() => {
                Ok(Some(body.received.split().freeze()))
            }
            None => Ok(None),
        }
    }
}

/// Reads the next message; `None` once the connection is closed.
pub(crate) async fn next<C: Decoder>(
    wire: &mut Framed<TcpStream, C>,
) -> Option<Result<C::Item, C::Error>> {
    poll_fn(|cx| Pin::new(&mut *wire).poll_next(cx)).await
}

/// Wraps a connection with its codec. If the option cannot be set, small messages are delayed a little and nothing else
/// is lost.
pub(crate) fn wire<C>(stream: TcpStream, codec: C) -> Framed<TcpStream, C> {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("cannot set TCP_NODELAY, small messages may be delayed: {error}");
    }
    Framed::new(stream, codec)
}
