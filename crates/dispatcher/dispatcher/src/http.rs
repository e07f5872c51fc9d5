//! HTTP/1.1 on the wire, as codecs: heads by httparse, bodies by length or in chunks. Each message is decoded
//! once into a small typed value and encoded once.

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

/// Several times what any client or runner here sends.
pub(crate) const HEAD_MOST: usize = 16 << 10;
const HEADERS_MOST: usize = 64;
/// The protocol's bound on bodies.
pub(crate) const BODY_MOST: usize = 64 << 10;
/// One line of the list: thousands of runners.
pub(crate) const LINE_MOST: usize = 4 << 20;

/// Why a message could not be read.
#[derive(Debug)]
pub(crate) enum Fault {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    /// It was begun and did not come to its end.
    Unfinished,
    /// The answer was another than hoped for.
    Answer(u16),
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
            Fault::Malformed(what) => f.write_str(what),
            Fault::HeadTooLong => f.write_str("the head is too long"),
            Fault::BodyTooLong => f.write_str("the body is too long"),
            Fault::Unfinished => f.write_str("it does not come to its end"),
            Fault::Answer(status) => write!(f, "answered {status}"),
            Fault::Broken(error) => write!(f, "{error}"),
        }
    }
}

impl Fault {
    /// What a request that could not be read is answered with; `None` where nobody is there to read it.
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

fn malformed<T>(what: &'static str) -> Result<T, Fault> {
    Err(Fault::Malformed(what))
}

// ---- bodies ----

enum Framing {
    Length(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailers,
    UntilClosed,
}

/// A body on its way in.
struct Body {
    framing: Framing,
    got: BytesMut,
    most: usize,
}

impl Body {
    fn new(framing: Framing, most: usize) -> Result<Self, Fault> {
        match framing {
            Framing::Length(length) if length > most => Err(Fault::BodyTooLong),
            framing => Ok(Body {
                framing,
                got: BytesMut::new(),
                most,
            }),
        }
    }

    /// Moves what has come from `src`; true once the body is whole.
    fn read(&mut self, src: &mut BytesMut) -> Result<bool, Fault> {
        loop {
            match &mut self.framing {
                Framing::Length(left) => {
                    let part = src.split_to(src.len().min(*left));
                    *left -= part.len();
                    self.got.extend_from_slice(&part);
                    return Ok(*left == 0);
                }
                Framing::UntilClosed => {
                    self.got.extend_from_slice(&src.split());
                    return if self.got.len() > self.most {
                        Err(Fault::BodyTooLong)
                    } else {
                        Ok(false)
                    };
                }
                Framing::ChunkSize => match httparse::parse_chunk_size(src) {
                    Ok(Status::Complete((length, size))) => {
                        src.advance(length);
                        if size > (self.most - self.got.len().min(self.most)) as u64 {
                            return Err(Fault::BodyTooLong);
                        }
                        let data = Framing::ChunkData(size as usize);
                        self.framing = if size == 0 { Framing::Trailers } else { data };
                    }
                    Ok(Status::Partial) if src.len() < HEAD_MOST => return Ok(false),
                    _ => return malformed("a chunk's size cannot be read"),
                },
                Framing::ChunkData(left) => {
                    let part = src.split_to(src.len().min(*left));
                    *left -= part.len();
                    self.got.extend_from_slice(&part);
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
                    None if src.len() < HEAD_MOST => return Ok(false),
                    None => return Err(Fault::HeadTooLong),
                },
            }
        }
    }
}

/// What the headers of any message say of its framing.
struct Said {
    length: Option<usize>,
    chunked: bool,
    close: bool,
    keep: bool,
}

fn said(headers: &[Header]) -> Result<Said, Fault> {
    let mut said = Said {
        length: None,
        chunked: false,
        close: false,
        keep: false,
    };
    for header in headers {
        let name = header.name;
        if name.eq_ignore_ascii_case("content-length") {
            let digits = std::str::from_utf8(header.value).ok().map(str::trim);
            let digits = digits.filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
            let Some(length) = digits.and_then(|text| text.parse().ok()) else {
                return malformed("the length is no number");
            };
            if said.length.is_some_and(|other| other != length) {
                return malformed("two lengths");
            }
            said.length = Some(length);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.eq_ignore_ascii_case(b"chunked") || said.chunked {
                return malformed("a transfer encoding other than chunked");
            }
            said.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for word in header.value.split(|b| *b == b',') {
                said.close |= word.trim_ascii().eq_ignore_ascii_case(b"close");
                said.keep |= word.trim_ascii().eq_ignore_ascii_case(b"keep-alive");
            }
        }
    }
    if said.chunked && said.length.is_some() {
        return malformed("both a length and chunks");
    }
    Ok(said)
}

impl Said {
    fn keeps(&self, version: Option<u8>) -> bool {
        !self.close && (version == Some(1) || self.keep)
    }
}

/// A header's value, if it is there once and is text.
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

/// The length of a whole head, `None` while more must come.
fn whole(
    parsed: Result<Status<usize>, httparse::Error>,
    has: usize,
) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(Status::Complete(length)) if length <= HEAD_MOST => Ok(Some(length)),
        Ok(Status::Partial) if has < HEAD_MOST => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Fault::HeadTooLong),
        Err(_) => malformed("the head cannot be read"),
    }
}

