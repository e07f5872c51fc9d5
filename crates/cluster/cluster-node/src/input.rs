//! Inputs of the loop that drives the logic, from sockets, disk and signals.

use tokio::sync::{mpsc, oneshot};

use sagetrail_protocol::node::{
    HealthCheckId, HealthCheckResult, HttpEndpoint, HttpReply, HttpRequest, HttpRequestId,
};
use sagetrail_protocol::{Message, NodeId};

use crate::disk::DiskError;

/// An input of the loop.
pub enum Input {
    /// Another process sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// An HTTP request arrived, with its full body.
    HttpRequest {
        /// Names the request in the reply.
        id: HttpRequestId,
        /// Where it arrived.
        endpoint: HttpEndpoint,
        /// The request.
        request: HttpRequest,
        /// Takes the reply; dropped without one, the caller gets 504.
        reply: oneshot::Sender<HttpReply>,
    },
    /// The caller of a request has closed its connection.
    HttpAbandoned {
        /// The request.
        id: HttpRequestId,
    },
    /// The result of a health check.
    HealthChecked {
        /// The health check.
        id: HealthCheckId,
        /// Its result.
        result: HealthCheckResult,
    },
    /// Disk writes are synced.
    Synced {
        /// The messages that waited for them.
        send_when_synced: Vec<(NodeId, Message)>,
        /// The tokens of the writes, in their order.
        tokens: Vec<u64>,
    },
    /// The disk failed; what it holds is known only after a restart.
    DiskFailed(DiskError),
    /// SIGHUP: the settings were read again, and these are the seeds.
    SeedsChanged(Vec<NodeId>),
    /// SIGTERM or SIGINT: the process has to end.
    Terminate,
}

/// The sending side of the loop's channel, for sockets, disk and signals. A send fails only while the process ends.
pub type Inputs = mpsc::UnboundedSender<Input>;
