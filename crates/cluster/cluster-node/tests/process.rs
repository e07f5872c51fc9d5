//! The event loop and the HTTP server with a simple logic of the tests: requests, health checks, wakes, synced writes,
//! and the end by SIGTERM, by the grace period and by a failed disk.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use sagetrail_cluster_node::clocks::Clocks;
use sagetrail_cluster_node::disk::{Disk, Store};
use sagetrail_cluster_node::http::{serve, ConnectionLimit, ServerContext};
use sagetrail_cluster_node::input::{Input, Inputs};
use sagetrail_cluster_node::lifecycle::watch_phase;
use sagetrail_cluster_node::process::{Process, ProcessEnd, ProcessParts};
use sagetrail_cluster_node::transport::Transport;
use sagetrail_protocol::node::{
    DiskOperation, DiskWrite, Event, HealthCheck, HealthCheckId, HttpEndpoint, HttpReply,
    HttpRequestId, Node, Now, Outbox, Table,
};
use sagetrail_protocol::{NodeId, Time};

use common::{folder, free_node, numbered, with_timeout};

const CLIENT_LIMIT: usize = 1 << 20;

/// Answers requests by their path, and records the events that it handles in `seen`.
struct Logic {
    node: NodeId,
    seen: Arc<Mutex<Vec<String>>>,
    waiting: Vec<HttpRequestId>,
    wake_at: Option<Time>,
    finish: bool,
}

fn reply(status: u16, body: &str) -> HttpReply {
    HttpReply {
        status,
        retry_after_s: (status == 503).then_some(2),
        body: body.as_bytes().to_vec(),
    }
}

impl Node for Logic {
    fn handle(&mut self, now: Now, event: Event, outbox: &mut Outbox) {
        match event {
            Event::Http {
                id,
                endpoint,
                request,
            } => {
                let line = format!(
                    "{endpoint:?} {:?} {} {} {:?} {:?} {}",
                    request.method,
                    request.host,
                    request.path,
                    request.base_version,
                    request.deadline_ms,
                    request.body.len()
                );
                self.seen.lock().unwrap().push(line);
                match request.path.as_str() {
                    "/busy" => outbox.reply(id, reply(503, "")),
                    "/wait" => self.waiting.push(id),
                    "/later" => {
                        self.waiting.push(id);
                        self.wake_at = Some(now.steady.plus_millis(20));
                    }
                    "/self" => {
                        self.waiting.push(id);
                        outbox.send(self.node, numbered(1));
                    }
                    "/keep" => {
                        self.waiting.push(id);
                        let key = b"key".to_vec();
                        let operations = vec![DiskOperation::Put {
                            table: Table::Control,
                            key,
                            value: b"kept".to_vec(),
                        }];
                        outbox.writes.push(DiskWrite {
                            operations,
                            send_when_synced: Vec::new(),
                            token: Some(5),
                        });
                    }
                    "/probe" => {
                        self.waiting.push(id);
                        let address = std::str::from_utf8(&request.body).unwrap().parse().unwrap();
                        outbox.health_check(HealthCheck {
                            id: HealthCheckId(3),
                            address,
                            path: "/busy".to_owned(),
                        });
                    }
                    _ => outbox.reply(id, reply(200, "{\"a\":1}")),
                }
            }
            Event::HttpAbandoned { .. } => self.seen.lock().unwrap().push("abandoned".to_owned()),
            Event::SeedsChanged(_) => {}
            Event::Terminate => {
                self.seen.lock().unwrap().push("terminate".to_owned());
                self.answer_all(outbox);
                outbox.finished = self.finish;
            }
            Event::Message { from, message } => {
                assert_eq!(from, self.node);
                assert_eq!(message, numbered(1));
                self.answer_all(outbox);
            }
            Event::Synced { token } => {
                assert_eq!(token, 5);
                self.answer_all(outbox);
            }
            Event::HealthCheck { id, result } => {
                assert_eq!(id, HealthCheckId(3));
                self.seen.lock().unwrap().push(format!("{result:?}"));
                self.answer_all(outbox);
            }
            Event::Wake => {
                self.wake_at = None;
                self.answer_all(outbox);
            }
        }
    }

    fn next_wake(&self) -> Option<Time> {
        self.wake_at
    }
}

impl Logic {
    fn answer_all(&mut self, outbox: &mut Outbox) {
        self.waiting
            .drain(..)
            .for_each(|id| outbox.reply(id, reply(200, "{}")));
    }
}

