//! HTTP of the cluster's processes as recorded in `fixtures/`: the bytes of a response, the fields of a request that
//! the logic gets, and the bytes of a health check's request. Guards against unintended changes of any of them.

mod common;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, UnboundedReceiver};

use sagetrail_cluster_node::health_check;
use sagetrail_cluster_node::http::{serve, ConnectionLimit, ServerContext};
use sagetrail_cluster_node::input::Input;
use sagetrail_cluster_node::lifecycle::{watch_phase, Phase, PhaseSender};
use sagetrail_fixture::transcript::Transcript;
use sagetrail_protocol::node::{
    HealthCheck, HealthCheckId, HttpEndpoint, HttpReply, HttpRequest, Method,
};

use common::with_timeout;

const ANSWERS: &str = "tests/fixtures/http_answers.txt";
const REQUESTS: &str = "tests/fixtures/http_requests.txt";
const HEALTH_CHECK: &str = "tests/fixtures/probe_request.txt";
/// One byte more than the size limit for the body of a client's request.
const LONG_BODY: usize = (1 << 20) + 1;
/// A length of a head, in bytes, that exceeds the server's limit.
const LONG_HEAD: usize = 128 << 10;

/// An HTTP server and the inputs that it sends to the logic.
struct TestServer {
    address: SocketAddr,
    phase: PhaseSender,
    inputs: UnboundedReceiver<Input>,
}

fn start() -> TestServer {
    let (sender, inputs) = mpsc::unbounded_channel();
    let (phase, watch) = watch_phase();
    let context = ServerContext {
        inputs: sender,
        phase: watch,
        connection_limit: ConnectionLimit::of(100),
        next_id: Arc::new(AtomicU64::new(1)),
    };
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = serve(any, HttpEndpoint::Frontend, context).unwrap().address;
    TestServer {
        address,
        phase,
        inputs,
    }
}

/// Masks the value of the `date` header, which is the time of the response.
fn without_date(text: &str) -> String {
    let masked = text.split_inclusive("\r\n").map(|line| {
        if line.starts_with("date: ") {
            "date: (now)\r\n"
        } else {
            line
        }
    });
    masked.collect()
}

/// Makes the line ends of a text visible.
fn visible(text: &str) -> String {
    text.replace("\r\n", "\\r\\n\n")
}

/// Sends `request` on a new connection and reads until the connection closes.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = with_timeout(stream.read_to_string(&mut answer)).await;
    visible(&without_date(&answer))
}

/// Returns the next request that reaches the logic, after answering it with `reply`. If `reply` is `None`, the request
/// is dropped without an answer.
async fn answer_next(
    inputs: &mut UnboundedReceiver<Input>,
    reply: Option<HttpReply>,
) -> HttpRequest {
    loop {
        if let Some(Input::HttpRequest {
            request,
            reply: sender,
            ..
        }) = with_timeout(inputs.recv()).await
        {
            if let Some(reply) = reply {
                sender.send(reply).unwrap();
            }
            return request;
        }
    }
}

fn reply(status: u16, retry_after_s: Option<u32>, body: &str) -> HttpReply {
    HttpReply {
        status,
        retry_after_s,
        body: body.as_bytes().to_vec(),
    }
}

