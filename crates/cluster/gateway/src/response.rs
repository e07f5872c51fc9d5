//! Builds HTTP replies: the gateway's own errors, and the scheduler's answers that are forwarded to clients.

use serde_json::json;

use sagetrail_protocol::client::ClientReply;
use sagetrail_protocol::node::HttpReply;

use crate::error::GatewayError;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const TOO_MANY_REQUESTS: u16 = 429;
const SERVICE_UNAVAILABLE: u16 = 503;
const MILLIS_PER_SECOND: u32 = 1000;

impl From<GatewayError> for HttpReply {
    fn from(error: GatewayError) -> HttpReply {
        HttpReply {
            status: error.status(),
            retry_after_s: error.retry_after_s(),
            body: json!({ "error": error.to_string() })
                .to_string()
                .into_bytes(),
        }
    }
}

/// Returns the reply to a readiness check of a process that accepts clients.
pub(crate) fn ready() -> HttpReply {
    HttpReply {
        status: OK,
        retry_after_s: None,
        body: b"{}".to_vec(),
    }
}

/// Returns whether this status guarantees to the client that the submitted job never runs.
pub(crate) fn is_rejection(status: u16) -> bool {
    matches!(status, NOT_FOUND | TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
}

/// Converts the scheduler's answer to the client's HTTP reply; `Retry-After` is rounded up to whole seconds.
pub(crate) fn forwarded(reply: ClientReply) -> HttpReply {
    let retry_after_s = match reply.retry_after_ms {
        0 => None,
        millis => Some(millis.div_ceil(MILLIS_PER_SECOND)),
    };
    HttpReply {
        status: reply.status,
        retry_after_s,
        body: reply.body.0,
    }
}