/// Headers between two neighbours (RFC 9110, 7.6.1), and those that are written anew for a runner.
const NOT_PASSED_ON: [&str; 13] = [
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

/// The headers that go on with a request to its runner, as they came: what a client says to the runner, such as the
/// key by which that drops a repeat, is not the dispatcher's to leave out.
fn end_to_end(headers: &[Header]) -> Bytes {
    let named = |name: &str| {
        let connection = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"));
        let mut options = connection.flat_map(|header| header.value.split(|b| *b == b','));
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
    };
    let mut lines = BytesMut::new();
    for Header { name, value } in headers {
        if !NOT_PASSED_ON
            .iter()
            .any(|other| name.eq_ignore_ascii_case(other))
            && !named(name)
        {
            [name.as_bytes(), b": ", value, b"\r\n"]
                .iter()
                .for_each(|part| lines.put_slice(part));
        }
    }
    lines.freeze()
}

// ---- what clients and runners send here ----

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Get,
    Head,
    Post,
    Other,
}

#[derive(Debug)]
pub(crate) struct Request {
    pub method: Method,
    pub target: String,
    pub id: Option<String>,
    pub category: Option<String>,
    /// How long the client will wait, as it says it.
    pub waits: Option<String>,
    pub extra: Option<String>,
    /// What a recorded work item goes by, the same at each try.
    pub name: Option<String>,
    /// What goes on to the runner, header lines as they came.
    pub headers: Bytes,
    pub body: Bytes,
    pub keep: bool,
}

#[derive(Default)]
pub(crate) struct Serving {
    reading: Option<(Request, Body)>,
}

impl Serving {
    fn head(src: &mut BytesMut) -> Result<Option<(Request, Body)>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Request::new(&mut headers);
        let parsed = head.parse(src);
        let Some(length) = whole(parsed, src.len())? else {
            return Ok(None);
        };
        let said = said(head.headers)?;
        let framing = if said.chunked {
            Framing::ChunkSize
        } else {
            Framing::Length(said.length.unwrap_or(0))
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
            waits: value(head.headers, "req-deadline")?,
            extra: value(head.headers, "req-extra")?,
            name: value(head.headers, "req-name")?,
            headers: end_to_end(head.headers),
            body: Bytes::new(),
            keep: said.keeps(head.version),
        };
        src.advance(length);
        Ok(Some((request, Body::new(framing, BODY_MOST)?)))
    }
}

impl Decoder for Serving {
    type Item = Request;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Request>, Fault> {
        if self.reading.is_none() {
            self.reading = Self::head(src)?;
        }
        let Some((_, body)) = &mut self.reading else {
            return Ok(None);
        };
        if !body.read(src)? {
            return Ok(None);
        }
        Ok(self.reading.take().map(|(request, body)| Request {
            body: body.got.freeze(),
            ..request
        }))
    }
}

impl Serving {
    /// Nothing of a further request has come.
    pub(crate) fn between(&self) -> bool {
        self.reading.is_none()
    }
}

fn reason(status: u16) -> &'static str {
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
        let mut head = format!("HTTP/1.1 {} {}\r\n", reply.status, reason(reply.status));
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

// ---- what goes to runners and what they answer ----

pub(crate) struct Calling {
    at: SocketAddr,
    reading: Option<(RunnerResponse, Body)>,
}

impl Calling {
    pub(crate) fn new(at: SocketAddr) -> Self {
        Calling { at, reading: None }
    }

    /// Where the connection leads.
    pub(crate) fn at(&self) -> SocketAddr {
        self.at
    }

    /// Nothing of an answer has come.
    pub(crate) fn between(&self) -> bool {
        self.reading.is_none()
    }
}