#[tokio::test]
async fn responses_match_the_recorded_bytes() {
    let mut server = start();
    let mut transcript = Transcript::default();
    let request = "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    for (name, given) in [
        ("200 with a body", Some(reply(200, None, r#"{"a":1}"#))),
        ("200 without a body", Some(reply(200, None, ""))),
        ("429, again after 2 s", Some(reply(429, Some(2), ""))),
        (
            "503, again after 1 s, with a body",
            Some(reply(503, Some(1), "{}")),
        ),
        ("409", Some(reply(409, None, "{}"))),
        ("410", Some(reply(410, None, ""))),
        ("412", Some(reply(412, None, ""))),
        ("a status that is none", Some(reply(7, None, ""))),
        ("no answer by the logic", None),
    ] {
        let (answer, _) = tokio::join!(
            exchange(server.address, request),
            answer_next(&mut server.inputs, given)
        );
        transcript.add(name, &answer);
    }
    let http_1_0_request = "GET /a HTTP/1.0\r\n\r\n";
    let given = Some(reply(200, None, "{}"));
    let (answer, _) = tokio::join!(
        exchange(server.address, http_1_0_request),
        answer_next(&mut server.inputs, given)
    );
    transcript.add("200 by HTTP/1.0", &answer);
    let head_request = "HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let given = Some(reply(405, None, "{}"));
    let (answer, _) = tokio::join!(
        exchange(server.address, head_request),
        answer_next(&mut server.inputs, given)
    );
    transcript.add("405 to HEAD", &answer);
    for (name, text) in [
        (
            "a head that cannot be read",
            "no request at all\r\n\r\n".to_owned(),
        ),
        (
            "a head that is too long",
            format!("GET /a HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(LONG_HEAD)),
        ),
        (
            "a body that is too long",
            format!("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {LONG_BODY}\r\n\r\n"),
        ),
        (
            "a chunk that cannot be read",
            "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
        ),
    ] {
        transcript.add(name, &exchange(server.address, &text).await);
    }
    server.phase.send_replace(Phase::Draining);
    let keep_alive_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    let given = Some(reply(200, None, "{}"));
    let (answer, _) = tokio::join!(
        exchange(server.address, keep_alive_request),
        answer_next(&mut server.inputs, given)
    );
    transcript.add("200 while the process ends", &answer);
    drop(server.inputs);
    let address = server.address;
    transcript.add("the logic has ended", &exchange(address, request).await);
    transcript.assert_kept(ANSWERS);
}

fn method(method: Method) -> &'static str {
    match method {
        Method::Get => "GET",
        Method::Post => "POST",
        Method::Delete => "DELETE",
        Method::Other => "another",
    }
}

fn number(number: Option<u64>) -> String {
    number.map_or("none".to_owned(), |number| number.to_string())
}

/// Formats the request that the logic gets, with a line for each field.
fn to_text(request: &HttpRequest) -> String {
    format!(
        "method {}\nhost '{}'\npath '{}'\nbase version {}\ndeadline in ms {}\nbody '{}'\n",
        method(request.method),
        request.host,
        request.path,
        number(request.base_version),
        number(request.deadline_ms),
        String::from_utf8_lossy(&request.body)
    )
}

#[tokio::test]
async fn requests_are_parsed_as_recorded() {
    let mut server = start();
    let mut transcript = Transcript::default();
    for head in [
        "GET /a/b?c=d HTTP/1.1\r\nHost: jobs.example:80\r\nDeadline-Ms: 900\r\n",
        "GET /a HTTP/1.1\r\nHost: [::1]:80\r\n",
        "GET http://other.example:8080/a HTTP/1.1\r\n",
        "POST /a HTTP/1.1\r\nHOST: X.Example\r\nbase-version: 7\r\nContent-Length: 2\r\n",
        "POST /a HTTP/1.1\r\nBase-Version:  8 \r\nDeadline-Ms: soon\r\nContent-Length: 2\r\n",
        "POST /a HTTP/1.1\r\nBase-Version: -1\r\nDeadline-Ms: 1.5\r\nContent-Length: 2\r\n",
        "DELETE /a%20b HTTP/1.1\r\n",
        "PUT /a HTTP/1.1\r\n",
        "HEAD /a HTTP/1.1\r\n",
    ] {
        let body = if head.starts_with("POST") { "{}" } else { "" };
        let text = format!("{head}Connection: close\r\n\r\n{body}");
        let given = Some(reply(200, None, ""));
        let (_, request) = tokio::join!(
            exchange(server.address, &text),
            answer_next(&mut server.inputs, given)
        );
        transcript.add(visible(head).trim_end(), &to_text(&request));
    }
    transcript.assert_kept(REQUESTS);
}

/// Masks the port of the test's listener.
fn without_port(text: &str, port: u16) -> String {
    text.replace(&port.to_string(), "(port)")
}

#[tokio::test]
async fn the_request_of_a_health_check_matches_the_recorded_bytes() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let (sender, _inputs) = mpsc::unbounded_channel();
    let check = HealthCheck {
        id: HealthCheckId(7),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        path: "/healthz".to_owned(),
    };
    health_check::start(check, sender);
    let (mut stream, _) = with_timeout(listener.accept()).await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(with_timeout(stream.read_buf(&mut request)).await.unwrap() > 0);
    }
    let request = String::from_utf8(request).unwrap();
    sagetrail_fixture::transcript::assert_kept(
        HEALTH_CHECK,
        &visible(&without_port(&request, port)),
    );
}
