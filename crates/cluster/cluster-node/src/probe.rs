//! Looks at another process: one GET by a connection of its own, within the time of a probe.
use crate::input::{Input, Inputs};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use sagetrail_protocol::node::{Probe, ProbeResult, PROBE_TIMEOUT_MS};
use std::fmt;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// Why a probe got no status.
#[derive(Debug)]
enum ProbeError {
    /// No connection came about.
    Unconnected(std::io::Error),
    /// The path makes no request.
    BadRequest(hyper::http::Error),
    /// The connection broke off before the answer.
    BrokenOff(hyper::Error),
}

impl ProbeError {
    /// Only a connection that never came about tells that nothing listens.
    fn is_refusal(&self) -> bool {
        matches!(self, ProbeError::Unconnected(error) if error.kind() == ErrorKind::ConnectionRefused)
    }
}

impl fmt::Display for ProbeError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ProbeError::Unconnected(error) => write!(formatter, "no connection: {error}"),
            ProbeError::BadRequest(error) => write!(formatter, "no request: {error}"),
            ProbeError::BrokenOff(error) => write!(formatter, "broken off: {error}"),
        }
    }
}

/// Starts a probe; what comes of it is told once.
pub fn start(probe: Probe, inputs: Inputs) {
    tokio::spawn(async move {
        let result = look(&probe).await;
        // An error: the process is ending.
        let _ = inputs.send(Input::Probed {
            id: probe.id,
            result,
        });
    });
}

async fn look(probe: &Probe) -> ProbeResult {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    match tokio::time::timeout(timeout, status(probe)).await {
        Ok(Ok(status)) => ProbeResult::Status(status.as_u16()),
        Ok(Err(error)) => {
            log::debug!("probe of {}: {error}", probe.address);
            if error.is_refusal() {
                ProbeResult::Refused
            } else {
                ProbeResult::Silent
            }
        }
        Err(_) => ProbeResult::Silent,
    }
}

async fn status(probe: &Probe) -> Result<StatusCode, ProbeError> {
    let request = Request::get(probe.path.as_str())
        .header(HOST, probe.address.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .map_err(ProbeError::BadRequest)?;
    let stream = TcpStream::connect(probe.address)
        .await
        .map_err(ProbeError::Unconnected)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(ProbeError::BrokenOff)?;
    let talk = tokio::spawn(connection);
    let answered = sender.send_request(request).await;
    talk.abort();
    answered
        .map(|response| response.status())
        .map_err(ProbeError::BrokenOff)
}
