//! Events: the inputs of the logic.

use super::{HealthCheckId, HealthCheckResult, HttpEndpoint, HttpRequest, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// An input of the logic.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// Another process sent a message; a process also sends messages to itself.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// An HTTP request. It must be answered exactly once with [`Outbox::reply`](super::Outbox::reply), unless it is
    /// abandoned.
    Http {
        /// Names the request in the reply.
        id: HttpRequestId,
        /// Where it arrived.
        endpoint: HttpEndpoint,
        /// The request.
        request: HttpRequest,
    },
    /// The caller has closed its connection; no reply is needed.
    HttpAbandoned {
        /// The request.
        id: HttpRequestId,
    },
    /// A disk write has been synced.
    Synced {
        /// The write's token.
        token: u64,
    },
    /// The result of a health check, once for each.
    HealthCheck {
        /// The health check.
        id: HealthCheckId,
        /// Its result.
        result: HealthCheckResult,
    },
    /// The instant of [`Node::next_wake`](super::Node::next_wake) has come; may come early.
    Wake,
    /// The settings were read again: these are the seeds now.
    SeedsChanged(Vec<NodeId>),
    /// SIGTERM or SIGINT: the process drains and ends within its grace.
    Terminate,
}
