//! Each answer goes to the connection that asked and in its order, nothing that came in part is acted upon, and no
//! message is sent twice, over connections that break off at any place.

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

use common::{free_node, long, numbered, soon};

const SCHEDULES: u64 = 150;
const RESETS: usize = 30;
/// Long enough that much is under way when a connection breaks off.
const LONG_BYTES: usize = 32 << 10;
const EVICTIONS: usize = 100;
const CONNECTIONS: usize = 16;

#[derive(Default)]
struct Seen {
    paths: Vec<String>,
    abandoned: usize,
}

/// Answers each request with its own path: some at once, the others at a wake, in any order.
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
                        "one name for two requests"
                    );
                    self.wake_at.get_or_insert(now.steady.plus_millis(1));
                } else {
                    Echo::answer(id, request.path, outbox);
                }
            }
            Event::HttpAbandoned { id } => {
                assert!(
                    self.held.remove(&id).is_some(),
                    "abandoned after its answer"
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

async fn on_stage<F: std::future::Future>(play: F) -> F::Output {
    tokio::task::LocalSet::new().run_until(play).await
}

/// A request, by turns without a body, with one of a length told, and with one in chunks.
fn request(path: &str, kind: u32) -> String {
    match kind % 3 {
        0 => format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"),
        1 => format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n0123456789"),
        _ => format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
        ),
    }
}

/// The body of the next answer; `None` where the connection ends before it is whole.
async fn answer(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(received).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let told = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = told.map_or(0, |length| length.parse().unwrap());
            if rest.len() >= length {
                received.drain(..head.len() + 4 + length);
                return Some(rest[..length].to_owned());
            }
        }
        match soon(stream.read_buf(received)).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Breaks the connection off: with a reset, or in order.
fn break_off(stream: TcpStream, by_reset: bool) {
    if by_reset {
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
}

/// Sends requests without waiting, cut into two writes anywhere, and reads some or all of the answers.
async fn pipeline(endpoint: SocketAddr, name: String, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut stream = TcpStream::connect(endpoint).await.unwrap();
    let way = |random: &mut SmallRng| {
        if random.random_bool(0.6) {
            "wait"
        } else {
            "now"
        }
    };
    let paths: Vec<String> = (0..5)
        .map(|number| format!("/{}/{name}-{number}", way(&mut random)))
        .collect();
    let text: String = paths
        .iter()
        .map(|path| request(path, random.random_range(0..3)))
        .collect();
    let (first, second) = text.as_bytes().split_at(random.random_range(0..text.len()));
    let patience = if random.random_bool(0.3) {
        random.random_range(0..5)
    } else {
        5
    };
    let mut received = Vec::new();
    for part in [first, second] {
        stream.write_all(part).await.unwrap();
        tokio::task::yield_now().await;
    }
    for path in &paths[..patience] {
        assert_eq!(
            answer(&mut stream, &mut received).await.as_ref(),
            Some(path),
            "schedule {seed}"
        );
    }
    break_off(stream, random.random_bool(0.5));
}

#[tokio::test]
async fn pipelined_requests_get_their_own_answers_while_others_break_off() {
    on_stage(async {
        for seed in 0..SCHEDULES {
            let stage = start(100, seed);
            let clients: Vec<_> = (0..6)
                .map(|client| {
                    pipeline(
                        stage.endpoint,
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
async fn a_request_that_came_in_part_is_never_acted_upon() {
    on_stage(async {
        let stage = start(1000, 1);
        for kind in 0..3 {
            let whole = request("/now/part", kind);
            for length in 1..whole.len() {
                let mut stream = TcpStream::connect(stage.endpoint).await.unwrap();
                stream.write_all(&whole.as_bytes()[..length]).await.unwrap();
                break_off(stream, length % 2 == 0);
                tokio::task::yield_now().await;
            }
        }
        let mut stream = TcpStream::connect(stage.endpoint).await.unwrap();
        stream
            .write_all(request("/now/whole", 1).as_bytes())
            .await
            .unwrap();
        assert_eq!(
            answer(&mut stream, &mut Vec::new()).await.as_deref(),
            Some("/now/whole")
        );
        assert_eq!(stage.seen.lock().unwrap().paths, ["/now/whole"]);
    })
    .await;
}

#[tokio::test]
async fn an_answer_to_one_that_went_reaches_no_other() {
    on_stage(async {
        let stage = start(100, 1);
        for number in 0..100 {
            let mut gone = TcpStream::connect(stage.endpoint).await.unwrap();
            gone.write_all(request(&format!("/wait/gone-{number}"), number).as_bytes())
                .await
                .unwrap();
            break_off(gone, number % 2 == 0);
            let mut other = TcpStream::connect(stage.endpoint).await.unwrap();
            let path = format!("/wait/other-{number}");
            other
                .write_all(request(&path, number).as_bytes())
                .await
                .unwrap();
            assert_eq!(answer(&mut other, &mut Vec::new()).await, Some(path));
        }
        assert!(
            stage.seen.lock().unwrap().abandoned > 0,
            "the logic is told of those that went"
        );
    })
    .await;
}

#[tokio::test]
async fn a_request_that_was_read_is_answered_also_where_its_place_is_wanted() {
    on_stage(async {
        let (mut served, mut cut) = (0, 0);
        for round in 0..EVICTIONS {
            let stage = start(CONNECTIONS, round as u64);
            let mut resting = Vec::new();
            for number in 0..CONNECTIONS {
                let mut stream = TcpStream::connect(stage.endpoint).await.unwrap();
                stream
                    .write_all(request(&format!("/now/{number}"), 0).as_bytes())
                    .await
                    .unwrap();
                answer(&mut stream, &mut Vec::new()).await.unwrap();
                resting.push(stream);
            }
            // All in one turn of the server: requests on those that rest, and others who want their places.
            let mut others = Vec::new();
            for (number, stream) in resting.iter().enumerate() {
                others.push(std::net::TcpStream::connect(stage.endpoint).unwrap());
                stream
                    .try_write(request(&format!("/wait/{number}"), 0).as_bytes())
                    .unwrap();
            }
            round_trips();
            let mut unanswered = Vec::new();
            for (number, mut stream) in resting.into_iter().enumerate() {
                match answer(&mut stream, &mut Vec::new()).await {
                    Some(_) => served += 1,
                    None => unanswered.push(format!("/wait/{number}")),
                }
            }
            cut += unanswered.len();
            drop(others);
            all_is_seen(&stage).await;
            let seen = &stage.seen.lock().unwrap().paths;
            let lost: Vec<&String> = unanswered
                .iter()
                .filter(|path| seen.contains(path))
                .collect();
            assert!(
                lost.is_empty(),
                "round {round}: taken and cut off: {lost:?}"
            );
        }
        assert!(
            served > 0 && cut > 0,
            "{served} served, {cut} gave their places away"
        );
    })
    .await;
}

/// Waits until the logic has seen everything that was read before.
async fn all_is_seen(stage: &TestServer) {
    soon(async {
        loop {
            let mut stream = TcpStream::connect(stage.endpoint).await.unwrap();
            let written = stream
                .write_all(request("/now/last", 0).as_bytes())
                .await
                .is_ok();
            if written && answer(&mut stream, &mut Vec::new()).await.is_some() {
                return;
            }
        }
    })
    .await;
}

/// Passes a byte over loopback without giving way to other tasks: what was written before has arrived by then.
fn round_trips() {
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
async fn a_message_that_came_in_part_is_none() {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    let (node, from) = (free_node(), free_node());
    let _transport = Transport::start(node, 1, sender).unwrap();
    let part = frame(2);
    for length in 0..part.len() {
        let mut stream = TcpStream::connect(node.address()).await.unwrap();
        let bytes = [preamble(from), frame(1), part[..length].to_vec()].concat();
        stream.write_all(&bytes).await.unwrap();
        let came = soon(inputs.recv()).await;
        let expected = numbered(1);
        assert!(matches!(came, Some(Input::Message { message, .. }) if message == expected));
        break_off(stream, length % 2 == 0);
    }
    let mut stream = TcpStream::connect(node.address()).await.unwrap();
    stream
        .write_all(&[preamble(from), frame(3)].concat())
        .await
        .unwrap();
    let expected = numbered(3);
    let came = soon(inputs.recv()).await;
    assert!(matches!(came, Some(Input::Message { message, .. }) if message == expected));
}

/// Reads whole messages until so many bytes have come, or the connection ends.
async fn numbers(stream: &mut TcpStream, most: usize) -> Vec<u64> {
    let mut received = Vec::new();
    while received.len() < most {
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
            panic!("another message")
        };
        numbers.push(update.version);
        rest = &rest[LENGTH_BYTES + length..];
    }
    numbers
}

#[tokio::test]
async fn no_message_is_sent_twice_over_resets() {
    let (sender, _inputs) = mpsc::unbounded_channel();
    let transport = Transport::start(free_node(), 1, sender).unwrap();
    let peer = free_node();
    let listener = TcpListener::bind(peer.address()).await.unwrap();
    let mut random = SmallRng::seed_from_u64(5);
    let (mut came, mut next) = (Vec::new(), 0);
    let mut send = |count: u64| {
        (next..next + count).for_each(|number| transport.send(peer, &long(number, LONG_BYTES)));
        next += count;
    };
    for _ in 0..RESETS {
        // What went by a connection that was dead already is lost; more is sent until there is another.
        let mut stream = soon(async {
            loop {
                match tokio::time::timeout(Duration::from_millis(5), listener.accept()).await {
                    Ok(accepted) => return accepted.unwrap().0,
                    Err(_) => send(1),
                }
            }
        })
        .await;
        send(random.random_range(1..100));
        let most = random.random_range(1..40 * LONG_BYTES);
        came.extend(numbers(&mut stream, most).await);
        break_off(stream, random.random_bool(0.7));
    }
    let count = came.len();
    assert!(count > RESETS * 3, "{count} came");
    came.sort_unstable();
    came.dedup();
    assert_eq!(came.len(), count, "a message came twice");
}
