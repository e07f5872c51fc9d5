//! Connections that break at any point. Guards against responses that reach another caller or come in the wrong order,
//! against handling a request or message that was received only in part, and against messages that are sent twice.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use deku::DekuContainerWrite;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use sagetrail_cluster_node::clocks::Clocks;
use sagetrail_cluster_node::http::{serve, ConnectionLimit, ServerContext};
use sagetrail_cluster_node::input::{Input, Inputs};
use sagetrail_cluster_node::lifecycle::watch_phase;
use sagetrail_cluster_node::process::{Process, ProcessEnd, ProcessParts};
use sagetrail_cluster_node::transport::Transport;
use sagetrail_protocol::frame::{
    decode, Preamble, LENGTH_BYTES, MAGIC, PREAMBLE_BYTES, PROTOCOL_VERSION,
};
use sagetrail_protocol::node::{Event, HttpEndpoint, HttpReply, HttpRequestId, Node, Now, Outbox};
use sagetrail_protocol::{Message, NodeId, Time};

use common::{free_node, long, numbered, with_timeout};

const SCHEDULES: u64 = 150;
const RESETS: usize = 30;
/// The length of a message's document, in bytes. It is long enough that much data is in transit when a connection
/// breaks.
const LONG_BYTES: usize = 32 << 10;
const EVICTIONS: usize = 100;
const CONNECTIONS: usize = 16;

#[derive(Default)]
struct Seen {
    paths: Vec<String>,
    abandoned: usize,
}

/// Answers each request with its own path: paths that start with `/wait/` at a wake in a random order, others at once.
struct Echo {
    held: BTreeMap<HttpRequestId, String>,
    random: SmallRng,
    seen: Arc<Mutex<Seen>>,
    wake_at: Option<Time>,
}

impl Echo {
    fn answer(id: HttpRequestId, path: String, outbox: &mut Outbox) {
        outbox.reply(
            id,
            HttpReply {
                status: 200,
                retry_after_s: None,
                body: path.into_bytes(),
            },
        );
    }
}

impl Node for Echo {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        match event {
            Event::Http { id, request, .. } => {
                self.seen.lock().unwrap().paths.push(request.path.clone());
                if request.path.starts_with("/wait/") {
                    assert!(
                        self.held.insert(id, request.path).is_none(),
                        "two requests have the same id"
                    );
                    self.wake_at.get_or_insert(now.steady.plus_millis(1));
                } else {
                    Echo::answer(id, request.path, outbox);
                }
            }
            Event::HttpAbandoned { id } => {
                assert!(
                    self.held.remove(&id).is_some(),
                    "a request was abandoned after its reply"
                );
                self.seen.lock().unwrap().abandoned += 1;
            }
            Event::Wake => {
                let position = self.random.random_range(0..self.held.len().max(1));
                let id = self.held.keys().nth(position).copied();
                let answered = id.and_then(|id| self.held.remove_entry(&id));
                answered
                    .into_iter()
                    .for_each(|(id, path)| Echo::answer(id, path, outbox));
                self.wake_at = (!self.held.is_empty()).then(|| now.steady.plus_millis(1));
            }
            _ => {}
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.wake_at
    }
}

struct TestServer {
    endpoint: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    _inputs: Inputs,
    _running: tokio::task::JoinHandle<ProcessEnd>,
}

fn start(connection_limit: usize, seed: u64) -> TestServer {
    let (sender, inputs) = mpsc::unbounded_channel();
    let node = free_node();
    let transport = Transport::start(node, 1, sender.clone()).unwrap();
    let (phase, watch) = watch_phase();
    let next_id = Arc::new(AtomicU64::new(1));
    let context = ServerContext {
        inputs: sender.clone(),
        phase: watch,
        connection_limit: ConnectionLimit::of(connection_limit),
        next_id,
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = serve(any, HttpEndpoint::Frontend, context).unwrap().address;
    let seen = Arc::new(Mutex::new(Seen::default()));
    let random = SmallRng::seed_from_u64(seed);
    let echo = Echo {
        held: BTreeMap::new(),
        random,
        seen: Arc::clone(&seen),
        wake_at: None,
    };
    let running = tokio::task::spawn_local(async move {
        let clocks = Clocks::start();
        let grace = Duration::from_secs(5);
        let parts = ProcessParts {
            node,
            clocks,
            inputs,
            transport,
            disk: None,
            health_check_results: None,
            phase,
            grace,
        };
        Process::new(Box::new(echo), Outbox::default(), parts)
            .run()
            .await
    });
    TestServer {
        endpoint,
        seen,
        _inputs: sender,
        _running: running,
    }
}

async fn run_local<F: std::future::Future>(future: F) -> F::Output {
    tokio::task::LocalSet::new().run_until(future).await
}

/// Creates a request: by `kind`, without a body, with a `Content-Length`, or with a chunked body.
fn request(path: &str, kind: u32) -> String {
    match kind % 3 {
        0 => format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"),
        1 => format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n0123456789"),
        _ => format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
        ),
    }
}

