//! Health checks: each sends one GET request on a new connection and has a time-out.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use sagetrail_protocol::node::{HealthCheck, HealthCheckResult, HEALTH_CHECK_TIMEOUT_MS};

use crate::input::{Input, Inputs};

/// The error of a health check that got no HTTP status.
#[derive(thiserror::Error, Debug)]
enum HealthCheckError {
    /// The connection could not be opened.
    #[error("connection not opened: {0}")]
    Unconnected(std::io::Error),
    /// The path is not a valid request target.
    #[error("invalid request: {0}")]
    BadRequest(hyper::http::Error),
    /// The connection failed or was closed before the response.
    #[error("connection closed before the response: {0}")]
    Closed(hyper::Error),
}

impl HealthCheckError {
    /// Whether the connection was refused. Only this proves that no process listens at the address.
    fn is_refusal(&self) -> bool {
        matches!(self, HealthCheckError::Unconnected(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

/// Starts a health check in a task, which sends one [`Input::HealthChecked`] and ends after at most
/// [`HEALTH_CHECK_TIMEOUT_MS`].
pub fn start(health_check: HealthCheck, inputs: Inputs) {
    tokio::spawn(async move {
        let result = check(&health_check).await;
        // The send fails only while the process is ending.
        let _ = inputs.send(Input::HealthChecked {
            id: health_check.id,
            result,
        });
    });
}

async fn check(health_check: &HealthCheck) -> HealthCheckResult {
    let timeout = Duration::from_millis(HEALTH_CHECK_TIMEOUT_MS);
    match tokio::time::timeout(timeout, request_status(health_check)).await {
        Ok(Ok(status)) => HealthCheckResult::Status(status.as_u16()),
        Ok(Err(error)) => {
            log::debug!(
                "health check failed: address={} error={error}",
                health_check.address
            );
            if error.is_refusal() {
                HealthCheckResult::Refused
            } else {
                HealthCheckResult::NoAnswer
            }
        }
        Err(_) => HealthCheckResult::NoAnswer,
    }
}

async fn request_status(health_check: &HealthCheck) -> Result<StatusCode, HealthCheckError> {
    let request = Request::get(health_check.path.as_str())
        .header(HOST, health_check.address.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .map_err(HealthCheckError::BadRequest)?;
    let stream = TcpStream::connect(health_check.address)
        .await
        .map_err(HealthCheckError::Unconnected)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(HealthCheckError::Closed)?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await;
    driver.abort();
    response
        .map(|response| response.status())
        .map_err(HealthCheckError::Closed)
}
