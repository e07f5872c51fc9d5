//! Looks at a process: refused, answered, silent, broken off.

mod common;

use std::net::{Ipv4Addr, SocketAddrV4};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use sagetrail_cluster_node::health_check;
use sagetrail_cluster_node::input::Input;
use sagetrail_protocol::node::{HealthCheck, HealthCheckId, HealthCheckResult};

use common::soon;

async fn listening() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    (listener, SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

async fn look(address: SocketAddrV4, path: &str) -> HealthCheckResult {
    let (sender, mut inputs) = mpsc::unbounded_channel();
    health_check::start(
        HealthCheck {
            id: HealthCheckId(7),
            address,
            path: path.to_owned(),
        },
        sender,
    );
    let Some(Input::HealthChecked { id, result }) = soon(inputs.recv()).await else {
        panic!("no result")
    };
    assert_eq!(id, HealthCheckId(7));
    assert!(inputs.recv().await.is_none(), "told once");
    result
}

/// Answers one request with these bytes, and gives the request.
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
async fn a_dead_port_refuses() {
    let (listener, address) = listening().await;
    drop(listener);
    assert_eq!(look(address, "/healthz").await, HealthCheckResult::Refused);
}

#[tokio::test]
async fn the_status_is_told() {
    let cases = [
        (&b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"[..], 200),
        (
            &b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"[..],
            503,
        ),
    ];
    for (bytes, status) in cases {
        let (listener, address) = listening().await;
        let served = tokio::spawn(answer(listener, bytes));
        assert_eq!(
            look(address, "/healthz").await,
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
async fn a_connection_that_breaks_off_is_no_refusal() {
    let (listener, address) = listening().await;
    let served = tokio::spawn(answer(listener, b""));
    assert_eq!(look(address, "/healthz").await, HealthCheckResult::NoAnswer);
    served.await.unwrap();
}

#[tokio::test]
async fn no_answer_in_time_is_silence() {
    let (listener, address) = listening().await;
    assert_eq!(look(address, "/healthz").await, HealthCheckResult::NoAnswer);
    drop(listener);
}

#[tokio::test]
async fn a_path_that_makes_no_request_is_silence() {
    let (_listener, address) = listening().await;
    assert_eq!(look(address, "no path").await, HealthCheckResult::NoAnswer);
}
