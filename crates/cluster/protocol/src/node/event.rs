//! What happens to a process.

use super::{HealthCheckId, HealthCheckResult, HttpEndpoint, HttpRequest, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// What happens to a process.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    Message {
        from: NodeId,
        message: Message,
    },
    /// A request of HTTP; must be answered exactly once with `Outbox::reply`, unless it is abandoned.
    Http {
        id: HttpRequestId,
        endpoint: HttpEndpoint,
        request: HttpRequest,
    },
    /// The caller has gone; no answer is needed.
    HttpAbandoned {
        id: HttpRequestId,
    },
    /// A disk write with this token has been synced.
    Synced {
        token: u64,
    },
    /// What came of a probe; told once for each.
    HealthCheck {
        id: HealthCheckId,
        result: HealthCheckResult,
    },
    /// The instant asked for by `Node::next_wake` has come.
    Wake,
    /// The settings name other core processes to start from.
    SeedsChanged(Vec<NodeId>),
    /// The platform wants the process to end within its grace.
    Terminate,
}
