//! The results of a health check: connection refused, a status, no response, a closed connection.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use sagetrail_cluster_node::health_check;
use sagetrail_cluster_node::input::Input;
use sagetrail_protocol::node::{HealthCheck, HealthCheckId, HealthCheckResult};

use common::with_timeout;

async fn bind_listener() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    (listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

/// Performs a health check and checks that its result is sent exactly once.
async fn check(address: SocketAddrV4, path: &str) -> HealthCheckResult {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    health_check::start(
        HealthCheck {
            id: HealthCheckId(7),
            address,
            path: path.to_owned(),
        },
        sender,
    );
    let Some(Input::HealthChecked { id, result }) = with_timeout(inputs.recv()).await else {
        panic!("expected Input::HealthChecked, got another input")
    };
    assert_eq!(id, HealthCheckId(7));
    assert!(inputs.recv().await.is_none(), "the result is sent twice");
    result
}

/// Accepts a connection, responds to one request with these bytes, and returns the request.
async fn answer(listener: TcpListener, bytes: &'static [u8]) -> String {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        assert!(stream.read_buf(&mut request).await.unwrap() > 0);
    }
    stream.write_all(bytes).await.unwrap();
    String::from_utf8(request).unwrap()
}

#[tokio::test]
async fn a_port_without_listener_is_refused() {
    let (listener, address) = bind_listener().await;
    drop(listener);
    assert_eq!(check(address, "/healthz").await, HealthCheckResult::Refused);
}

#[tokio::test]
async fn the_status_of_the_response_is_reported() {
    let cases = [
        (&b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"[..], 200),
        (
            &b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"[..],
            503,
        ),
    ];
    for (bytes, status) in cases {
        let (listener, address) = bind_listener().await;
        let served = tokio::spawn(answer(listener, bytes));
        assert_eq!(
            check(address, "/healthz").await,
            HealthCheckResult::Status(status)
        );
        let request = served.await.unwrap();
        assert!(
            request.starts_with("GET /healthz HTTP/1.1\r\n"),
            "{request}"
        );
        assert!(
            request.to_lowercase().contains(&format!("host: {address}")),
            "{request}"
        );
    }
}

#[tokio::test]
async fn a_connection_closed_before_the_response_is_no_answer_and_no_refusal() {
    let (listener, address) = bind_listener().await;
    let served = tokio::spawn(answer(listener, b""));
    assert_eq!(
        check(address, "/healthz").await,
        HealthCheckResult::NoAnswer
    );
    served.await.unwrap();
}

#[tokio::test]
async fn a_time_out_is_reported_as_no_answer() {
    let (listener, address) = bind_listener().await;
    assert_eq!(
        check(address, "/healthz").await,
        HealthCheckResult::NoAnswer
    );
    drop(listener);
}

#[tokio::test]
async fn an_invalid_path_is_reported_as_no_answer() {
    let (_listener, address) = bind_listener().await;
    assert_eq!(check(address, "no path").await, HealthCheckResult::NoAnswer);
}
