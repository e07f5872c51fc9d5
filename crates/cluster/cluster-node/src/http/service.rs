//! Handles one request: reads its body within a size limit and a time-out, and returns the logic's reply.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;

use sagetrail_agent::MAX_HEARTBEAT_BYTES;
use sagetrail_protocol::node::{HttpEndpoint, HttpRequestId};

use super::connection_limit::ConnectionSlot;
use super::convert::{error_response, to_request, to_response};
use crate::input::{Input, Inputs};
use crate::lifecycle::{Phase, PhaseReceiver};

/// The time-out for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The size limit for the body of a client's request, in bytes.
const CLIENT_BODY_BYTES: usize = 1 << 20;
/// The size limit for the body of a request at the control endpoint, in bytes; heartbeats have their own limit.
const CONTROL_BODY_BYTES: usize = 4 << 20;
/// The prefix of the paths of runners' calls.
const RUNNER_PATH_PREFIX: &str = "/v1/instances/";

/// The context that the requests of one listener share; see [`ServerContext`](super::ServerContext).
pub(super) struct ServiceContext {
    pub(super) endpoint: HttpEndpoint,
    pub(super) inputs: Inputs,
    pub(super) phase: PhaseReceiver,
    pub(super) next_id: Arc<AtomicU64>,
}

/// Sends [`Input::HttpAbandoned`] if it is dropped before the reply, since `hyper` drops the handler together with the
/// connection.
struct AbandonGuard {
    id: HttpRequestId,
    inputs: Inputs,
    is_answered: bool,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if !self.is_answered {
            let _ = self.inputs.send(Input::HttpAbandoned { id: self.id });
        }
    }
}

/// Marks the connection as idle when dropped.
struct BusyGuard<'a>(&'a ConnectionSlot);

impl Drop for BusyGuard<'_> {
    fn drop(&mut self) {
        self.0.set_busy(false);
    }
}

/// Answers one request.
///
/// # Cancel safety
///
/// Cancel safe: dropping the future marks the connection as idle and reports the request as abandoned to the logic.
pub(super) async fn answer(
    context: &ServiceContext,
    slot: &ConnectionSlot,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    slot.set_busy(true);
    let _busy = BusyGuard(slot);
    let (parts, body) = request.into_parts();
    let limit = body_limit(context.endpoint, parts.uri.path());
    let body = match read_body(body, limit).await {
        Ok(body) => body,
        Err(status) => return Ok(error_response(status)),
    };
    let request = to_request(&parts, body);
    drop(parts);
    let id = HttpRequestId(context.next_id.fetch_add(1, Ordering::Relaxed));
    let (reply, replied) = oneshot::channel();
    let input = Input::HttpRequest {
        id,
        endpoint: context.endpoint,
        request,
        reply,
    };
    if context.inputs.send(input).is_err() {
        return Ok(error_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut abandon_guard = AbandonGuard {
        id,
        inputs: context.inputs.clone(),
        is_answered: false,
    };
    let reply = replied.await;
    abandon_guard.is_answered = true;
    let close = *context.phase.borrow() > Phase::Serving;
    // The process ended without a reply, so the outcome of the request is unknown.
    Ok(reply.map_or_else(
        |_| error_response(StatusCode::GATEWAY_TIMEOUT),
        |reply| to_response(reply, close),
    ))
}

/// Returns the size limit for a body, in bytes.
fn body_limit(endpoint: HttpEndpoint, path: &str) -> usize {
    match endpoint {
        HttpEndpoint::Frontend | HttpEndpoint::Readiness => CLIENT_BODY_BYTES,
        HttpEndpoint::Control if path.starts_with(RUNNER_PATH_PREFIX) => MAX_HEARTBEAT_BYTES,
        HttpEndpoint::Control => CONTROL_BODY_BYTES,
    }
}

async fn read_body(body: Incoming, limit: usize) -> Result<Vec<u8>, StatusCode> {
    if body.is_end_stream() {
        return Ok(Vec::new());
    }
    if body.size_hint().lower() > limit as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let collecting = Limited::new(body, limit).collect();
    let collected = tokio::time::timeout(BODY_TIMEOUT, collecting).await;
    match collected {
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Ok(collected)) => Ok(Vec::from(collected.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}
