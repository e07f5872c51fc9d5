//! One request: read whole within limits, handed to the logic, answered.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;

use sagetrail_protocol::node::{HttpEndpoint, HttpRequestId};

use super::convert::{refusal, to_request, to_response};
use super::room::Place;
use crate::input::{Input, Inputs};
use crate::phase::{Phase, PhaseWatch};

/// A body that has not come whole after so long is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest body of a client's request, in bytes.
const CLIENT_BODY_BYTES: usize = 1 << 20;
/// The longest configuration or heartbeat, in bytes.
const CONTROL_BODY_BYTES: usize = 4 << 20;

/// What the requests of one listening address share.
pub(super) struct ServiceContext {
    pub endpoint: HttpEndpoint,
    pub inputs: Inputs,
    pub phase: PhaseWatch,
    pub next_id: Arc<AtomicU64>,
}

/// Tells the logic that the caller has gone, unless it has been answered.
struct Abandonment {
    id: HttpRequestId,
    inputs: Inputs,
    answered: bool,
}

impl Drop for Abandonment {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.inputs.send(Input::Abandoned { id: self.id });
        }
    }
}

/// Marks the connection busy until it is answered or given up.
struct Busy<'a>(&'a Place);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.set_busy(false);
    }
}

/// Answers one request.
pub(super) async fn answer(
    context: &ServiceContext,
    place: &Place,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    place.set_busy(true);
    let _busy = Busy(place);
    let (parts, body) = request.into_parts();
    let body = match read_body(body, limit(context.endpoint)).await {
        Ok(body) => body,
        Err(status) => return Ok(refusal(status)),
    };
    let request = to_request(&parts, body);
    drop(parts);
    let id = HttpRequestId(context.next_id.fetch_add(1, Ordering::Relaxed));
    let (reply, replied) = oneshot::channel();
    let input = Input::Request {
        id,
        endpoint: context.endpoint,
        request,
        reply,
    };
    if context.inputs.send(input).is_err() {
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut abandonment = Abandonment {
        id,
        inputs: context.inputs.clone(),
        answered: false,
    };
    let reply = replied.await;
    abandonment.answered = true;
    let close = *context.phase.borrow() > Phase::Serving;
    // The logic has gone without an answer: the outcome is not known.
    Ok(reply.map_or_else(
        |_| refusal(StatusCode::GATEWAY_TIMEOUT),
        |reply| to_response(reply, close),
    ))
}

fn limit(endpoint: HttpEndpoint) -> usize {
    match endpoint {
        HttpEndpoint::Frontend | HttpEndpoint::Readiness => CLIENT_BODY_BYTES,
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
    let whole = Limited::new(body, limit).collect();
    let collected = tokio::time::timeout(BODY_TIMEOUT, whole).await;
    match collected {
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
        Ok(Ok(collected)) => Ok(Vec::from(collected.to_bytes())),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
    }
}