impl Encoder<RunnerRequest> for Calling {
    type Error = Fault;

    fn encode(&mut self, message: RunnerRequest, dst: &mut BytesMut) -> Result<(), Fault> {
        let host = self.at;
        match message {
            RunnerRequest::Work {
                target,
                headers,
                time_left_s,
                body,
                ..
            } => {
                let wait = (time_left_s * 1e3).max(0.0) as u64;
                let head = format!(
                    "POST {target} HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {wait}m\r\nContent-Length: {}\r\n",
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

/// An answer's head, past any interim ones: its status, headers and framing.
fn answer(src: &mut BytesMut, most: usize) -> Result<Option<(RunnerResponse, Body)>, Fault> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(src);
        let Some(length) = whole(parsed, src.len())? else {
            return Ok(None);
        };
        let status = head.code.unwrap_or(0);
        let said = said(head.headers)?;
        let is_declined = value(head.headers, "srv-declined")?.is_some_and(|said| said == "1");
        let framing = match said.length {
            _ if matches!(status, 204 | 304) => Framing::Length(0),
            _ if said.chunked => Framing::ChunkSize,
            Some(length) => Framing::Length(length),
            None => Framing::UntilClosed,
        };
        let keep_alive = said.keeps(head.version) && !matches!(framing, Framing::UntilClosed);
        src.advance(length);
        if !(100..200).contains(&status) {
            return Ok(Some((
                RunnerResponse {
                    status,
                    is_declined,
                    may_be_duplicate: false,
                    keep_alive,
                },
                Body::new(framing, most)?,
            )));
        }
    }
}

impl Decoder for Calling {
    type Item = RunnerResponse;
    type Error = Fault;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<RunnerResponse>, Fault> {
        if self.reading.is_none() {
            self.reading = answer(src, BODY_MOST)?;
        }
        let Some((_, body)) = &mut self.reading else {
            return Ok(None);
        };
        if !body.read(src)? {
            return Ok(None);
        }
        Ok(self.reading.take().map(|(answer, _)| answer))
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<RunnerResponse>, Fault> {
        if let Some(answer) = self.decode(src)? {
            return Ok(Some(answer));
        }
        match self.reading.take() {
            Some((
                answer,
                Body {
                    framing: Framing::UntilClosed,
                    ..
                },
            )) => Ok(Some(answer)),
            None if src.is_empty() => Ok(None),
            _ => malformed("the answer breaks off"),
        }
    }
}

// ---- the list's watch ----

/// Asks for the changes after a version.
pub(crate) struct AskList {
    pub after: u64,
}

/// Lines as they come, the empty ones too.
#[derive(Default)]
pub(crate) struct Watching {
    host: String,
    reading: Option<Body>,
    whole: bool,
}

impl Watching {
    pub(crate) fn new(host: String) -> Self {
        Watching {
            host,
            ..Watching::default()
        }
    }
}

impl Encoder<AskList> for Watching {
    type Error = Fault;

    fn encode(&mut self, ask: AskList, dst: &mut BytesMut) -> Result<(), Fault> {
        let (after, host) = (ask.after, &self.host);
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
            match answer(src, LINE_MOST)? {
                Some((RunnerResponse { status: 200, .. }, body)) => self.reading = Some(body),
                Some((answer, _)) => return Err(Fault::Answer(answer.status)),
                None => return Ok(None),
            }
        }
        let Some(body) = &mut self.reading else {
            return Ok(None);
        };
        if !self.whole {
            self.whole = body.read(src)?;
        }
        match body.got.iter().position(|b| *b == b'\n') {
            Some(end) => Ok(Some(body.got.split_to(end + 1).freeze().slice(..end))),
            None if self.whole && !body.got.is_empty() => Ok(Some(body.got.split().freeze())),
            None => Ok(None),
        }
    }
}

/// The next message of a connection; `None` once it is closed.
pub(crate) async fn next<C: Decoder>(
    wire: &mut Framed<TcpStream, C>,
) -> Option<Result<C::Item, C::Error>> {
    poll_fn(|cx| Pin::new(&mut *wire).poll_next(cx)).await
}

/// A connection as a wire of messages. Guards against a system that refuses to set the option: without it small
/// messages go out a little later, and nothing else is lost.
pub(crate) fn wire<C>(stream: TcpStream, codec: C) -> Framed<TcpStream, C> {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!("a connection's small messages may be held back: {error}");
    }
    Framed::new(stream, codec)
}