/// Reads the body of the next response; returns `None` if the connection ends before the response is complete.
async fn read_response(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(received).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let content_length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = content_length.map_or(0, |length| length.parse().unwrap());
            if rest.len() >= length {
                received.drain(..head.len() + 4 + length);
                return Some(rest[..length].to_owned());
            }
        }
        match with_timeout(stream.read_buf(received)).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Closes the connection, with a reset or in order.
fn close(stream: TcpStream, by_reset: bool) {
    if by_reset {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// Sends pipelined requests in two writes that are split at a random byte, reads some or all of the responses, and
/// closes the connection.
async fn pipeline(endpoint: SocketAddr, name: String, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut stream = TcpStream::connect(endpoint).await.unwrap();
    let path_prefix = |random: &mut SmallRng| {
        if random.random_bool(0.6) {
            "wait"
        } else {
            "now"
        }
    };
    let paths: Vec<String> = (0..5)
        .map(|number| format!("/{}/{name}-{number}", path_prefix(&mut random)))
        .collect();
    let text: String = paths
        .iter()
        .map(|path| request(path, random.random_range(0..3)))
        .collect();
    let (first, second) = text.as_bytes().split_at(random.random_range(0..text.len()));
    let responses = if random.random_bool(0.3) {
        random.random_range(0..5)
    } else {
        5
    };
    let mut received = Vec::new();
    for part in [first, second] {
        stream.write_all(part).await.unwrap();
        tokio::task::yield_now().await;
    }
    for path in &paths[..responses] {
        assert_eq!(
            read_response(&mut stream, &mut received).await.as_ref(),
            Some(path),
            "schedule {seed}"
        );
    }
    close(stream, random.random_bool(0.5));
}

#[tokio::test]
async fn pipelined_requests_get_their_own_responses_while_other_connections_break() {
    run_local(async {
        for seed in 0..SCHEDULES {
            let server = start(100, seed);
            let clients: Vec<_> = (0..6)
                .map(|client| {
                    pipeline(
                        server.endpoint,
                        format!("{seed}-{client}"),
                        seed * 6 + client,
                    )
                })
                .map(tokio::task::spawn_local)
                .collect();
            for client in clients {
                client.await.unwrap();
            }
        }
    })
    .await;
}

#[tokio::test]
async fn a_partially_received_request_is_never_handled() {
    run_local(async {
        let server = start(1000, 1);
        for kind in 0..3 {
            let complete = request("/now/part", kind);
            for length in 1..complete.len() {
                let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
                stream
                    .write_all(&complete.as_bytes()[..length])
                    .await
                    .unwrap();
                close(stream, length % 2 == 0);
                tokio::task::yield_now().await;
            }
        }
        let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
        stream
            .write_all(request("/now/whole", 1).as_bytes())
            .await
            .unwrap();
        assert_eq!(
            read_response(&mut stream, &mut Vec::new()).await.as_deref(),
            Some("/now/whole")
        );
        assert_eq!(server.seen.lock().unwrap().paths, ["/now/whole"]);
    })
    .await;
}

#[tokio::test]
async fn a_response_to_a_disconnected_caller_reaches_no_other_caller() {
    run_local(async {
        let server = start(100, 1);
        for number in 0..100 {
            let mut gone = TcpStream::connect(server.endpoint).await.unwrap();
            gone.write_all(request(&format!("/wait/gone-{number}"), number).as_bytes())
                .await
                .unwrap();
            close(gone, number % 2 == 0);
            let mut other = TcpStream::connect(server.endpoint).await.unwrap();
            let path = format!("/wait/other-{number}");
            other
                .write_all(request(&path, number).as_bytes())
                .await
                .unwrap();
            assert_eq!(read_response(&mut other, &mut Vec::new()).await, Some(path));
        }
        assert!(
            server.seen.lock().unwrap().abandoned > 0,
            "no request was reported as abandoned to the logic"
        );
    })
    .await;
}

#[tokio::test]
async fn a_request_that_was_read_is_answered_although_new_connections_need_its_slot() {
    run_local(async {
        let (mut served, mut evicted) = (0, 0);
        for round in 0..EVICTIONS {
            let server = start(CONNECTIONS, round as u64);
            let mut idle = Vec::new();
            for number in 0..CONNECTIONS {
                let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
                stream
                    .write_all(request(&format!("/now/{number}"), 0).as_bytes())
                    .await
                    .unwrap();
                read_response(&mut stream, &mut Vec::new()).await.unwrap();
                idle.push(stream);
            }
            // In one turn of the server's runtime, requests arrive on the idle connections, and so do new connections
            // that evict idle ones.
            let mut new_connections = Vec::new();
            for (number, stream) in idle.iter().enumerate() {
                new_connections.push(std::net::TcpStream::connect(server.endpoint).unwrap());
                stream
                    .try_write(request(&format!("/wait/{number}"), 0).as_bytes())
                    .unwrap();
            }
            wait_for_loopback();
            let mut unanswered = Vec::new();
            for (number, mut stream) in idle.into_iter().enumerate() {
                match read_response(&mut stream, &mut Vec::new()).await {
                    Some(_) => served += 1,
                    None => unanswered.push(format!("/wait/{number}")),
                }
            }
            evicted += unanswered.len();
            drop(new_connections);
            wait_until_all_seen(&server).await;
            let seen = &server.seen.lock().unwrap().paths;
            let lost: Vec<&String> = unanswered
                .iter()
                .filter(|path| seen.contains(path))
                .collect();
            assert!(
                lost.is_empty(),
                "round {round}: passed to the logic but not answered: {lost:?}"
            );
        }
        assert!(
            served > 0 && evicted > 0,
            "{served} requests served, {evicted} connections evicted"
        );
    })
    .await;
}

/// Waits until the logic has handled all requests that were read before.
async fn wait_until_all_seen(server: &TestServer) {
    with_timeout(async {
        loop {
            let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
            let written = stream
                .write_all(request("/now/last", 0).as_bytes())
                .await
                .is_ok();
            if written && read_response(&mut stream, &mut Vec::new()).await.is_some() {
                return;
            }
        }
    })
    .await;
}

/// Sends bytes over loopback without yielding to other tasks. Bytes written before have arrived when this returns.
fn wait_for_loopback() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut one = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut other, _) = listener.accept().unwrap();
    for _ in 0..20 {
        one.write_all(b"x").unwrap();
        other.read_exact(&mut [0]).unwrap();
    }
}

