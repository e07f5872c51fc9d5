//! The events, which are the inputs of a process's logic.

use super::{HealthCheckId, HealthCheckResult, HttpEndpoint, HttpRequest, HttpRequestId};
use crate::id::NodeId;
use crate::message::Message;

/// An input of a process's logic.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// A message arrived from another process, or from this process, which can send messages to itself.
    Message {
        /// The sender of the message.
        from: NodeId,
        /// The message itself.
        message: Message,
    },
    /// An HTTP request arrived. It must be answered exactly once with [`Outbox::reply`](super::Outbox::reply), unless
    /// it is abandoned.
    Http {
        /// The id that identifies the request in the reply.
        id: HttpRequestId,
        /// The endpoint at which the request arrived.
        endpoint: HttpEndpoint,
        /// The request itself.
        request: HttpRequest,
    },
    /// The client of an HTTP request has closed its connection, so no reply is needed.
    HttpAbandoned {
        /// The id of the abandoned request.
        id: HttpRequestId,
    },
    /// A disk write has been synced.
    Synced {
        /// The token of the write.
        token: u64,
    },
    /// A health check has ended; each health check has exactly one result.
    HealthCheck {
        /// The id of the health check.
        id: HealthCheckId,
        /// The result of the health check.
        result: HealthCheckResult,
    },
    /// The time returned by [`Node::next_wake`](super::Node::next_wake) has been reached. The event may also arrive
    /// early.
    Wake,
    /// The settings were reloaded; the field contains the new seeds.
    SeedsChanged(Vec<NodeId>),
    /// SIGTERM or SIGINT was received; the process drains and ends within its grace period.
    Terminate,
}