struct TestServer {
    endpoint: SocketAddr,
    control: SocketAddr,
    inputs: Inputs,
    seen: Arc<Mutex<Vec<String>>>,
    running: tokio::task::JoinHandle<ProcessEnd>,
}

struct ServerOptions {
    connection_limit: usize,
    finish: bool,
    grace: Duration,
    with_disk: bool,
}

const DEFAULT_OPTIONS: ServerOptions = ServerOptions {
    connection_limit: 100,
    finish: true,
    grace: Duration::from_secs(5),
    with_disk: false,
};

/// Starts the HTTP server and the event loop as tasks of the current thread.
fn start(options: ServerOptions) -> TestServer {
    let (sender, inputs) = mpsc::unbounded_channel();
    let node = free_node();
    let transport = Transport::start(node, 1, sender.clone()).unwrap();
    let (phase, watch) = watch_phase();
    let next_id = Arc::new(AtomicU64::new(1));
    let context = ServerContext {
        inputs: sender.clone(),
        phase: watch,
        connection_limit: ConnectionLimit::of(options.connection_limit),
        next_id,
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = serve(any, HttpEndpoint::Frontend, context.clone())
        .unwrap()
        .address;
    let control = serve(any, HttpEndpoint::Control, context).unwrap().address;
    let disk = options.with_disk.then(|| {
        let store = Store::open(&folder("process")).unwrap().store;
        Disk::start(store, sender.clone()).unwrap()
    });
    let seen = Arc::new(Mutex::new(Vec::new()));
    let logic = Logic {
        node,
        seen: Arc::clone(&seen),
        waiting: Vec::new(),
        wake_at: None,
        finish: options.finish,
    };
    let grace = options.grace;
    let results = sender.clone();
    let running = tokio::task::spawn_local(async move {
        let parts = ProcessParts {
            node,
            clocks: Clocks::start(),
            inputs,
            transport,
            disk,
            health_check_results: Some(results),
            phase,
            grace,
        };
        let mut process = Process::new(Box::new(logic), Outbox::default(), parts);
        let ended = process.run().await;
        process.close();
        ended
    });
    TestServer {
        endpoint,
        control,
        inputs: sender,
        seen,
        running,
    }
}

async fn run_local<F: std::future::Future>(future: F) -> F::Output {
    tokio::task::LocalSet::new().run_until(future).await
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads one complete response: its head and a body of the length in `Content-Length`.
async fn receive(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !is_complete(&bytes) {
        let read = with_timeout(stream.read_buf(&mut bytes)).await.unwrap();
        assert!(
            read > 0,
            "connection closed after {:?}",
            String::from_utf8_lossy(&bytes)
        );
    }
    String::from_utf8(bytes).unwrap()
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let content_length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= content_length.map_or(0, |length| length.parse().unwrap())
}

async fn is_closed(stream: &mut TcpStream) {
    let mut rest = Vec::new();
    let _ = with_timeout(stream.read_to_end(&mut rest)).await;
}

async fn until_seen(server: &TestServer, line: &str) {
    with_timeout(async {
        while !server.seen.lock().unwrap().iter().any(|seen| seen == line) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await;
}

#[tokio::test]
async fn requests_are_read_completely_and_answered_on_one_connection() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
        send(
            &mut stream,
            "GET /a/b?c=d HTTP/1.1\r\nHost: jobs.example:80\r\nDeadline-Ms: 900\r\n\r\n",
        )
        .await;
        let answer = receive(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(
            answer.contains("content-type: application/json"),
            "{answer}"
        );
        assert!(answer.ends_with("{\"a\":1}"), "{answer}");
        send(
            &mut stream,
            "POST /busy HTTP/1.1\r\nHost: x\r\nBase-Version: 7\r\nContent-Length: 5\r\n\r\n12",
        )
        .await;
        send(&mut stream, "345").await;
        let answer = receive(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("retry-after: 2"), "{answer}");
        let seen = server.seen.lock().unwrap().clone();
        assert_eq!(seen[0], "Frontend Get jobs.example /a/b None Some(900) 0");
        assert_eq!(seen[1], "Frontend Post x /busy Some(7) None 5");
    })
    .await;
}

#[tokio::test]
async fn health_checks_are_performed_and_their_results_passed_to_the_logic() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let mut stream = TcpStream::connect(server.control).await.unwrap();
        let free = free_node();
        let unused_address = format!("{free}");
        for (address, result) in [
            (unused_address, "Refused"),
            (server.endpoint.to_string(), "Status(503)"),
        ] {
            let length = address.len();
            let text = format!("POST /probe HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{address}");
            send(&mut stream, &text).await;
            receive(&mut stream).await;
            until_seen(&server, result).await;
        }
    })
    .await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_without_reaching_the_logic() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let head = format!(
            "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
            CLIENT_LIMIT + 1
        );
        let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut stream, &head).await;
        assert!(receive(&mut stream).await.starts_with("HTTP/1.1 413 "));
        is_closed(&mut stream).await;
        assert!(server.seen.lock().unwrap().is_empty());
        let mut stream = TcpStream::connect(server.control).await.unwrap();
        send(&mut stream, &head).await;
        stream
            .write_all(&vec![b'x'; CLIENT_LIMIT + 1])
            .await
            .unwrap();
        assert!(receive(&mut stream).await.starts_with("HTTP/1.1 200 "));
    })
    .await;
}

