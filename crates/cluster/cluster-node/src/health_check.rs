//! Looks at another process: one GET by a connection of its own, within the time of a probe.

use std::fmt;
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

/// Why a probe got no status.
#[derive(Debug)]
enum HealthCheckError {
    /// No connection came about.
    Unconnected(std::io::Error),
    /// The path makes no request.
    BadRequest(hyper::http::Error),
    /// The connection broke off before the answer.
    BrokenOff(hyper::Error),
}

impl HealthCheckError {
    /// Only a connection that never came about tells that nothing listens.
    fn is_refusal(&self) -> bool {
        matches!(self, HealthCheckError::Unconnected(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

impl fmt::Display for HealthCheckError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            HealthCheckError::Unconnected(error) => write!(formatter, "no connection: {error}"),
            HealthCheckError::BadRequest(error) => write!(formatter, "no request: {error}"),
            HealthCheckError::BrokenOff(error) => write!(formatter, "broken off: {error}"),
        }
    }
}

/// Starts a probe; what comes of it is told once.
pub fn start(health_check: HealthCheck, inputs: Inputs) {
    tokio::spawn(async move {
        let result = look(&health_check).await;
        // An error: the process is ending.
        let _ = inputs.send(Input::Probed {
            id: health_check.id,
            result,
        });
    });
}

async fn look(health_check: &HealthCheck) -> HealthCheckResult {
    let timeout = Duration::from_millis(HEALTH_CHECK_TIMEOUT_MS);
    match tokio::time::timeout(timeout, status(health_check)).await {
        Ok(Ok(status)) => HealthCheckResult::Status(status.as_u16()),
        Ok(Err(error)) => {
            log::debug!("probe of {}: {error}", health_check.address);
            if error.is_refusal() {
                HealthCheckResult::Refused
            } else {
                HealthCheckResult::NoAnswer
            }
        }
        Err(_) => HealthCheckResult::NoAnswer,
    }
}

async fn status(health_check: &HealthCheck) -> Result<StatusCode, HealthCheckError> {
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
        .map_err(HealthCheckError::BrokenOff)?;
    let talk = tokio::spawn(connection);
    let answered = sender.send_request(request).await;
    talk.abort();
    answered
        .map(|response| response.status())
        .map_err(HealthCheckError::BrokenOff)
}