fn preamble(from: NodeId) -> Vec<u8> {
    let preamble = Preamble {
        magic: MAGIC,
        version: PROTOCOL_VERSION,
        from,
        incarnation: 7,
    };
    preamble.to_bytes().unwrap()
}

fn frame(number: u64) -> Vec<u8> {
    let payload = numbered(number).to_bytes().unwrap();
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend(payload);
    frame
}

#[tokio::test]
async fn a_partially_received_message_is_not_delivered() {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let (node, from) = (free_node(), free_node());
    let _transport = Transport::start(node, 1, sender).unwrap();
    let part = frame(2);
    for length in 0..part.len() {
        let mut stream = TcpStream::connect(node.address()).await.unwrap();
        let bytes = [preamble(from), frame(1), part[..length].to_vec()].concat();
        stream.write_all(&bytes).await.unwrap();
        let input = with_timeout(inputs.recv()).await;
        let expected = numbered(1);
        assert!(matches!(input, Some(Input::Message { message, .. }) if message == expected));
        close(stream, length % 2 == 0);
    }
    let mut stream = TcpStream::connect(node.address()).await.unwrap();
    stream
        .write_all(&[preamble(from), frame(3)].concat())
        .await
        .unwrap();
    let expected = numbered(3);
    let input = with_timeout(inputs.recv()).await;
    assert!(matches!(input, Some(Input::Message { message, .. }) if message == expected));
}

/// Reads until `max_bytes` have been received, no byte arrives for 50 ms, or the connection ends. Returns the numbers
/// of the complete messages.
async fn read_numbers(stream: &mut TcpStream, max_bytes: usize) -> Vec<u64> {
    let mut received = Vec::new();
    while received.len() < max_bytes {
        match tokio::time::timeout(Duration::from_millis(50), stream.read_buf(&mut received)).await
        {
            Ok(Ok(1..)) => {}
            _ => break,
        }
    }
    let mut rest = received.get(PREAMBLE_BYTES..).unwrap_or_default();
    let mut numbers = Vec::new();
    while let Some(header) = rest.first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_le_bytes(*header) as usize;
        let Some(payload) = rest.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
            break;
        };
        let Message::ConfigUpdate(update) = decode(payload).unwrap() else {
            panic!("expected Message::ConfigUpdate, got another message")
        };
        numbers.push(update.version);
        rest = &rest[LENGTH_BYTES + length..];
    }
    numbers
}

#[tokio::test]
async fn no_message_is_sent_twice_after_connection_resets() {
    let (sender, _inputs) = mpsc::unbounded_channel();
    let transport = Transport::start(free_node(), 1, sender).unwrap();
    let peer = free_node();
    let listener = TcpListener::bind(peer.address()).await.unwrap();
    let mut random = SmallRng::seed_from_u64(5);
    let (mut received, mut next) = (Vec::new(), 0);
    let mut send = |count: u64| {
        (next..next + count).for_each(|number| transport.send(peer, &long(number, LONG_BYTES)));
        next += count;
    };
    for _ in 0..RESETS {
        // Messages sent on a connection that was already closed are lost. More are sent until a new one is opened.
        let mut stream = with_timeout(async {
            loop {
                match tokio::time::timeout(Duration::from_millis(5), listener.accept()).await {
                    Ok(accepted) => return accepted.unwrap().0,
                    Err(_) => send(1),
                }
            }
        })
        .await;
        send(random.random_range(1..100));
        let max_bytes = random.random_range(1..40 * LONG_BYTES);
        received.extend(read_numbers(&mut stream, max_bytes).await);
        close(stream, random.random_bool(0.7));
    }
    let count = received.len();
    assert!(count > RESETS * 3, "only {count} messages received");
    received.sort_unstable();
    received.dedup();
    assert_eq!(received.len(), count, "a message was received twice");
}