#[tokio::test]
async fn a_disconnect_of_the_caller_is_reported_to_the_logic() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut stream, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").await;
        until_seen(&server, "Frontend Get x /wait None None 0").await;
        drop(stream);
        until_seen(&server, "abandoned").await;
    })
    .await;
}

#[tokio::test]
async fn wakes_messages_to_itself_and_synced_writes_reach_the_logic() {
    run_local(async {
        let server = start(ServerOptions {
            with_disk: true,
            ..DEFAULT_OPTIONS
        });
        let mut stream = TcpStream::connect(server.endpoint).await.unwrap();
        for path in ["/later", "/self", "/keep"] {
            send(
                &mut stream,
                &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"),
            )
            .await;
            assert!(
                receive(&mut stream).await.starts_with("HTTP/1.1 200 "),
                "{path}"
            );
        }
    })
    .await;
}

#[tokio::test]
async fn at_shutdown_open_requests_are_answered_and_connections_close() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let mut busy = TcpStream::connect(server.endpoint).await.unwrap();
        let mut idle = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut idle, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n").await;
        receive(&mut idle).await;
        send(&mut busy, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").await;
        until_seen(&server, "Frontend Get x /wait None None 0").await;
        server.inputs.send(Input::Terminate).ok().unwrap();
        let answer = receive(&mut busy).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
        is_closed(&mut busy).await;
        is_closed(&mut idle).await;
        assert!(matches!(
            with_timeout(server.running).await.unwrap(),
            ProcessEnd::Finished
        ));
    })
    .await;
}

#[tokio::test]
async fn the_event_loop_ends_with_the_grace_period_although_the_logic_has_not_finished() {
    run_local(async {
        let server = start(ServerOptions {
            finish: false,
            grace: Duration::from_millis(50),
            ..DEFAULT_OPTIONS
        });
        server.inputs.send(Input::Terminate).ok().unwrap();
        assert!(matches!(
            with_timeout(server.running).await.unwrap(),
            ProcessEnd::GracePeriodExpired
        ));
    })
    .await;
}

#[tokio::test]
async fn at_the_connection_limit_the_longest_idle_connection_is_evicted() {
    run_local(async {
        let server = start(ServerOptions {
            connection_limit: 2,
            ..DEFAULT_OPTIONS
        });
        let mut busy = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut busy, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n").await;
        until_seen(&server, "Frontend Get x /wait None None 0").await;
        let mut idle = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut idle, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n").await;
        receive(&mut idle).await;
        let mut next = TcpStream::connect(server.endpoint).await.unwrap();
        send(&mut next, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert!(receive(&mut next).await.starts_with("HTTP/1.1 200 "));
        is_closed(&mut idle).await;
        server.inputs.send(Input::Terminate).ok().unwrap();
        assert!(receive(&mut busy).await.starts_with("HTTP/1.1 200 "));
    })
    .await;
}

#[tokio::test]
async fn a_failed_disk_ends_the_process() {
    run_local(async {
        let server = start(DEFAULT_OPTIONS);
        let error = sagetrail_cluster_node::disk::DiskError::Io(std::io::Error::other("full"));
        server.inputs.send(Input::DiskFailed(error)).ok().unwrap();
        assert!(matches!(
            with_timeout(server.running).await.unwrap(),
            ProcessEnd::DiskFailed(_)
        ));
    })
    .await;
}
